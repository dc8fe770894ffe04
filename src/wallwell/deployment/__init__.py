"""Declarations of operators and of the store's list: routes, tenants, services, back ends, weights versions, zones.

Types and look-ups without decisions. ``platform/`` decodes them from the store's rows, ``node/`` keeps them
current, and all decisions read them. This package imports no other package of wallwell.
"""
