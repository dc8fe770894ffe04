"""What operators and the store's listing declare: routes, tenants, services, back ends, weights versions, regions.

Types and look-ups without decisions. Decoded from the store's rows in ``platform/``, kept current in ``node/``,
read by every decision. This package imports no other.
"""
