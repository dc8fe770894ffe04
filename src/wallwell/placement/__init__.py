"""Weights rolls: engines load the weights versions that operators have named.

``weights_roll`` plans which engines load and when, ``weights_roll_timing`` decides when a roll begins (both pure),
and ``weights_roll_driver`` carries a roll out while it holds a lease.
"""
