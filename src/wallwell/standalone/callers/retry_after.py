"""What ``Retry-After`` says in the standalone router's own refusals, in milliseconds.

Refusals that can be reckoned (a tenant's limit, a queue, a quarantine) state their own time instead.
"""

from __future__ import annotations

STOPPING_RETRY_AFTER_MS = 100
"""This router is stopping; another one may answer at once."""
NO_BACKEND_RETRY_AFTER_MS = 500
"""No configuration, no usable back end, or all attempts failed."""
UNKNOWN_OUTCOME_RETRY_AFTER_MS = 1000
"""A call may still be running, so that its key's answer may be recorded soon."""
