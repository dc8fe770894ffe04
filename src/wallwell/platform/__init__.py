"""Adapter to the platform on which the router runs: its settings, wire formats and names, and its own types.

Owns every name of the platform's protocol and decodes it once. Takes no decision, keeps no state machine and
retries nothing; those stand in ``routing``, ``serving``, ``placement`` and ``rollout``, which know none of these
names. Besides its entry point, only ``soak`` and ``emulator`` import this package.
"""
