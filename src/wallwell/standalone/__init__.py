"""The router without the platform's store, whole: callers' and operators' interfaces, membership, shards,
policies.
"""
