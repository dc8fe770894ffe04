"""Between standalone routers: membership by gossip, directory shards, claims, shared limits. Messages and state
machines.

Begin with ``node``, which joins the parts; ``transport`` runs it over sockets.
"""
