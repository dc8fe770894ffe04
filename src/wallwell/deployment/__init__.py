"""What operators and back ends declare through the store: routes, tenants, services, back ends, weights."""
