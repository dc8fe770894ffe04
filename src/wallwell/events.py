"""Numbered log events and the logger's set-up.

Every line wallwell logs is an :class:`Event`: a number, a level and a message, with fields that vary. Numbers,
levels and names of fields stay, since others search logs by them; messages may be improved.
``docs/LOG_EVENTS.md`` is generated from this module by ``wallwell catalogue events``.
"""

from __future__ import annotations

import enum
import sys
from typing import Any

from loguru import logger

from wallwell.log_writer import JsonSink, LogWriter


class Event(enum.Enum):
    """Every log event: ``(number, level, message)``."""

    # 1001 and on: the life of a process, its machine and its log.
    NODE_STARTED = (1001, "INFO", "node started")
    NODE_READY = (1002, "INFO", "node is ready to serve")
    NODE_DRAINING = (1003, "INFO", "planned stop: refusing new work and finishing open requests")
    NODE_STOPPED = (1004, "INFO", "node stopped")
    INTERNAL_ERROR = (1006, "ERROR", "unexpected error")
    SETTINGS_RELOADED = (1007, "INFO", "settings file checked; its values take effect at the next start")
    LOG_LINES_LOST = (1008, "WARNING", "log lines lost")
    NODE_STOP_FORCED = (1009, "WARNING", "planned stop cut short by the end of its grace time")
    MACHINE_WOKEN = (1010, "WARNING", "machine was suspended; open time-outs are brought forward")
    CALLER_CONNECTIONS_ENDED = (1011, "INFO", "planned stop: callers' connections are closed")

    # 2001 and on: operators' configuration.
    CONFIG_ADVANCED = (2001, "INFO", "configuration advanced to a higher revision")
    CONFIG_ACCEPTED = (2002, "INFO", "operators' change accepted")
    CONFIG_REFUSED = (2003, "WARNING", "operators' change refused")
    CONFIG_WITHOUT_EFFECT = (2004, "WARNING", "accepted file has settings without effect")
    CONFIG_FETCH_FAILED = (2010, "INFO", "peer did not give the configuration; it is asked for elsewhere")
    CONFIG_WRITE_RETRIED = (2011, "INFO", "table service did not confirm a change of configuration; tried again")
    CONFIG_BEHIND = (2012, "WARNING", "peers know a newer configuration than the store; keys are not confirmed")

    # 3001 and on: single requests, by X-Request-Id.
    REQUEST_ENDED = (3001, "INFO", "request ended")
    REQUEST_RETRIED = (3002, "INFO", "attempt failed")
    STREAM_RESUMED = (3003, "INFO", "stream resumed after a fault")
    STREAM_BROKEN = (3004, "WARNING", "stream could not be continued")
    PROTOCOL_VIOLATION = (3005, "WARNING", "back end broke the protocol; its connection is closed")
    CALLER_GONE = (3006, "INFO", "caller disconnected; its work is cancelled")
    CLAIM_ABANDONED = (3007, "WARNING", "claim could not be settled in the table service")
    ANSWER_DISCARDED = (3008, "WARNING", "bytes that answer no request in flight discarded")
    REQUEST_REFUSED = (3009, "INFO", "request ended with an error of the router")
    REQUEST_QUARANTINED = (3010, "WARNING", "request is quarantined: back ends that ran it crashed")
    CLAIM_RETRIED = (3020, "INFO", "table service did not confirm a claim; tried again")

    # 4001 and on: the platform's store and other services.
    TABLE_UNAVAILABLE = (4001, "WARNING", "table service is unavailable")
    MACHINE_LIST_UNAVAILABLE = (4002, "WARNING", "machine list is unavailable")
    STORE_LOST = (4003, "WARNING", "store does not answer for these rows")
    STORE_REGAINED = (4004, "INFO", "store answers again for these rows")
    CRASHES_NOT_WRITTEN = (4005, "WARNING", "crashes not recorded in the store; retried")
    FEED_RESTARTED = (4006, "INFO", "store has no changes since the version known here; every row is read again")
    STORE_RESTORED = (4007, "WARNING", "store has come back from an older copy; what was written since is lost")
    STORE_ERA_UNREADABLE = (4008, "WARNING", "number of the store's era cannot be read; it is taken as before")
    ROWS_WENT_BACK = (4009, "WARNING", "rows that were read are older than those held here; they are refused")

    # 5001 and on: nodes, leases and links between them.
    MEMBER_JOINED = (5001, "INFO", "member joined")
    MEMBER_SUSPECT = (5002, "WARNING", "member is suspected to have failed")
    MEMBER_DEAD = (5003, "WARNING", "member is considered failed")
    MEMBER_LEFT = (5004, "INFO", "member left")
    CLUSTER_MESSAGE_REFUSED = (5005, "WARNING", "message from a peer refused")
    LEASE_ACQUIRED = (5006, "INFO", "lease acquired")
    LEASE_LOST = (5007, "WARNING", "lease lost")
    RELAY_LOST = (5008, "INFO", "peer does not relay rows; it is not followed for a while")
    RELAY_NOT_SERVED = (5009, "WARNING", "no free port for peers; they follow the store")
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
    LEASE_UNCONFIRMED = (5016, "WARNING", "store did not answer for a lease; what is held ends with its time")
    LEASE_NOT_RELEASED = (5017, "INFO", "lease was not released; others wait until its time is over")
    CONFIG_NOT_SERVED = (5020, "INFO", "configuration was not given to a peer: it sent nothing usable or went away")
    MEMBER_NOT_REGISTERED = (5021, "WARNING", "store did not take this node's member row; tried again each second")
    MEMBER_ROW_UNREADABLE = (5022, "WARNING", "member row cannot be decoded; it shares budgets but is not followed")
    OWN_ROW_UNREADABLE = (5024, "WARNING", "row of the nodes' own table cannot be decoded; it is ignored")
    PEER_PORTS_REFUSED = (5023, "INFO", "ports for peers could not be listened on; the next ones were tried")

    # 6001 and on: back ends, engines' caches, KV stores and zones.
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
    BACKEND_SILENT = (6011, "WARNING", "back end is unresponsive; its attempts are made elsewhere")
    ZONE_SUSPECTED = (
        6012,
        "WARNING",
        "connects into a zone time out; its back ends get no requests until one answers",
    )
    ZONE_RETURNED = (6013, "INFO", "a zone answers again; its back ends get requests")
    BACKEND_CRASHED = (6014, "WARNING", "back end crashed; the requests it was running are suspects")
    CACHE_EVENTS_REFUSED = (6015, "WARNING", "KV store answers but sends no events; its known content is used on")
    BACKEND_ANNOUNCED_LEAVING = (
        6016,
        "INFO",
        "answer of a back end says that it is leaving; it gets no new requests",
    )
    BACKEND_REQUESTED_BACKOFF = (6017, "INFO", "refusal of a back end asks for a time without requests")
    BACKEND_BACKOFF_ENDED = (6018, "INFO", "back end accepts requests again after it had asked for none")
    BACKEND_NOTICE_UNREADABLE = (6019, "INFO", "figure in an answer of a back end is no number; it is ignored")
    BACKEND_LIMIT_STATED = (6021, "INFO", "back end states how many requests a second it takes from all nodes")
    BACKEND_LIMIT_ENDED = (6022, "INFO", "back end states no limit of requests any more")
    BACKEND_ENTRY_UNREADABLE = (6023, "WARNING", "entry of a back end cannot be read; it names none")

    # 7001 and on: weights on engines, and rollouts of software.
    ORDER_SENT = (7001, "INFO", "fenced order sent to an engine")
    ORDER_REFUSED = (7002, "WARNING", "fenced order refused")
    WEIGHTS_NAMED = (7003, "INFO", "weights version named")
    WEIGHTS_IN_PLACE = (7004, "INFO", "weights version is in place on an engine")
    WEIGHTS_PROGRESS_LOST = (7011, "INFO", "progress of a weights roll was not published; the roll goes on")
    ROLLOUT_ORDERED = (7005, "INFO", "operators ordered a rollout of a service's software")
    ROLLOUT_REFUSED = (7006, "WARNING", "row of a rollout cannot be used")
    ROLLOUT_FOLLOWED = (7007, "INFO", "node follows a rollout's phase")
    ROLLOUT_DECIDED = (7008, "INFO", "rollout decided by the holder of the lease")
    ROLLOUT_STATUS_WRITTEN = (7009, "INFO", "status of a rollout written for operators")
    ROLLOUT_WRITE_FAILED = (7010, "WARNING", "record of a rollout was not written, or the answer was lost")
    ENGINE_CONTROL_FAILED = (7012, "INFO", "no usable answer to a report or order call of an engine")

    # 8001: stand-ins of the demo and the tests.
    EMULATOR_FAULT = (8001, "INFO", "fault switch changed")

    @property
    def number(self) -> int:
        """The event's number in the catalogue."""
        return self.value[0]

    @property
    def level(self) -> str:
        """The loguru level name."""
        return self.value[1]

    @property
    def message(self) -> str:
        """The fixed text of the event."""
        return self.value[2]


def emit(event: Event, **fields: Any) -> None:
    """Log ``event`` with its fields. Secrets never go into fields."""
    logger.bind(event=event.number, **fields).log(event.level, event.message)


_HUMAN_FORMAT = "{time:YYYY-MM-DDTHH:mm:ss.SSS} {level: <7} {extra[event]} {message} {extra}"


def configure_logging(level: str, json_lines: bool) -> None:
    """Send log events to standard error at ``level``, as JSON lines or for people."""
    logger.remove()
    logger.configure(extra={"event": 0})
    if json_lines:
        sink = JsonSink(LogWriter(sys.stderr.fileno()), Event.REQUEST_ENDED.number)
        logger.add(sink, level=level, format="{message}")
    else:
        logger.add(sys.stderr, level=level, format=_HUMAN_FORMAT)
