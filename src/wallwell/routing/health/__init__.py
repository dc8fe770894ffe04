"""Decisions on when a back end or a zone gets no requests, and when it gets requests again.

:mod:`.suspension` decides this for one back end after failures, :mod:`.zone_suspicion` for all back ends of a
zone, and :mod:`.backoff` for a back end that asked for back-off. :mod:`.silence` decides when a silent back end is
probed. The state of a back end is in :mod:`.backend`; a :mod:`.backend_notice` is what a back end states about
itself in an answer.
"""
