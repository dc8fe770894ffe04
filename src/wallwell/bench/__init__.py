"""Workloads, virtual-time experiments, load generation and fault scenarios."""
