"""Reconciliation of models and weights on engines under a lease."""
