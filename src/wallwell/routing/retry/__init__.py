"""Decisions: what failed attempts may have run, which retries the budget allows, what Retry-After states."""
