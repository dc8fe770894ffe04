"""Clients of the standalone router's engines and services, and their protocol."""
