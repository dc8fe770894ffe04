"""Operators' files: schema, checks, commit by revision, and what is in force on a node."""
