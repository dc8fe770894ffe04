"""Workloads, load over sockets, experiments that compare policies, and what a router adds to a request."""
