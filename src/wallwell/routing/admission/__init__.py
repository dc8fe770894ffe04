"""Decisions: whether a request is admitted, by tenant limits, overload and quarantine."""
