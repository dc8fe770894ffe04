"""Header names, paths, tables and keys of the platform's protocol, the only place where they are spelled.

A constant is called after what it holds in wallwell's words; a comment says where the platform's name misleads.
"""

from __future__ import annotations

# --- headers that callers send ---------------------------------------------------------------------------

REQUEST_ID = "X-Request-Id"
"""Differs with each try of a caller, so it names one request, not its content."""
DEADLINE_MS = "X-Deadline-Ms"
"""A remaining time in milliseconds, not a point of time."""
CREDENTIAL = "X-Credential"
MODEL = "X-Model"
PROMPT_PARTS = "X-Prefix-Hash"
"""Not one hash: the parts of the prompt in order, each as ``ID:TOKENS``, separated by commas."""
TOKEN_USAGE = "X-Token-Usage"
"""Not a usage so far: tokens of the prompt and the most tokens of the answer, separated by a comma."""
RESUME_AFTER = "Last-Event-Id"
"""Number of the last event the caller has; the answer continues with the next one."""

# --- headers that the router adds to requests ----------------------------------------------------------------

TENANT = "X-Tenant"
EXPECT_INSTANCE = "X-Expect-Instance"
"""Precondition: any other incarnation answers 421 without running the request."""
EXPECT_VERSION = "X-Expect-Version"
"""Precondition on the version of the weights, not of the software."""
PRIORITY = "X-Request-Priority"
"""0 to 9, 0 is served first."""
CACHE_SALT = "X-Cache-Salt"
"""Scope of the cache: workers find a cached part only under the text under which it was stored."""
KV_FETCH = "X-Kv-Fetch"
KV_SAVE = "X-Kv-Save"
WAIT_MS = "Wait-Ms"
"""How long a call for cache events may be held until there are some."""

# --- headers of answers ----------------------------------------------------------------------------------

WEIGHT_VERSION = "X-Weight-Versions"
"""One whole number despite the plural: the version of the weights that answer."""
NOT_RUN = "X-Not-Run"
"""Present if the worker did not run the request, whatever the status."""
SEAL = "X-Response-Seal"
"""The worker's signature; a 2xx without it does not come from the worker."""
INSTANCE_ID = "X-Instance-Id"
RETRY_AFTER = "Retry-After"
"""Seconds; fractions are allowed here. From a worker: for how long it wants nothing from this node."""
LEAVING = "Server-Leaving"
"""``1`` on every answer of a worker that is about to end; "server" is the platform's other name of a worker."""
REQUEST_LIMIT = "Server-Limit"
"""Requests a second, a decimal number, that a worker takes from all nodes together while its answers name it."""

STORE_ERA = "Store-Era"
"""On every answer of the store: a number that rises by one each time the store comes back from an older copy. What
was written after the copy was made is lost then, and versions of rows are given out again."""

# --- headers that are not wallwell's to use --------------------------------------------------------------------

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
"""Headers, in lower case, that a caller cannot set on a worker's request: they are dropped as it arrives."""

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
"""Headers, in lower case, that concern one connection only and are passed on in neither direction."""

END_TO_END_HEADERS = frozenset((MODEL.lower(), TOKEN_USAGE.lower(), PROMPT_PARTS.lower(), "host"))
"""Headers, in lower case, that travel on even if the caller's ``Connection`` header names them."""

EVENT_STREAM = "text/event-stream"
"""Content type of answers that come as a series of events."""

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
"""Entries of workers by incarnation; the platform alone writes them."""
ROUTER_TABLE = "wallwell"
STATUS_TABLE = "status"
"""What wallwell writes for operators."""
NO_PARTITION = ""
"""The store's ``part`` of every row that wallwell uses: none of its tables is split into parts."""
CONFIG_KEY = "config"
VERSION_KEY_PREFIX = "version/"
"""Keys of named weights versions in the operators' table, before the model's name."""
ROLLOUT_KEY_PREFIX = "rollout/"
"""Keys of orders in the operators' table and of their states in the status table, before the service's name."""

SETTINGS_VARIABLE = "WALLWELL_BOOT"
"""Environment variable that names the settings file."""
