"""Emulators of engines, services and the platform, with fault switches, and a deployment of them in one process.

Used by the demo, the load tool, soak runs and tests; no router imports this package. An emulator implements only
the wire behaviour of the system that it replaces and makes no decisions for the router.
"""
