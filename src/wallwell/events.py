"""Numbered log events and the configuration of the logger.

Every line that wallwell logs is an :class:`Event` with a number, a level, a message and variable fields. Numbers,
levels and field names do not change, since operators' tools search logs by them; messages may be reworded.
``docs/LOG_EVENTS.md`` is generated from this module by ``wallwell catalogue events``.
"""

from __future__ import annotations

import enum
import sys
from typing import Any

from loguru import logger

from wallwell.log_writer import JsonSink, LogWriter


class Event(enum.Enum):
    """All log events, each as ``(number, level, message)``."""

    # 1001 and up: start and stop of a process, its machine and its log.
    NODE_STARTED = (1001, "INFO", "node started")
    NODE_READY = (1002, "INFO", "node is ready to serve")
    NODE_DRAINING = (1003, "INFO", "planned stop: refusing new work and finishing open requests")
    NODE_STOPPED = (1004, "INFO", "node stopped")
    INTERNAL_ERROR = (1006, "ERROR", "unexpected error")
    SETTINGS_RELOADED = (1007, "INFO", "settings file checked; its values take effect at the next start")
    LOG_LINES_LOST = (1008, "WARNING", "log lines lost")
    NODE_STOP_FORCED = (1009, "WARNING", "planned stop cut short: its grace period ended")
    MACHINE_WOKEN = (1010, "WARNING", "machine was suspended; open time-outs are shortened by the same time")
    CALLER_CONNECTIONS_ENDED = (1011, "INFO", "planned stop: callers' connections are closed")
    CONNECTIONS_SHED = (
        1012,
        "WARNING",
        "node is late and has more load than others; closes new connections unread",
    )
    CONNECTIONS_TAKEN_AGAIN = (1013, "INFO", "node is in time again; no new connection is closed unread")
    REQUEST_CUT_BY_STOP = (1014, "WARNING", "planned stop: request ended before its answer was complete")
    TASK_FAILED = (1015, "ERROR", "unexpected error in a task or callback that nothing awaits")
    NODE_NOT_READY = (1016, "WARNING", "node is not ready to serve, for lack of what is named")
    PROCESS_FAILED = (1017, "ERROR", "process ends after an unexpected error")

    # 2001 and up: operators' configuration.
    CONFIG_ADVANCED = (2001, "INFO", "configuration advanced to a higher revision")
    CONFIG_ACCEPTED = (2002, "INFO", "operators' change accepted")
    CONFIG_REFUSED = (2003, "WARNING", "operators' change refused")
    CONFIG_WITHOUT_EFFECT = (2004, "WARNING", "accepted file has settings without effect")
    CACHE_GROUPS_CHANGED = (
        2005,
        "INFO",
        "configuration isolates or releases tenants; cache that the others share is made anew",
    )
    CONFIG_FETCH_FAILED = (2010, "INFO", "configuration not fetched from a peer; it is requested elsewhere")
    CONFIG_WRITE_RETRIED = (2011, "INFO", "table service did not confirm a configuration change; retrying")
    CONFIG_BEHIND = (2012, "WARNING", "peers have a newer configuration than the store; credentials unconfirmed")

    # 3001 and up: single requests, identified by X-Request-Id.
    REQUEST_ENDED = (3001, "INFO", "request ended")
    REQUEST_RETRIED = (3002, "INFO", "attempt failed")
    STREAM_RESUMED = (3003, "INFO", "stream resumed after a fault")
    STREAM_BROKEN = (3004, "WARNING", "stream could not be continued")
    PROTOCOL_VIOLATION = (3005, "WARNING", "back end broke the protocol; its connection is closed")
    CALLER_GONE = (3006, "INFO", "caller disconnected; its work is cancelled")
    CLAIM_ABANDONED = (3007, "WARNING", "final state of a claim could not be written to the table service")
    ANSWER_DISCARDED = (3008, "WARNING", "received bytes discarded: they answer no request in flight")
    REQUEST_REFUSED = (3009, "INFO", "request ended with an error of the router")
    REQUEST_QUARANTINED = (3010, "WARNING", "request is quarantined: back ends that ran it crashed")
    ATTEMPT_FOR_PEER = (3011, "INFO", "attempt made, declined or cancelled for a peer that has no path of its own")
    PART_QUARANTINED = (
        3012,
        "WARNING",
        "part of prompts is quarantined: back ends that began answers on it crashed",
    )
    PART_RELEASED = (3013, "INFO", "part of prompts is no longer quarantined")
    PART_TRIED = (3014, "INFO", "request with a quarantined part is sent as a trial")
    SILENCE_ENDED = (3015, "INFO", "back end was silent: second attempt beside it ended, or none was made")
    UNFRAMED_ANSWER_ENDED = (3016, "INFO", "answer without a length ended as its connection was closed")
    STREAM_LOOKED_UP = (3017, "INFO", "stream that its caller resumes was looked up")
    CLAIM_RETRIED = (3020, "INFO", "table service did not confirm a claim; retrying")

    # 4001 and up: the platform's store and other services.
    TABLE_UNAVAILABLE = (4001, "WARNING", "table service is unavailable")
    MACHINE_LIST_UNAVAILABLE = (4002, "WARNING", "machine list is unavailable")
    STORE_LOST = (4003, "WARNING", "store does not answer for these rows")
    STORE_REGAINED = (4004, "INFO", "store answers again for these rows")
    CRASHES_NOT_WRITTEN = (4005, "WARNING", "crashes could not be recorded in the store; retrying")
    FEED_RESTARTED = (4006, "INFO", "store lacks the changes since this node's version; all rows are read again")
    STORE_RESTORED = (4007, "WARNING", "store was restored from an older copy; rows written since are lost")
    STORE_ERA_UNREADABLE = (4008, "WARNING", "store's era number cannot be parsed; the previous one is used")
    PAGE_NOT_APPLIED = (
        4010,
        "ERROR",
        "unexpected error while a page of rows was applied; all rows are read again",
    )
    STORE_ROW_LEFT_OUT = (4011, "WARNING", "row in an answer of the store has no readable key; it is left out")
    ROWS_WENT_BACK = (4009, "WARNING", "rows that were read are older than this node's copy and are ignored")

    # 5001 and up: nodes, leases and the links between nodes.
    MEMBER_JOINED = (5001, "INFO", "member joined")
    MEMBER_SUSPECT = (5002, "WARNING", "member is suspected to have failed")
    MEMBER_DEAD = (5003, "WARNING", "member is considered failed")
    MEMBER_LEFT = (5004, "INFO", "member left")
    CLUSTER_MESSAGE_REFUSED = (5005, "WARNING", "message from a peer refused")
    LEASE_ACQUIRED = (5006, "INFO", "lease acquired")
    LEASE_LOST = (5007, "WARNING", "lease lost")
    RELAY_LOST = (5008, "INFO", "peer does not relay rows; this node does not follow it for a while")
    RELAY_NOT_SERVED = (5009, "WARNING", "no free port to serve peers on; they read rows from the store")
    REGION_LOST = (5010, "WARNING", "no reports from another region; its loads are left out")
    REGION_REGAINED = (5011, "INFO", "another region reports again")
    PEER_SILENT = (5012, "INFO", "peer does not answer; logged once until it does")
    PEER_ANSWERS = (5013, "INFO", "peer answers again")
    PEER_REPLY_UNREADABLE = (5014, "WARNING", "reply of a peer cannot be decoded; it counts as no answer")
    PEER_REQUEST_REFUSED = (
        5015,
        "WARNING",
        "request of a peer cannot be decoded or served; its connection is closed",
    )
    LEASE_UNCONFIRMED = (5016, "WARNING", "store did not answer a lease call; a held lease expires at its end")
    LEASE_NOT_RELEASED = (5017, "INFO", "lease could not be released; other nodes wait until it expires")
    CONFIG_NOT_SERVED = (5020, "INFO", "configuration not sent to a peer: no valid request, or disconnected")
    MEMBER_NOT_REGISTERED = (5021, "WARNING", "store did not accept this node's member row; retried every second")
    MEMBER_ROW_UNREADABLE = (5022, "WARNING", "member row not decodable; node shares budgets but is not followed")
    OWN_ROW_UNREADABLE = (5024, "WARNING", "row of the nodes' own table cannot be decoded; it is ignored")
    STREAM_DATAGRAM_LOST = (5025, "INFO", "datagrams about streams could not be sent or decoded")
    STREAMS_NOT_WRITTEN = (5026, "WARNING", "store did not accept versions or streams; retried, logged once")
    STREAM_RECORDS_UNREAD = (5027, "WARNING", "versions and streams in the store could not be read")
    PEER_PORTS_REFUSED = (5023, "INFO", "could not listen on some ports for peers; the next ones were tried")
    ENTRY_UNREADABLE = (5030, "WARNING", "entry of a list or table cannot be read; it counts as absent")

    # 6001 and up: back ends, engines' caches, KV stores and zones.
    ENGINE_INCARNATION = (6001, "INFO", "engine has a new incarnation; its cache entries are dropped")
    ENGINE_EVENTS_GAP = (6002, "WARNING", "cache events were lost; resynchronising")
    ENGINE_CALL_FAILED = (6020, "INFO", "engine did not answer a cancellation or an order")
    ENGINE_UNREACHABLE = (6003, "WARNING", "engine cannot be reached")
    BACKEND_LEAVING = (6004, "INFO", "back end is leaving and gets no new requests")
    BREAKER_OPENED = (6005, "WARNING", "circuit breaker opened")
    BACKEND_LISTED = (6006, "INFO", "back end listed or changed")
    BACKEND_GONE = (6007, "INFO", "back end is no longer listed")
    BACKEND_SUSPENDED = (6008, "WARNING", "back end gets no requests for a while after failures")
    CACHE_STORE_LOST = (6009, "WARNING", "KV store does not answer; nothing is fetched or saved")
    CACHE_STORE_REGAINED = (6010, "INFO", "KV store answers again")
    BACKEND_SILENT = (6011, "WARNING", "back end does not answer a probe; second attempts are made elsewhere")
    ZONE_SUSPECTED = (
        6012,
        "WARNING",
        "connection attempts to a zone time out; its back ends get no requests until one answers",
    )
    ZONE_RETURNED = (6013, "INFO", "a zone answers again; its back ends get requests")
    BACKEND_CRASHED = (6014, "WARNING", "back end crashed; the requests it was running are suspects")
    CACHE_EVENTS_REFUSED = (6015, "WARNING", "KV store answers but sends no events; its last known content is used")
    BACKEND_ANNOUNCED_LEAVING = (
        6016,
        "INFO",
        "back end announced in an answer that it is leaving; it gets no new requests",
    )
    BACKEND_REQUESTED_BACKOFF = (6017, "INFO", "back end refused a request and asked for a backoff")
    BACKEND_BACKOFF_ENDED = (6018, "INFO", "back end accepts requests again after a backoff that it had asked for")
    BACKEND_NOTICE_UNREADABLE = (6019, "INFO", "number in an answer of a back end cannot be parsed; it is ignored")
    BACKEND_LIMIT_STATED = (6021, "INFO", "back end states a limit of requests per second for all nodes together")
    BACKEND_LIMIT_ENDED = (6022, "INFO", "back end no longer states a request limit")
    BACKEND_ENTRY_UNREADABLE = (6023, "WARNING", "entry of a back end cannot be decoded; it counts as absent")
    SERVICE_UNREACHABLE = (6024, "WARNING", "this node can connect to no back end of a service")
    SERVICE_REACHABLE = (6025, "INFO", "this node can connect to a back end of a service again")
    SERVICE_BRITTLE = (6026, "WARNING", "back ends of a service fail if they refuse more requests per second")
    SERVICE_NOT_BRITTLE = (6027, "INFO", "back ends of a service are no longer brittle")
    REFUSALS_INCONCLUSIVE = (
        6028,
        "INFO",
        "back end refuses connections, which shows no crash: other nodes may reach it, or none can tell",
    )

    # 7001 and up: weights on engines, and rollouts of software.
    ORDER_SENT = (7001, "INFO", "fenced order sent to an engine")
    ORDER_REFUSED = (7002, "WARNING", "fenced order refused")
    WEIGHTS_NAMED = (7003, "INFO", "weights version named for a model")
    WEIGHTS_IN_PLACE = (7004, "INFO", "weights version is in place on an engine")
    WEIGHTS_PROGRESS_LOST = (7011, "INFO", "progress of a weights roll was not published; the roll continues")
    ROLLOUT_ORDERED = (7005, "INFO", "operators ordered a rollout of a service's software")
    ROLLOUT_REFUSED = (7006, "WARNING", "row of a rollout cannot be used")
    ROLLOUT_FOLLOWED = (7007, "INFO", "node follows a rollout's phase")
    ROLLOUT_DECIDED = (7008, "INFO", "rollout decided by the holder of the lease")
    ROLLOUT_STATUS_WRITTEN = (7009, "INFO", "status of a rollout written for operators")
    ROLLOUT_WRITE_FAILED = (7010, "WARNING", "rollout record was not written, or the store's reply was lost")
    ENGINE_CONTROL_FAILED = (7012, "INFO", "no usable answer to a report or order call of an engine")

    # 8001: emulators of the demo and the tests.
    EMULATOR_FAULT = (8001, "INFO", "fault switch changed")

    @property
    def number(self) -> int:
        """The number that identifies the event in logs and in the catalogue."""
        return self.value[0]

    @property
    def level(self) -> str:
        """The name of the loguru level at which the event is logged."""
        return self.value[1]

    @property
    def message(self) -> str:
        """The fixed text of the event."""
        return self.value[2]


def emit(event: Event, **fields: Any) -> None:
    """Log an event with its fields, which must not contain secrets."""
    logger.bind(event=event.number, **fields).log(event.level, event.message)


_HUMAN_FORMAT = "{time:YYYY-MM-DDTHH:mm:ss.SSS} {level: <7} {extra[event]} {message} {extra}"


_writers: list[LogWriter] = []
"""The writer of this process's log, if it writes JSON lines."""


def flush_log(timeout_s: float) -> None:
    """Wait until the log's reader has taken the queued lines, at most ``timeout_s`` seconds."""
    for writer in _writers:
        writer.flush_within(timeout_s)


def configure_logging(level: str, json_lines: bool) -> None:
    """Log events from ``level`` up to standard error, as JSON lines or as text for people."""
    logger.remove()
    _writers.clear()
    logger.configure(extra={"event": 0})
    if json_lines:
        writer = LogWriter(sys.stderr.fileno())
        _writers.append(writer)
        logger.add(JsonSink(writer, Event.REQUEST_ENDED.number), level=level, format="{message}")
    else:
        logger.add(sys.stderr, level=level, format=_HUMAN_FORMAT)
