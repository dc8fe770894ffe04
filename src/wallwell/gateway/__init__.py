"""HTTP listeners for callers and operators."""
