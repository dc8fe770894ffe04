"""Decisions: what attempts prove, what may be sent again within which budget, and what Retry-After says."""
