"""Binds a stream that its caller resumes to the software version that began it.

Adapter between requests, the node's listing and :class:`~wallwell.cluster.stream_directory.StreamDirectory`. A
stream of unknown origin is served only if no node that answers has seen more than one version of its service for as
long as a stream can last. Otherwise it is refused: events of two versions look whole to the caller and are not.
"""

from __future__ import annotations

from wallwell.clock import boot_time_s
from wallwell.cluster.stream_directory import StreamDirectory, StreamFindings
from wallwell.cluster.stream_messages import stream_digest
from wallwell.cluster.stream_records import StreamRecords
from wallwell.cluster.version_rows import VersionsRow
from wallwell.deployment.routes import RouteKind
from wallwell.errors import StreamVersionUnknownError
from wallwell.events import Event, emit
from wallwell.node.state import NodeState
from wallwell.routing.retry.retry_after import RefusalCause
from wallwell.routing.selection.software_history import stream_time_s
from wallwell.serving.active_request import ActiveRequest
from wallwell.serving.counters import RequestCounters
from wallwell.serving.retry_after import RetryAfterEstimator

KNOWN_BY_STORE = "the store"
"""In logs, in place of the node that knows a stream."""


class StreamOriginBinder:
    """Finds the version of streams that are resumed at one node, and records it of those that begin there."""

    def __init__(
        self,
        state: NodeState,
        directory: StreamDirectory,
        records: StreamRecords | None,
        counters: RequestCounters,
    ) -> None:
        """``records`` are those in the store; None if the node has none."""
        self._state = state
        self._directory = directory
        self._records = records
        self._counters = counters
        self._retry_after = RetryAfterEstimator(state)

    async def on_begun(self, active: ActiveRequest, software: str) -> None:
        """Record at which version a stream begins or is resumed; called before the caller gets its first event."""
        if not active.route.resumable:
            return
        request = active.request
        if self._records is not None and not request.resumes_stream:
            await self._records.ensure_recorded(active.service, software)
        kept_s = stream_time_s(max(active.route.timeout_s, request.caller_timeout_s or 0.0))
        if not request.resumes_stream:
            self._directory.on_begun(_stream_of(active, request.request_id), active.service, software, kept_s)
        elif request.first_request_id:
            self._directory.on_resumed(_stream_of(active, request.first_request_id), software, kept_s)

    async def bind(self, active: ActiveRequest) -> None:
        """Set the version at which a resumed stream may go on. Raises :class:`StreamVersionUnknownError`."""
        if not active.request.resumes_stream or active.route.kind is not RouteKind.STREAM:
            return
        findings = await self._find(active)
        if findings.software is not None:
            self._report(active, findings, "known")
            active.stream_software = findings.software
            active.stream_known_by, active.stream_known_age_s = findings.known_by, findings.age_s
        elif len(findings.versions) > 1 or self._may_lack_versions(findings):
            self._report(active, findings, "unknown")
            raise self._unknown_error(active, findings)
        else:
            self._report(active, findings, "one_version")
            active.stream_software = next(iter(findings.versions), None)

    def _report(self, active: ActiveRequest, findings: StreamFindings, result: str) -> None:
        self._counters.stream_lookups[result] += 1
        emit(
            Event.STREAM_LOOKED_UP,
            request_id=active.request.request_id,
            service=active.service,
            result=result,
            software=findings.software,
            known_by=findings.known_by,
            versions=sorted(findings.versions),
            recorded=findings.recorded,
            asked=findings.asked,
            answered=findings.answered,
            listing_followed_ms=round(self._state.software_history.observed_for_s(boot_time_s()) * 1000),
        )

    async def _find(self, active: ActiveRequest) -> StreamFindings:
        """Return what is known of a stream; other nodes are asked only if it may have begun at several versions."""
        state, service = self._state, active.service
        stream = _stream_of(active, active.request.first_request_id)
        known = self._directory.find_here(stream)
        if known is not None:
            return known
        versions = state.recent_versions(service)
        is_complete = state.software_history.is_complete(boot_time_s(), state.stream_time_s(service))
        if is_complete and len(versions) <= 1:
            return StreamFindings(None, versions=versions)
        findings = await self._directory.find(stream, service)
        if findings.software is None:
            await self._add_records(findings, stream, service)
        return findings

    async def _add_records(self, findings: StreamFindings, stream: str, service: str) -> None:
        """Add what the store holds, which also outlasts the end of all nodes."""
        if self._records is None:
            return
        records = await self._records.read()
        if records is None:
            reaches_back = self._state.software_history.reaches_back
            findings.lacks_records = not reaches_back(boot_time_s(), self._state.stream_time_s(service))
            return
        findings.software = records.software.get(stream)
        row = records.rows.get(service)
        if row is not None:
            findings.recorded = row.versions
            findings.versions |= set(row.versions)
        if row is not None and findings.software is None:
            await self._add_sole_version(findings, row, stream, service)
        if findings.software is not None and not findings.known_by:
            findings.known_by = KNOWN_BY_STORE

    async def _add_sole_version(
        self, findings: StreamFindings, row: VersionsRow, stream: str, service: str
    ) -> None:
        """Add the version of streams that nobody knows, if only one had begun any when all nodes ended.

        Only at a node that has started lately itself, and if every node that was asked has answered: streams that
        began since are known to nodes that live.
        """
        assert self._records is not None
        if self._state.software_history.reaches_back(boot_time_s(), self._state.stream_time_s(service)):
            return
        lives = {*findings.lives, self._records.life}
        if row.sole is not None and row.sole.writer not in lives:
            await self._directory.ask_node(findings, row.sole.writer_node, stream, service)
        if findings.software is None and findings.answered == findings.asked:
            findings.software = self._records.sole_version(row, {*findings.lives, self._records.life})

    def _may_lack_versions(self, findings: StreamFindings) -> bool:
        """Whether another version may have served that neither this node nor those that answered have seen."""
        if findings.lacks_records:
            return True
        is_alone = bool(findings.asked) and not findings.answered
        return is_alone and not self._state.software_history.is_recent(boot_time_s())

    def _unknown_error(self, active: ActiveRequest, findings: StreamFindings) -> StreamVersionUnknownError:
        wait_ms = self._retry_after.for_admitted_request_ms(RefusalCause.STREAM_VERSION_UNKNOWN, active)
        detail = (
            f"{len(findings.versions)} versions seen lately; of {findings.asked} nodes asked {findings.answered}"
            " answered, and none knows the stream"
        )
        return StreamVersionUnknownError(detail, retry_after_ms=wait_ms)


def _stream_of(active: ActiveRequest, first_request_id: str) -> str:
    caller = active.tenant.name if active.tenant is not None else active.request.credential
    return stream_digest(caller, first_request_id)
