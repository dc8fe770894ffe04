"""Soak: real router processes, seeded requests and seeded faults, checked against invariants by what others see."""
