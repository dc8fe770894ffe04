"""Clients of the table service, object store, weight store and machine list."""
