"""All error types of wallwell, each with a stable ``code`` and, where callers can see it, an HTTP status.

Codes and class names are sent on the wire and do not change. Class docstrings are the meanings printed in
``docs/ERRORS.md``, which ``wallwell catalogue errors`` generates. Code prefixes: WW1 for process start, WW2 for
configuration, WW3 for answers to callers, WW4 for the platform's services, WW5 for the cluster, WW7 for tools.
"""

from __future__ import annotations

from collections.abc import Iterator
from typing import ClassVar

from wallwell.outcomes import Outcome


class WallwellError(Exception):
    """Base class of all wallwell errors."""

    code: ClassVar[str] = "WW0000"
    http_status: ClassVar[int] = 500

    def __init__(self, detail: str = "") -> None:
        super().__init__(detail)
        self.detail = detail

    def __str__(self) -> str:
        return f"{self.code} {type(self).__name__}: {self.detail}"


class SettingsError(WallwellError):
    """The node's settings file is missing, unreadable or invalid."""

    code = "WW1001"


class AddressInUseError(WallwellError):
    """A listener could not bind its address."""

    code = "WW1002"


class DocumentSyntaxError(WallwellError):
    """A YAML document could not be parsed."""

    code = "WW1003"


class ExtraMissingError(WallwellError):
    """The command needs an optional extra of the package that is not installed; the detail names the extra."""

    code = "WW1004"


class ConfigInvalidError(WallwellError):
    """An operators' file was refused and nothing was changed. The detail lists every problem found."""

    code = "WW2001"
    http_status = 422


class ConfigConflictError(WallwellError):
    """Another change to the same file was accepted first; the detail names the accepted revision."""

    code = "WW2002"
    http_status = 409


class ConfigUnavailableError(WallwellError):
    """The change could not be committed because the table service did not answer in time."""

    code = "WW2003"
    http_status = 503


class ConfigNotFoundError(WallwellError):
    """No file of that kind and name is in force."""

    code = "WW2004"
    http_status = 404


class RequestError(WallwellError):
    """Base class of errors answered to a caller. ``outcome`` is the request's outcome over all of its attempts."""

    code = "WW3000"
    http_status = 400
    outcome: Outcome = Outcome.NOT_RUN

    def __init__(self, detail: str = "", retry_after_ms: int = 0) -> None:
        """``retry_after_ms`` is sent as the Retry-After header; 0 sends no header."""
        super().__init__(detail)
        self.retry_after_ms = retry_after_ms


class MalformedRequestError(RequestError):
    """The request's body or one of its headers could not be parsed."""

    code = "WW3001"
    http_status = 400


class UnauthenticatedError(RequestError):
    """The credential is missing or belongs to no tenant."""

    code = "WW3002"
    http_status = 401


class ForbiddenError(RequestError):
    """The tenant may not use this model, service or priority."""

    code = "WW3003"
    http_status = 403


class UnknownResourceError(RequestError):
    """No such model, service, adapter, priority or path is configured."""

    code = "WW3004"
    http_status = 404


class BodyTooLargeError(RequestError):
    """The request's body is larger than the listener's limit."""

    code = "WW3005"
    http_status = 413


class RateLimitedError(RequestError):
    """The tenant's rate limit is used up; ``retry_after_ms`` is the wait after which a retry should be served."""

    code = "WW3006"
    http_status = 429


class DeadlineUnreachableError(RequestError):
    """No back end can meet the request's deadline, so the request was refused before it was sent to any."""

    code = "WW3007"
    http_status = 503


class NoBackendError(RequestError):
    """No live back end can accept the request now."""

    code = "WW3008"
    http_status = 503


class NotReadyError(RequestError):
    """This router has no configuration yet or is stopping."""

    code = "WW3009"
    http_status = 503


class BackendFailedError(RequestError):
    """The back end ran the request and answered with an error."""

    code = "WW3010"
    http_status = 502
    outcome = Outcome.FAILED


class OutcomeUnknownError(RequestError):
    """The request was sent to a back end, and whether it ran cannot be proven."""

    code = "WW3011"
    http_status = 504
    outcome = Outcome.UNKNOWN


class StreamBrokenError(RequestError):
    """A stream could not be continued on any engine; the part that was sent is incomplete."""

    code = "WW3012"
    http_status = 502
    outcome = Outcome.FAILED


class StreamOrderError(WallwellError):
    """An engine sent events out of order or beyond the size limit, so its stream cannot be forwarded."""

    code = "WW3018"


class OverloadedError(RequestError):
    """Engines have more requests in flight than they can serve in time; ``retry_after_ms`` says when to retry."""

    code = "WW3019"
    http_status = 503


class RequestQuarantinedError(RequestError):
    """Back ends crashed under this request or a part of its prompt, so no other gets it; see ``retry_after_ms``."""

    code = "WW3020"
    http_status = 503


class KeyReusedError(RequestError):
    """The idempotency key was used before with a different body."""

    code = "WW3013"
    http_status = 422


class ClaimUnavailableError(RequestError):
    """The claim for a non-repeatable call could not be recorded, so the call was not sent."""

    code = "WW3014"
    http_status = 503


class RetriesExhaustedError(RequestError):
    """Every allowed attempt was refused before it ran."""

    code = "WW3015"
    http_status = 503


class StaleConfigurationError(RequestError):
    """The configuration was not confirmed recently enough to accept a credential or report a route as missing."""

    code = "WW3016"
    http_status = 503


class DeadlineExceededError(RequestError):
    """The time allowed for the request ran out."""

    code = "WW3017"
    http_status = 504
    outcome = Outcome.UNKNOWN


class ConnectionEndedError(RequestError):
    """The request came too late: the router had closed its connection after a long idle time, or is stopping and
    takes no more requests. The request has not run, and may be sent again at once on a new connection."""

    code = "WW3021"
    http_status = 408


class StreamVersionUnknownError(RequestError):
    """The caller resumes a stream, but no node knows which software version of the back ends began it."""

    code = "WW3022"
    http_status = 503


class InternalRequestError(RequestError):
    """An unexpected error occurred inside the router; the request's outcome is unknown."""

    code = "WW3099"
    http_status = 500
    outcome = Outcome.UNKNOWN


class PlatformError(WallwellError):
    """Base class of errors of the platform's services."""

    code = "WW4000"
    http_status = 503


class PlatformUnavailableError(PlatformError):
    """A platform service did not answer, or was overloaded and refused; the effect of the call is unknown."""

    code = "WW4001"


class TableConflictError(PlatformError):
    """A condition of a table transaction did not hold; nothing was written."""

    code = "WW4002"
    http_status = 409


class HistoryLostError(PlatformError):
    """The store no longer has the changes after the requested version, so all rows must be fetched."""

    code = "WW4003"


class ClusterMessageError(WallwellError):
    """A message from a peer failed authentication or could not be decoded."""

    code = "WW5001"


class PeerUnavailableError(WallwellError):
    """A peer did not answer in time."""

    code = "WW5002"


class CacheStoreSilentError(WallwellError):
    """A KV store cannot be reached or does not answer in time."""

    code = "WW4004"


class CacheEventsRefusedError(WallwellError):
    """A KV store answers but currently sends no usable cache events."""

    code = "WW4005"


class LeaseLostError(WallwellError):
    """The lease expired or another holder has a higher fencing token."""

    code = "WW5003"


class UnknownRequestError(WallwellError):
    """No log line contains the request's id."""

    code = "WW7002"


class BenchError(WallwellError):
    """An experiment's file is invalid, or the experiment could not be completed."""

    code = "WW7001"


class SoakError(WallwellError):
    """A soak run could not be set up or exceeded its resource limits; this says nothing about the invariants."""

    code = "WW7003"


def all_error_types(root: type[WallwellError] = WallwellError) -> Iterator[type[WallwellError]]:
    """Yield ``root`` and every subclass, in definition order."""
    yield root
    for subclass in root.__subclasses__():
        yield from all_error_types(subclass)
