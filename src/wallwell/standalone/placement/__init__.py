"""Placement of model weights on the standalone router's engines."""
