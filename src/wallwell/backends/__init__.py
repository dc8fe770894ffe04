"""Clients of model engines and services."""
