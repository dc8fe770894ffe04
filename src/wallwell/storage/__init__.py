"""The store as this product uses it: rows under conditions, a feed of their changes, and a copy that peers
follow."""
