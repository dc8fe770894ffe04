"""The cluster protocol of standalone routers: gossip membership, directory shards, claims and shared limits.

Entry points: ``node`` combines the protocol's state machines; ``transport`` runs them over sockets.
"""
