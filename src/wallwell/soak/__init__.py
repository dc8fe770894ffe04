"""Soak: real router processes under seeded requests and faults, checked against invariants by what others see.

A run starts routers as a deployment does (``deploy/router.py``), surrounds them with stand-ins that are processes
too, plays a schedule that its seed alone draws, and checks invariants over what callers, workers, store and run
recorded. Nothing in the routers knows of it.
"""
