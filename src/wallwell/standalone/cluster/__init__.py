"""Between standalone routers: membership by gossip, directory shards, claims, shared limits. Messages and state
machines.
"""
