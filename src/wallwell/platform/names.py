"""Header names, paths, tables and keys of the platform's protocol, which are spelled out only here.

Each constant is named after its meaning in wallwell's terms; a comment explains a platform name that misleads.
"""

from __future__ import annotations

# --- headers that callers send ---------------------------------------------------------------------------

REQUEST_ID = "X-Request-Id"
"""New for each retry by a caller, so it identifies one request and not its content."""
DEADLINE_MS = "X-Deadline-Ms"
"""Remaining time in milliseconds, not a point in time."""
CREDENTIAL = "X-Credential"
MODEL = "X-Model"
PROMPT_PARTS = "X-Prefix-Hash"
"""Not a single hash: the parts of the prompt in order, each as ``ID:TOKENS``, separated by commas."""
TOKEN_USAGE = "X-Token-Usage"
"""Not past usage: the prompt's tokens and the maximum tokens of the answer, separated by a comma."""
RESUME_AFTER = "Last-Event-Id"
"""Number of the last event that the caller received; the answer continues with the next one."""
RESUMES = "Resumes"
"""Not the previous request: id of the caller's request whose answer contained the first event of the stream."""

# --- headers that the router adds to requests ----------------------------------------------------------------

TENANT = "X-Tenant"
EXPECT_INSTANCE = "X-Expect-Instance"
"""Precondition: a worker of any other incarnation answers 421 without running the request."""
EXPECT_VERSION = "X-Expect-Version"
"""Precondition on the weights version, not on the software version."""
PRIORITY = "X-Request-Priority"
"""0 to 9; 0 is served first."""
CACHE_SALT = "X-Cache-Salt"
"""Cache scope: workers find a cached prompt part only with the scope with which it was stored."""
KV_FETCH = "X-Kv-Fetch"
KV_SAVE = "X-Kv-Save"
WAIT_MS = "Wait-Ms"
"""Milliseconds for which a KV store may hold a request for cache events until there is one."""

# --- headers of answers ----------------------------------------------------------------------------------

WEIGHT_VERSION = "X-Weight-Versions"
"""A single integer despite the plural: the version of the weights that produced the answer."""
NOT_RUN = "X-Not-Run"
"""Present if the worker did not run the request, whatever the status code."""
SEAL = "X-Response-Seal"
"""The worker's signature; a 2xx answer without it was not sent by the worker."""
INSTANCE_ID = "X-Instance-Id"
RETRY_AFTER = "Retry-After"
"""Seconds; may be fractional here. From a worker: how long this node should send it no requests."""
LEAVING = "Server-Leaving"
"""``1`` on every answer of a worker that is about to exit. The platform also calls a worker a "server"."""
BRITTLE = "Server-Brittle"
"""Header with the refused requests per second that a worker tolerates before it fails; only while it is brittle."""
REQUEST_LIMIT = "Server-Limit"
"""Requests per second (decimal) that a worker accepts from all nodes together, while its answers state it."""

STORE_ERA = "Store-Era"
"""On every answer of the store: a number that increases by one each time the store is restored from an older copy.
Writes made after that copy are lost, and the store assigns their row versions again."""

# --- headers that wallwell does not use ------------------------------------------------------------------------

_PIN_MS = "X-Pin-Ms"
_HOLD = "X-Hold"
_KV_BACKUP = "X-Kv-Backup"
_KV_FROM = "Kv-From"

RESERVED_HEADERS = frozenset(
    name.lower()
    for name in (
        REQUEST_ID,
        DEADLINE_MS,
        CREDENTIAL,
        RESUME_AFTER,
        TENANT,
        EXPECT_INSTANCE,
        EXPECT_VERSION,
        PRIORITY,
        CACHE_SALT,
        KV_FETCH,
        KV_SAVE,
        NOT_RUN,
        SEAL,
        INSTANCE_ID,
        WEIGHT_VERSION,
        _PIN_MS,
        _HOLD,
        _KV_BACKUP,
        _KV_FROM,
    )
)
"""Lower-case names of headers that callers may not pass to workers; removed from their requests."""

HOP_BY_HOP_HEADERS = frozenset(
    (
        "connection",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
        "content-length",
        "expect",
    )
)
"""Lower-case names of headers that apply to one connection and are forwarded in neither direction."""

END_TO_END_HEADERS = frozenset((MODEL.lower(), TOKEN_USAGE.lower(), PROMPT_PARTS.lower(), "host"))
"""Lower-case names of headers that are forwarded even if the caller's ``Connection`` header lists them."""

EVENT_STREAM = "text/event-stream"
"""Content type of answers streamed as server-sent events."""

# --- paths ---------------------------------------------------------------------------------------------------

READY_PATH = "/api/readyz"
ORDER_PATH = "/api/order"
REPORT_PATH = "/api/report"
CACHE_EVENTS_PATH = "/api/kv-events"
CACHE_LISTING_PATH = "/api/kv-list"
ROWS_TRANSACT_PATH = "/api/rows-tx"
ROWS_READ_PATH = "/api/rows-get"
ROWS_FEED_PATH = "/api/rows-feed"

# --- tables and keys of the store -----------------------------------------------------------------------------

OPERATOR_TABLE = "op"
BACKENDS_TABLE = "servers"
"""Table of workers' entries by incarnation; only the platform writes to it."""
ROUTER_TABLE = "wallwell"
STREAMS_TABLE = "wallwell-streams"
STATUS_TABLE = "status"
"""Table that wallwell writes for operators to read."""
NO_PARTITION = ""
"""Value of the store's ``part`` field in all rows that wallwell uses; none of these tables is partitioned."""
CONFIG_KEY = "config"
VERSION_KEY_PREFIX = "version/"
"""Key prefix of announced weights versions in the operators' table; the model's name follows."""
ROLLOUT_KEY_PREFIX = "rollout/"
"""Key prefix of rollout orders in the operators' table and of their status rows; the service's name follows."""

SETTINGS_VARIABLE = "WALLWELL_BOOT"
"""Environment variable that holds the path of the settings file."""
