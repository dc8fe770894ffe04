"""Decisions: when a back end or a zone is left out and when it is taken back."""
