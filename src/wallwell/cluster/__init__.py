"""Communication between nodes, and coordination without a vote.

:mod:`.upstream` computes, equally on every node, which peer each node follows the store through and which nodes
represent a region. In this order :mod:`.relay` forwards rows of the store, and :mod:`.load_reporter` and
:mod:`.region_load_reporter` report loads, spent limits and crashes, all of them over :mod:`.peer_link`.
:mod:`.leases` and :mod:`.lease_candidate` elect one node to act for all.
"""
