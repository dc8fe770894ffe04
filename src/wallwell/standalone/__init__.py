"""The router without the platform's store, whole: callers' and operators' interfaces, membership, shards,
policies. Begin with ``router_node``; the router on the platform's store shares none of these modules.
"""
