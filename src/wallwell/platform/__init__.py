"""The users' platform: its settings, wire formats and names, translated to and from the product's types.

Translation only: no decision, no state machine and no retry lives here, and nothing outside knows these names.
"""
