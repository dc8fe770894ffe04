"""What nodes report to each other, and how they agree without a vote.

:mod:`.upstream` is the agreed order: who follows the store through whom, and who stands for a region. Along it,
:mod:`.relay` passes rows of the store on, :mod:`.load_reporter` and :mod:`.region_load_reporter` report loads,
spent limits and crashes. :mod:`.peer_link` carries it all. :mod:`.leases` and :mod:`.lease_candidate` let one node
act for all.
"""
