"""Routing decisions: pure functions and classes of state, time and randomness. No I/O, logging or wire formats."""
