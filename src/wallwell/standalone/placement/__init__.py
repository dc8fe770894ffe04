"""Weights on the engines of the standalone router."""
