"""Brings engines to newly named weights versions: a weights roll.

``weights_roll`` plans which engines load when, ``weights_roll_timing`` when a roll begins (both pure), and
``weights_roll_driver`` carries a roll out under a lease.
"""
