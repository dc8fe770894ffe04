"""Operators' files: schema, validation, revisions and the configuration in force."""
