"""Decodes what others write, such as the values of rows, so that hostile values raise no other error. Pure.

msgspec raises its own errors for values of a wrong type, but lets Python's pass for others: RecursionError for a
value that is nested too deeply, ValueError for a number or a text that Python itself refuses.
"""

from __future__ import annotations

import functools
from collections.abc import Callable
from typing import Annotated, ParamSpec, TypeVar

import msgspec

VALUE_ERRORS = (ValueError, OverflowError, RecursionError)
"""Errors of Python that a value causes: a number with thousands of digits, one beyond the range of floats, a text
that cannot be encoded, deep nesting."""
MAX_REASON_CHARS = 200
"""Characters of such an error's text that are kept, since it may quote the value."""

MAX_SECONDS = 1e12
"""Largest time in a row, in seconds: 30,000 years, still exact to a millisecond as a float."""
MAX_COUNT = 2**53 - 1
"""Largest count in a row: a float can be computed from it exactly."""
MAX_VERSION = 2**63 - 1
"""Largest version of a row or era: it has 64 bits in messages between nodes."""

Seconds = Annotated[float, msgspec.Meta(ge=-MAX_SECONDS, le=MAX_SECONDS)]
Count = Annotated[int, msgspec.Meta(ge=0, le=MAX_COUNT)]
Version = Annotated[int, msgspec.Meta(ge=0, le=MAX_VERSION)]

Parameters = ParamSpec("Parameters")
Result = TypeVar("Result")


def raises_only_msgspec_errors(decode: Callable[Parameters, Result]) -> Callable[Parameters, Result]:
    """Return a decoder that raises ``msgspec.MsgspecError`` for whatever error the decoded value causes."""

    @functools.wraps(decode)
    def decode_any(*args: Parameters.args, **kwargs: Parameters.kwargs) -> Result:
        try:
            return decode(*args, **kwargs)
        except VALUE_ERRORS as error:
            reason = f"{type(error).__name__}: {error}"[:MAX_REASON_CHARS]
            raise msgspec.ValidationError(reason) from error

    return decode_any


@raises_only_msgspec_errors
def decode_value(value: bytes | str, value_type: type[Result]) -> Result:
    """Decode a JSON value. Raises ``msgspec.MsgspecError`` for any value that is not of the type."""
    return msgspec.json.decode(value, type=value_type)
