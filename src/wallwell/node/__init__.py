"""One router process on the store: what it knows, the rows it follows, its readiness, stop and metrics."""
