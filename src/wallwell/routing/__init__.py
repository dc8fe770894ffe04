"""The decisions: pure functions and classes of state, time and randomness. No I/O, no log lines, no wire format."""
