"""Adapter to the platform on which the router runs: settings, wire formats, names, and conversion to router types.

Defines the names of the platform's protocol and decodes its messages. The package makes no routing decision, has no
state machine and retries nothing: ``routing``, ``serving``, ``placement`` and ``rollout`` do, and use none of these
names. Only its entry point, ``soak`` and ``emulator`` import this package.
"""
