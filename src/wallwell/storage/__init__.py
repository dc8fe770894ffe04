"""Access to the store: conditional transactions on rows, a feed of row changes, and a replica that peers follow."""
