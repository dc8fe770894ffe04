"""Header names, paths and tables of the platform's protocol."""

from __future__ import annotations

REQUEST_ID = "X-Request-Id"
DEADLINE_MS = "X-Deadline-Ms"
CREDENTIAL = "X-Credential"
MODEL = "X-Model"
PROMPT_PARTS = "X-Prefix-Hash"
TOKEN_USAGE = "X-Token-Usage"
RESUME_AFTER = "Last-Event-Id"
TENANT = "X-Tenant"
EXPECT_INSTANCE = "X-Expect-Instance"
EXPECT_VERSION = "X-Expect-Version"
WEIGHT_VERSION = "X-Weight-Versions"
PRIORITY = "X-Request-Priority"
CACHE_SALT = "X-Cache-Salt"
KV_FETCH = "X-Kv-Fetch"
KV_SAVE = "X-Kv-Save"
NOT_RUN = "X-Not-Run"
SEAL = "X-Response-Seal"
INSTANCE_ID = "X-Instance-Id"
RETRY_AFTER = "Retry-After"
WAIT_MS = "Wait-Ms"

SET_BY_ROUTER = frozenset(
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
        "X-Pin-Ms",
        "X-Hold",
        "X-Kv-Backup",
        "Kv-From",
    )
)
"""Headers that a caller cannot set on a back end's request."""

HOP_BY_HOP = frozenset(
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

READY_PATH = "/api/readyz"
ORDER_PATH = "/api/order"
REPORT_PATH = "/api/report"
CACHE_EVENTS_PATH = "/api/kv-events"
CACHE_LISTING_PATH = "/api/kv-list"
ROWS_TRANSACT_PATH = "/api/rows-tx"
ROWS_READ_PATH = "/api/rows-get"
ROWS_FEED_PATH = "/api/rows-feed"

OPERATOR_TABLE = "op"
BACKENDS_TABLE = "servers"
OWN_TABLE = "wallwell"
STATUS_TABLE = "status"
CONFIG_KEY = "config"
VERSION_KEY_PREFIX = "version/"
ROLLOUT_KEY_PREFIX = "rollout/"
"""Keys of orders in the operators' table and of their states in the status table, before the service's name."""
SETTINGS_VARIABLE = "WALLWELL_BOOT"
EVENT_STREAM = "text/event-stream"
