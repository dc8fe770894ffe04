"""Stand-ins for engines, services and the platform, with fault switches, and a deployment of them in one process.

For the demo, the load tool, soak runs and tests; no router imports this package. A stand-in does what its outside
system does on the wire and no more. It takes no decision for the router.
"""
