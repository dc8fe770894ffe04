"""Decisions: when a back end or a zone is left out and when it is taken back.

:mod:`.suspension` decides it for one back end after failures, :mod:`.zone_suspicion` for all of a zone, and
:mod:`.silence` when a back end that says nothing is probed, :mod:`.backoff` when one that asked for back-off gets
requests again. What they decide on and write to is :mod:`.backend`; what a back end states about itself in its
answers is a :mod:`.backend_notice`.
"""
