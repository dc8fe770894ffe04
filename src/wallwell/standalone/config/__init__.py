"""Operators' configuration files: schema, validation, revisioned commits and each node's copy."""
