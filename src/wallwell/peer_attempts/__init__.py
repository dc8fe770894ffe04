"""Attempts that one node makes for another one that cannot connect to any back end of a service."""
