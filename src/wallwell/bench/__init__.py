"""Workloads, virtual-time experiments, load generation and the scale run."""
