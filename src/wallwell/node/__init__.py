"""One router process of a fleet: its state, the store rows that it follows, its readiness, stop and metrics."""
