"""How nodes act together: membership, shared state, directory shards, limits, claims."""
