"""Soak: real router processes, seeded requests and seeded faults, checked against promises by what others see."""
