"""The product's external formats as plain dicts, lists, strings and bytes, for the compatibility tests.

The tests under ``tests/unit/compatibility`` contain the expected literals. Except ``test_two_builds``, they do not
import the product but call the functions here, so that only this file follows when its modules or classes move.
"""

from __future__ import annotations

import argparse
import ast
import asyncio
import re
import zlib
from collections.abc import Awaitable, Callable, Iterator
from pathlib import Path
from types import SimpleNamespace
from typing import Any, get_args

import aiohttp
import msgspec
from aiohttp import web
from aiohttp.test_utils import make_mocked_request
from prometheus_client import CollectorRegistry, generate_latest

import wallwell
from tests.platform.fakes import own_table
from wallwell.address import parse_address
from wallwell.catalogue import errors_page, events_page
from wallwell.cli.main import build_parser
from wallwell.cluster.leases import LeaseBody
from wallwell.cluster.load_messages import (
    OthersLoad,
    RegionReply,
    RegionSum,
    ZoneLoad,
    pack_region_sum,
    unpack_region_sum,
)
from wallwell.cluster.row_messages import RelayedRow, RowsReply, reply_with_rows, unpack_rows
from wallwell.cluster.stream_messages import decode_stream_message
from wallwell.cluster.stream_records import StreamsRow
from wallwell.cluster.upstream import NodeRecord
from wallwell.cluster.version_rows import VersionsRow
from wallwell.deployment.backends import BackendRecord
from wallwell.deployment.store_era import UNKNOWN_ERA, StorePosition
from wallwell.errors import RequestError, SettingsError, WallwellError, all_error_types
from wallwell.events import Event
from wallwell.log_writer import JsonSink, LogWriter
from wallwell.node.kv_store_watch import CacheReply
from wallwell.node.metrics import NodeCollector
from wallwell.node.peer_checks import ConnectionCheckReply
from wallwell.outcomes import Outcome
from wallwell.placement.weights_roll import EngineReport, LoadTask, WeightsOrder
from wallwell.placement.weights_roll_driver import LoadProgress
from wallwell.platform import rows
from wallwell.platform.cache_events import CacheEventsClient, EventsBody, ListingBody
from wallwell.platform.caller_listener import CallerListener
from wallwell.platform.main import build_node
from wallwell.platform.rollouts import PlatformRolloutStore
from wallwell.platform.settings import PlatformSettings, load_platform_settings, settings_path
from wallwell.platform.store import PlatformStore, TableRows
from wallwell.platform.store_wire import RowsAnswer, TransactBody
from wallwell.platform.worker_client import WorkerClient, make_worker_pool
from wallwell.platform.worker_orders import OrderBody, ReportBody, WorkerControl
from wallwell.rollout.model import Phase, RolloutRecord
from wallwell.rollout.reports import CountsAcknowledged
from wallwell.rollout.store import StoredRollout
from wallwell.routing.admission.request_content import content_digest
from wallwell.routing.health.backend_notice import BackendNotices
from wallwell.routing.rendezvous import owner, rendezvous_key
from wallwell.routing.selection.kv_store import CachePage, CachePosition
from wallwell.serving.counters import RequestCounters
from wallwell.serving.messages import AttemptError, CachePlan, CallerRequest, Dispatch
from wallwell.standalone import operators_app
from wallwell.standalone.backends import engine_protocol
from wallwell.standalone.backends.engine_client import EngineClient, GenerationCall, GenerationHead
from wallwell.standalone.backends.service_client import ServiceCall, ServiceClient
from wallwell.standalone.callers import caller as own_callers
from wallwell.standalone.callers.app import CallersApp
from wallwell.standalone.callers.openai_format import ChatBody, CompletionBody, parse_generation, whole_answer
from wallwell.standalone.cluster import messages
from wallwell.standalone.cluster.claims import ClaimBody, ClaimTable
from wallwell.standalone.cluster.codec import LineCodec
from wallwell.standalone.cluster.transport import ConfigDeltaRequest
from wallwell.standalone.config.commit import ApplyAnswer, ApplyRequest, ConfigCommitter, HeadBody
from wallwell.standalone.config.parse import check_references, parse_file
from wallwell.standalone.config.schema import SPEC_TYPES
from wallwell.standalone.config.store import ConfigDelta, ConfigStore, FileRevision
from wallwell.standalone.machines import Machine
from wallwell.standalone.metrics import NodeMetrics
from wallwell.standalone.routing.blocks import CacheKey, hash_chain
from wallwell.standalone.settings import NodeSettings, load_settings, parse_settings
from wallwell.standalone.table_client import Commit
from wallwell.storage.feed import FeedPage, FeedRow, FollowedPage
from wallwell.storage.table import Row, Scan, Transaction

SOURCE = Path(wallwell.__file__).parent

# --- documents by kind -----------------------------------------------------------------------------------

_TYPES: dict[str, Any] = {
    "lease row": LeaseBody,
    "claim row": ClaimBody,
    "configuration head row": HeadBody,
    "configuration revision row": FileRevision,
    "member row": NodeRecord,
    "versions row": VersionsRow,
    "streams row": StreamsRow,
    "weights progress row": LoadProgress,
    "rollout record row": RolloutRecord,
    "rollout status row": rows.RolloutStatusRow,
    "rollout order row": rows.RolloutOrderRow,
    "weights version row": rows.WeightsVersionRow,
    "back end row": rows.BackendRow,
    "operators' configuration row": rows.ConfigRow,
    "store transaction": TransactBody,
    "store answer": RowsAnswer,
    "worker order": OrderBody,
    "worker report": ReportBody,
    "cache events answer": EventsBody,
    "cache listing answer": ListingBody,
    "table transaction": Transaction,
    "table commit": Commit,
    "table row": Row,
    "table scan": Scan,
    "machine list": list[Machine],
    "rows reply": RowsReply,
    "others' load reply": OthersLoad,
    "zone load reply": ZoneLoad,
    "region reply": RegionReply,
    "region sum": RegionSum,
    "cache reply": CacheReply,
    "connection check reply": ConnectionCheckReply,
    "counts reply": CountsAcknowledged,
    "engine event line": engine_protocol.EventLine,
    "engine cache snapshot": engine_protocol.CacheSnapshot,
    "engine refusal": engine_protocol.Refusal,
    "engine cancel": engine_protocol.CancelRequest,
    "engine cancel answer": engine_protocol.CancelAnswer,
    "engine load order": engine_protocol.EngineLoadOrder,
    "operators' change": ApplyRequest,
    "operators' change answer": ApplyAnswer,
    "operators' status answer": operators_app.StatusAnswer,
    "operators' file answer": operators_app.FileView,
    "operators' error answer": operators_app.OperatorError,
    "completion request": CompletionBody,
    "chat request": ChatBody,
}


def kinds() -> list[str]:
    """Return the kinds of documents that :func:`rewrite` supports."""
    return sorted([*_TYPES, "peer request", "stream datagram"])


def rewrite(kind: str, text: str) -> str:
    """Decode a JSON document of a kind and return it re-encoded, both as the product does."""
    if kind == "peer request":
        return msgspec.json.encode(_node()._peer_server._decoder.decode(text)).decode()
    if kind == "stream datagram":
        return msgspec.json.encode(decode_stream_message(text.encode())).decode()
    return msgspec.json.encode(msgspec.json.decode(text, type=_TYPES[kind])).decode()


def rewrite_datagram(line: bytes, key: str) -> bytes:
    """Decode an authenticated datagram between nodes and return it re-encoded."""
    codec = LineCodec(key)
    return codec.encode(codec.decode(line))


def rewrite_line(kind: str, line: bytes, key: str) -> bytes:
    """Decode an authenticated line over TCP (``revisions wanted`` or ``revisions``) and return it re-encoded."""
    codec = LineCodec(key)
    return codec.encode(
        codec.decode_as(line, {"revisions wanted": ConfigDeltaRequest, "revisions": ConfigDelta}[kind])
    )


def datagram_types() -> int:
    """Return the number of datagram types."""
    return len(get_args(messages.ClusterMessage))


def peer_request_types() -> list[str]:
    """Return the type names that requests between nodes carry on the wire."""
    return sorted(msgspec.inspect.type_info(each).tag for each in _node()._peer_server._handlers)


def relayed_tables() -> list[str]:
    """Return the names of the tables that nodes relay to each other."""
    return sorted(_node()._followers.relayed_tables)


def read_packed_sum(packed: bytes) -> str:
    """Return a region's load sum, decompressed, as JSON."""
    return msgspec.json.encode(unpack_region_sum(packed, "peer")).decode()


def pack_sum(text: str) -> bytes:
    """Return a region's load sum as it is sent: compressed."""
    return pack_region_sum(msgspec.json.decode(text, type=RegionSum))


def read_rows_reply(text: str) -> list[tuple[str, str | None, int]]:
    """Return the rows of a reply between nodes, each as key, value and version."""
    found = unpack_rows(msgspec.json.decode(text, type=RowsReply), "peer")
    return [(row.key, None if row.value is None else row.value.decode(), row.version) for row in found]


def rows_reply(version: int, store_s: float, rows: list[tuple[str, str | None, int]]) -> tuple[str, str]:
    """Return a reply that carries rows, and the decompressed JSON of its packed part."""
    page = tuple(FeedRow(key, None if value is None else value.encode(), at) for key, value, at in rows)
    reply = reply_with_rows(FeedPage(page, version, store_s))
    unpacked = zlib.decompress(reply.packed).decode() if reply.packed else ""
    msgspec.json.decode(unpacked or "[]", type=tuple[RelayedRow, ...])
    return msgspec.json.encode(msgspec.structs.replace(reply, packed=b"")).decode(), unpacked


# --- settings and operators' files -------------------------------------------------------------------------


def _plain(value: msgspec.Struct) -> dict[str, Any]:
    return msgspec.json.decode(msgspec.json.encode(value), type=dict[str, Any])


def _fields(struct: Any, prefix: str = "") -> Iterator[tuple[str, str]]:
    for each in msgspec.structs.fields(struct):
        name = f"{prefix}{each.encode_name}"
        inner = [arg for arg in (each.type, *get_args(each.type)) if isinstance(arg, type)]
        structs = [arg for arg in inner if issubclass(arg, msgspec.Struct)]
        if each.required:
            yield name, "required"
        else:
            default = each.default if each.default_factory is msgspec.NODEFAULT else each.default_factory()
            yield name, msgspec.json.encode(default).decode()
        for one in structs:
            yield from _fields(one, f"{name}.")


def settings_fields(of: str) -> dict[str, str]:
    """Return each key of a settings file or of an operators' file with its default as JSON, or ``required``."""
    types: dict[str, Any] = {"platform": PlatformSettings, "own": NodeSettings}
    types |= {kind.value: spec for kind, spec in SPEC_TYPES.items()}
    return dict(_fields(types[of]))


def file_kinds() -> list[str]:
    """Return the kinds of operators' files in the order in which they are applied."""
    return [kind.value for kind in SPEC_TYPES]


def platform_settings(path: Path) -> dict[str, Any]:
    """Return the settings in a file of the platform, and the durations derived from them in seconds."""
    settings = load_platform_settings(str(path))
    bounds, places = settings.fleet_bounds(), settings.topology()
    return {
        "document": _plain(settings),
        "peer_ports": list(settings.peer_ports()),
        "own_region": places.own_region,
        "has_regions": places.has_other_regions,
        "meaning": {
            "revoke_s": bounds.revocation_s,
            "strict_revoke": bounds.strict_revocation,
            "retry_ratio": bounds.retry_ratio,
            "retry_extra": bounds.retry_extra,
            "retry_window_s": bounds.retry_window_s,
            "lease_s": bounds.lease_s,
            "contact_s": bounds.startup_grace_s,
            "version_s": bounds.weights_staleness_s,
            "exposure_share": bounds.rollout.exposure_share,
            "exposure_slack": bounds.rollout.exposure_requests,
            "rollback_s": bounds.rollout.rollback_s,
        },
    }


def platform_settings_path() -> str:
    """Return the path of the settings file that the platform passes to the router."""
    return settings_path()


def own_settings(text: str) -> dict[str, Any]:
    """Return a parsed settings document of the router without the platform, or its problems."""
    try:
        return _plain(parse_settings(text, "node.yaml"))
    except SettingsError as error:
        return {"refused": str(error).splitlines()}


def own_settings_file(path: Path) -> dict[str, Any]:
    """Return the parsed contents of a settings file of the router without the platform."""
    return _plain(load_settings(path))


def operators_file(text: str) -> dict[str, Any]:
    """Return an operators' file as nodes store it, or its problems."""
    file, problems = parse_file(text)
    if file is None:
        return {"problems": [str(problem) for problem in problems]}
    return {"key": str(file.key), "digest": file.digest, "spec": file.spec_json}


def operators_directory(texts: list[str]) -> list[str]:
    """Return the keys of the files in an operators' directory, and the problems between the files."""
    files = {file.key: file for file, _ in map(parse_file, texts) if file is not None}
    return [*map(str, files), *map(str, check_references(files))]


# --- errors, events, metrics, command line -----------------------------------------------------------------


def error_table() -> dict[str, tuple[str, int, str]]:
    """Return the title, HTTP status and outcome of each error by its code."""
    table: dict[str, tuple[str, int, str]] = {}
    for each in all_error_types():
        assert each.code not in table, each.code
        outcome = each.outcome.value if issubclass(each, RequestError) else ""
        table[each.code] = (each.__name__, each.http_status, outcome)
    return table


def error_text(code: str) -> str:
    """Return an error as logs and the standard error stream show it."""
    return str(_error(code))


def operators_error_answer(code: str) -> tuple[int, str]:
    """Return status and body of an error answered to operators of the router without the platform."""

    async def fail(request: web.Request) -> web.StreamResponse:
        raise _error(code)

    app = operators_app.OperatorsApp(SimpleNamespace())  # type: ignore[arg-type]
    response: Any = asyncio.run(app._guard(make_mocked_request("GET", "/healthz"), fail))
    return response.status, response.body.decode()


def _error(code: str, retry_after_ms: int = 0) -> WallwellError:
    kind = next(each for each in all_error_types() if each.code == code)
    return kind("detail", retry_after_ms) if issubclass(kind, RequestError) else kind("detail")


def outcomes() -> list[str]:
    """Return the possible outcomes of a request."""
    return [each.value for each in Outcome]


def event_table() -> dict[int, tuple[str, str, str]]:
    """Return name, level and message of each log event by its number."""
    assert len({each.number for each in Event}) == len(Event)
    return {each.number: (each.name, each.level, each.message) for each in Event}


def generated_rows(page: str) -> list[str]:
    """Return the first cells of each row of a generated page: codes of errors or numbers of events."""
    text = {"errors": errors_page, "events": events_page}[page]()
    return [line.split("|")[1].strip() for line in text.splitlines() if re.match(r"\| (WW)?\d", line)]


def event_fields() -> dict[int, list[str]]:
    """Return the fields with which each event is logged anywhere; ``**`` stands for names built at run time."""
    found: dict[int, set[str]] = {}
    for path in SOURCE.rglob("*.py"):
        text = path.read_text(encoding="utf-8")
        if "emit(" not in text:
            continue
        tree = ast.parse(text)
        for call in ast.walk(tree):
            if not isinstance(call, ast.Call) or getattr(call.func, "id", getattr(call.func, "attr", "")) != "emit":
                continue
            names = _events_in(call.args[0]) or _events_assigned(tree, call.args[0])
            assert names, f"{path}:{call.lineno} logs an event that is not known"
            for name in names:
                fields = {keyword.arg or "**" for keyword in call.keywords}
                found.setdefault(Event[name].number, set()).update(fields)
    return {number: sorted(fields) for number, fields in sorted(found.items())}


def _events_in(node: ast.AST) -> list[str]:
    return [
        each.attr
        for each in ast.walk(node)
        if isinstance(each, ast.Attribute) and isinstance(each.value, ast.Name) and each.value.id == "Event"
    ]


def _events_assigned(tree: ast.AST, node: ast.expr) -> list[str]:
    """Return the events assigned to the name that an expression begins with."""
    base = node.value if isinstance(node, ast.Subscript) else node
    name = base.id if isinstance(base, ast.Name) else ""
    assigned = [each for each in ast.walk(tree) if isinstance(each, ast.Assign)]
    return [
        event
        for each in assigned
        if any(isinstance(target, ast.Name) and target.id == name for target in each.targets)
        for event in _events_in(each.value)
    ]


def log_line(number: int, fields: dict[str, Any]) -> dict[str, Any]:
    """Return the JSON line of an event."""
    lines: list[dict[str, Any]] = []
    writer = SimpleNamespace(write=lambda line, is_important: lines.append(line))
    time = SimpleNamespace(isoformat=lambda timespec: f"TIME in {timespec}")
    event = next(each for each in Event if each.number == number)
    record = {
        "extra": {"event": number, **fields},
        "time": time,
        "level": SimpleNamespace(name=event.level),
        "message": event.message,
    }
    JsonSink(writer, Event.REQUEST_ENDED.number)(SimpleNamespace(record=record))  # type: ignore[arg-type]
    return lines[0]


def lost_lines_notice(path: Path) -> bytes:
    """Return the line that is logged after three log lines were lost."""
    with path.open("wb") as file:
        writer = LogWriter(file.fileno())
        writer.dropped = 3
        writer.flush()
    return path.read_bytes()


def _metric_table(text: str, declared: dict[str, tuple[str, ...]]) -> dict[str, str]:
    """Return ``type label,label`` of each family, and the bounds of histograms."""
    table = {}
    for name, kind in re.findall(r"^# TYPE (\S+) (\S+)$", text, re.MULTILINE):
        if name.endswith("_created"):
            continue
        bounds = dict.fromkeys(re.findall(rf'^{name}_bucket{{.*?le="([^"]+)"', text, re.MULTILINE))
        labels = declared.get(name, declared.get(name.removesuffix("_total"), ()))
        table[name] = " ".join([kind, ",".join(labels), ",".join(bounds)]).strip()
    return table


def metrics_of_platform_router() -> dict[str, str]:
    """Return type, labels and bucket bounds of the metrics of a router on the platform, by exposed name."""
    counters = RequestCounters()
    counters.on_answered("stream", 0.1, 0.2, 0.1)
    collector = NodeCollector(counters, {}, _node().state, is_ready=True)
    registry = CollectorRegistry()
    registry.register(collector)  # type: ignore[arg-type]
    declared = {each.name: tuple(each._labelnames) for each in collector.collect()}
    return _metric_table(_exposition(registry), declared)


def metrics_of_own_router() -> dict[str, str]:
    """Return type, labels and bucket bounds of the metrics of a router without the platform, by exposed name."""
    metrics = NodeMetrics()
    declared = {}
    for each in set(metrics.registry._collector_to_names):
        declared[each._name] = tuple(each._labelnames)
        if each._labelnames:
            each.labels(*["x"] * len(each._labelnames))
    return _metric_table(metrics.render().decode(), declared)


def _exposition(registry: CollectorRegistry) -> str:
    """Return a registry's text exposition."""
    return generate_latest(registry).decode()


def command_line() -> dict[str, list[str]]:
    """Return each command with its arguments: names, then the settings that differ from argparse's defaults."""
    parser = build_parser()
    return {name: sorted(_arguments(each)) for name, each in _subcommands(parser).items()}


def _subcommands(parser: argparse.ArgumentParser, prefix: str = "") -> dict[str, argparse.ArgumentParser]:
    found = {}
    for action in parser._actions:
        if isinstance(action, argparse._SubParsersAction):
            for name, each in action.choices.items():
                found[f"{prefix}{name}"] = each
                found |= _subcommands(each, f"{prefix}{name} ")
    return found


def _arguments(parser: argparse.ArgumentParser) -> Iterator[str]:
    for action in parser._actions:
        if isinstance(action, argparse._HelpAction):
            continue
        words = [*action.option_strings] or [f"<{action.dest}>"]
        if action.required:
            words.append("required")
        if action.nargs is not None and not isinstance(action, argparse._SubParsersAction):
            words.append(f"nargs={action.nargs}")
        if action.type is not None:
            words.append(f"type={getattr(action.type, '__name__', action.type)}")
        if action.choices is not None:
            words.append(f"choices={','.join(map(str, action.choices))}")
        if action.default not in (None, argparse.SUPPRESS):
            words.append(f"default={action.default}")
        yield " ".join(words)


# --- a node, its store and its workers ---------------------------------------------------------------------


def _node() -> Any:
    document = {
        "node": "n1",
        "zone": "z1",
        "listen": {"front": "127.0.0.1:1", "ready": "127.0.0.1:2"},
        "provider": {"addr": "127.0.0.1:3"},
    }
    return build_node(msgspec.convert(document, PlatformSettings))


class _RecordingPool:
    """Records sent requests and returns prepared answers, selected by the beginning of the request."""

    def __init__(self, answers: dict[str, bytes] | None = None) -> None:
        self.sent: list[str] = []
        self._answers = answers or {}

    async def fetch(self, address: str, data: bytes, timeout_s: float, on_head: object = None) -> tuple[int, bytes]:
        self.sent.append(data.decode())
        found = (answer for start, answer in self._answers.items() if data.decode().startswith(start))
        return 200, next(found, b'{"ver":7}')


def _recorded(act: Callable[[Any, Any], Awaitable[Any]], answers: dict[str, bytes] | None = None) -> list[str]:
    """Return the calls that a node makes to its store."""
    node = _node()
    store = PlatformStore(parse_address("127.0.0.1:3"))
    store._pool = pool = _RecordingPool(answers)  # type: ignore[assignment]
    node._member_rows._table._store._pool = pool
    asyncio.run(act(node, store))  # type: ignore[arg-type]
    return pool.sent


def store_reads() -> list[str]:
    """Return the calls that read a whole table in two pages, follow its changes, and get one row."""

    async def act(node: Any, store: Any) -> None:
        await TableRows(store, "servers").read_all()
        await TableRows(store, "op").changes(StorePosition(UNKNOWN_ERA, 9), 0.8)
        await own_table(store).get("lease/weights")

    page = b'{"ver":7,"now_ms":1000.0,"rows":[{"key":"a","value":"e30=","ver":3}],"more":true}'
    return _recorded(act, {"GET /api/rows-get?table=servers&part=&limit=500 ": page})


def store_writes(what: str) -> list[str]:
    """Return the calls that write one kind of row."""
    return _recorded(
        {
            "weights lease": lambda node, store: node._weights_roll._lease.try_acquire(0.0),
            "rollout lease": lambda node, store: node._rollout_driver._lease.try_acquire(0.0),
            "member": _write_member,
            "crash": _write_crash,
            "weights progress": _write_progress,
            "rollout": _write_rollout,
        }[what]
    )


async def _write_member(node: Any, store: Any) -> None:
    node._member_rows._own_version = 4
    await node._member_rows.register(NodeRecord("z1", "127.0.0.1:9", 30.0))


async def _write_crash(node: Any, store: Any) -> None:
    node._crash_watch._write({"crash/c1/w1": True, "crash/c2/w2": False})
    await node._crash_watch.write_batch()


async def _write_progress(node: Any, store: Any) -> None:
    for name in ("w1", "w2"):
        node.state.backends.upsert(BackendRecord(name, "svc", parse_address(f"127.0.0.1:{name[1]}"), "z1", 1))
    node._weights_roll._loading["w1"] = LoadTask(node.state.backends.get("w1"), "m", 3)
    node._weights_roll._finished["w2"] = ("m", 3)
    await node._weights_roll._publish_progress("m")


async def _write_rollout(node: Any, store: Any) -> None:
    record = RolloutRecord("svc", "v2", 12, 5.0, 60.0, Phase.SWITCHING, 0.5, "why", 3, 4, ("v0",), 6.0)
    rollouts = PlatformRolloutStore(store)
    await rollouts.read("svc")
    await rollouts.write(record, StoredRollout(None, 2, "", 3), 8)


class _RecordingTable:
    """A table service that records transactions and returns prepared rows."""

    def __init__(self, rows: dict[str, str]) -> None:
        self.rows = rows
        self.sent: list[str] = []

    async def transact(self, transaction: Transaction) -> int:
        self.sent.append(msgspec.json.encode(transaction).decode())
        return 7

    async def get(self, key: str) -> Row | None:
        return Row(key, self.rows[key], 5) if key in self.rows else None

    async def scan(self, prefix: str, after_version: int) -> Scan:
        found = [Row(key, value, 5) for key, value in self.rows.items() if key.startswith(prefix)]
        return Scan(5, tuple(found))


def claim_writes(rows: dict[str, str]) -> list[str]:
    """Return the transactions of a claim that is granted, of a recorded one, and of a released one."""
    table = _RecordingTable(rows)

    async def act() -> None:
        claims = ClaimTable(table)
        claim = await claims.claim("acme", "orders/k1", "d1", "id1")
        table.rows["claim/acme/orders/k1"] = '{"claim_id":"id1","digest":"d1","state":"open"}'
        await claims.record(claim, 200, "body")
        await claims.release(claim)

    asyncio.run(act())
    return table.sent


def claim_found(value: str) -> tuple[str, int, str]:
    """Return what a claim reads from the row of an earlier claim."""
    table = _RecordingTable({"claim/acme/orders/k1": value})
    claim = asyncio.run(ClaimTable(table).claim("acme", "orders/k1", "d1", "id2"))
    return claim.result.value, claim.status, claim.body


def configuration_writes(rows: dict[str, str], text: str) -> tuple[list[str], str]:
    """Return the transactions of an operators' change to a table with ``rows``, and the answer to the change."""
    table, store = _RecordingTable(rows), ConfigStore()
    committer = ConfigCommitter(table, store, store.apply)
    answer = asyncio.run(committer.apply(ApplyRequest("a1", "maria", text)))
    sent = [re.sub(r'accepted_at_ms\\":\d+', 'accepted_at_ms\\":0', each) for each in table.sent]
    return sent, msgspec.json.encode(answer).decode()


def read_rows(table: str, given: list[tuple[str, str]]) -> dict[str, Any]:
    """Return a node's state after it has read rows of a table: ``op``, ``servers`` or ``wallwell``."""
    node, now_s = _node(), 0.0
    page = FeedPage(tuple(FeedRow(key, value.encode(), at) for at, (key, value) in enumerate(given, 1)), 9, 0.0)
    followed = FollowedPage(page, True, now_s, float("-inf"))
    state = node.state
    if table == "op":
        node._operator_rows.apply(followed)
        config = state.config
        orders = [
            (each.service, each.target_version, each.duration_s, each.store_version)
            for each in state.rollouts.orders.values()
        ]
        return {
            "version": config.version,
            "routes": [_route(each) for each in config.routes],
            "services": [_service(each) for each in config.services],
            "tenants": [_tenant(each) for each in config.tenants],
            "bounds": [config.bounds.max_body_bytes, config.bounds.idle_timeout_s],
            "weights": state.weights.newest_version("m"),
            "orders": orders,
        }
    if table == "servers":
        node._backend_rows.apply(followed)
        return {each.incarnation: _backend(each.record) for each in state.backends.all_backends()}
    node._member_rows.apply(followed)
    return {
        "members": {name: [each.zone, each.relay, each.link_mbps] for name, each in node._order.members.items()},
        "lease holders": [node._weights_roll._lease_candidate.holder, node._rollout_driver._turn.holder],
        "rollouts": {
            name: [each.target_version, each.phase.value, each.share, list(each.barred)]
            for name in ("svc",)
            if (each := state.rollouts.record(name)) is not None
        },
        "weights": state.weights.newest_version("m"),
        "suspects": state.quarantine.suspect_count,
        "quarantined": state.quarantine.quarantined_count,
    }


def _route(route: Any) -> dict[str, Any]:
    return {
        "name": route.name,
        "host": route.host,
        "path_prefix": route.path_prefix,
        "kind": route.kind.value,
        "services": [[each.service, each.weight] for each in route.services],
        "timeout_s": route.timeout_s,
        "objective_s": route.objective_s,
        "attempts": route.max_attempts,
        "priority": route.rank,
        "public": route.public,
        "can_resume": route.resumable,
        "gap_s": route.max_gap_s,
        "repeatable": route.repeatable,
    }


def _service(service: Any) -> list[Any]:
    engines = service.engines
    traits = [] if engines is None else [engines.slots, engines.kv_tokens, list(engines.models)]
    address = "" if service.kv_store_address is None else str(service.kv_store_address)
    return [service.name, service.max_connections, traits, address, service.zone]


def _tenant(tenant: Any) -> list[Any]:
    limit = tenant.limit
    bound = (
        None
        if limit is None
        else [limit.rate_per_s, limit.burst, limit.counts_tokens, limit.default_request_tokens]
    )
    return [tenant.name, list(tenant.credentials), tenant.rank, tenant.isolated, bound]


def _backend(record: BackendRecord) -> list[Any]:
    told = [record.service, str(record.address), record.zone, record.slots, record.draining]
    return [*told, dict(record.versions), record.software, record.slow_for_s]


async def _server(answer: bytes, heard: list[bytes]) -> tuple[asyncio.Server, str]:
    """Start a server that gives one prepared answer to every request and appends each request to ``heard``."""

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        head = await reader.readuntil(b"\r\n\r\n")
        length = re.search(rb"(?i)content-length: (\d+)", head)
        heard.append(head + await reader.readexactly(int(length[1]) if length else 0))
        writer.write(answer)
        await writer.drain()
        writer.close()

    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    return server, f"127.0.0.1:{server.sockets[0].getsockname()[1]}"


def _head_lines(data: bytes, dropped: tuple[str, ...]) -> list[str]:
    """Return the lines of a message's head, without headers that the product does not set, and its body."""
    head, _, body = data.decode().partition("\r\n\r\n")
    kept = [line for line in head.split("\r\n") if not line.lower().startswith(dropped)]
    return [*kept, "", *body.split("\r\n")]


def _lower_names(lines: list[str]) -> list[str]:
    """Return a head with lower-case header names, since the HTTP library capitalizes some of them."""
    end = lines.index("")
    return [re.sub(r"^[^: ]+:", lambda name: name[0].lower(), line) for line in lines[:end]] + lines[end:]


class _OneDispatch:
    """A substitute for the node behind the callers' listener: sends each request once, or refuses it."""

    def __init__(self, error: RequestError | None, dispatch: dict[str, Any], address: str) -> None:
        self.is_closing_connections = lambda: False
        self.takes_requests = lambda: True
        self.sheds_connection = lambda: False
        self.seen: dict[str, Any] = {}
        self._error = error
        self._dispatch = dispatch
        self._address = address

    def is_ready(self) -> bool:
        return not self._dispatch

    def metrics_text(self) -> bytes:
        return b"figures\n"

    async def serve(self, request: CallerRequest, reply: Any) -> None:
        generation = request.generation
        self.seen = {
            "host": request.host,
            "target": request.target,
            "credential": request.credential,
            "allowance_s": request.caller_timeout_s,
            "told_tokens": request.declared_tokens,
            "model": generation.model if generation else None,
            "parts": [[part.identity, part.tokens] for part in generation.parts] if generation else [],
            "resume_after": generation.resume_after if generation else None,
        }
        if self._error is not None:
            await reply.refuse(self._error)
            return
        backend = BackendRecord("inc-1", "svc", parse_address(self._address), "z1", 1)
        cache = _cache_plan(self._dispatch["cache"]) if "cache" in self._dispatch else None
        given = {name: value for name, value in self._dispatch.items() if name != "cache"}
        answer = await WorkerClient(make_worker_pool(), BackendNotices()).send(
            Dispatch(backend, request, cache=cache, **given)
        )
        body = b"".join([chunk async for chunk in answer.chunks()])
        await reply.answer(answer.head, body)


def _cache_plan(given: dict[str, str]) -> CachePlan:
    return CachePlan(given["scope"], parse_address(given["fetch_from"]), parse_address(given["save_to"]))


def pass_through(
    asked: bytes, answered: bytes, dispatch: dict[str, Any], refusal: tuple[str, int] | None = None
) -> dict[str, Any]:
    """Send a caller's bytes through listener and workers' client. ``refusal`` is a code and a Retry-After in ms."""
    error = _error(*refusal) if refusal is not None else None

    async def act() -> dict[str, Any]:
        heard: list[bytes] = []
        worker, address = await _server(answered, heard)
        node = _OneDispatch(error, dispatch, address)  # type: ignore[arg-type]
        answer = await _ask(CallerListener(node).callers_server(), asked)  # type: ignore[arg-type]
        worker.close()
        sent = _head_lines(heard[0], ()) if heard else []
        told = _lower_names(_head_lines(answer, ("date:", "server:")))
        return {"understood": node.seen, "to worker": sent, "to caller": told}

    return asyncio.run(act())


async def _ask(server: web.Server, asked: bytes) -> bytes:
    runner = web.ServerRunner(server)
    await runner.setup()
    site = web.TCPSite(runner, "127.0.0.1", 0)
    await site.start()
    port = site._server.sockets[0].getsockname()[1]  # type: ignore[union-attr]
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    writer.write(asked)
    answer = await reader.read()
    writer.close()
    await runner.cleanup()
    return answer


def plain_server(which: str, path: str, ready: bool = True) -> list[str]:
    """Return the answer of the readiness address or of the metrics address."""
    node = _OneDispatch(None, {} if ready else {"x": 1}, "")

    async def act() -> bytes:
        listener = CallerListener(node)  # type: ignore[arg-type]
        server = listener.ready_server() if which == "ready" else listener.metrics_server("/figures")
        return await _ask(server, f"GET {path} HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n".encode())

    return _head_lines(asyncio.run(act()), ("date:", "server:"))


def worker_failure(answered: bytes) -> tuple[str, str, int] | None:
    """Return how an attempt with this worker's answer failed (event, detail, weights), or None if it succeeded."""

    async def act() -> tuple[str, str, int] | None:
        heard: list[bytes] = []
        server, address = await _server(answered, heard)
        request = CallerRequest("r1", "h", "GET", "/", (), b"", "", None, 0.0)
        backend = BackendRecord("inc-1", "svc", parse_address(address), "z1", 1)
        try:
            await WorkerClient(make_worker_pool(), BackendNotices()).send(Dispatch(backend, request, "", 1.0, 5))
        except AttemptError as error:
            return error.event.value, error.detail, error.weights_version
        finally:
            server.close()
        return None

    return asyncio.run(act())


def worker_control(report: bytes) -> dict[str, Any]:
    """Return the calls for a worker's report and for an order, and the parsed report."""
    pool = _RecordingPool({"GET": report})
    workers = WorkerControl(pool, BackendNotices())  # type: ignore[arg-type]
    backend = BackendRecord("inc-1", "svc", parse_address("127.0.0.1:5"), "z1", 1)

    async def act() -> tuple[EngineReport | None, str]:
        found = await workers.fetch_report(backend)
        reply = await workers.send_order(backend, WeightsOrder("m", 3, "n1", 8, 2))
        return found, reply.value

    found, reply = asyncio.run(act())
    assert found is not None
    understood = [dict(found.versions), found.busy, found.accepted_orders]
    return {"sent": pool.sent, "report": understood, "reply": reply}


def order_replies(statuses: list[int]) -> dict[int, str]:
    """Return the interpretation of each status of a worker's answer to an order."""

    async def act(status: int) -> str:
        pool = _RecordingPool()

        async def fetch(address: str, data: bytes, timeout_s: float, on_head: object = None) -> tuple[int, bytes]:
            return status, b""

        pool.fetch = fetch  # type: ignore[method-assign]
        workers = WorkerControl(pool, BackendNotices())  # type: ignore[arg-type]
        backend = BackendRecord("inc-1", "svc", parse_address("127.0.0.1:5"), "z1", 1)
        return (await workers.send_order(backend, WeightsOrder("m", 3, "n1", 8, 2))).value

    return {status: asyncio.run(act(status)) for status in statuses}


def cache_calls(events: bytes, listing: bytes) -> dict[str, Any]:
    """Return the calls for a KV store's cache events and listing, and the parsed pages."""
    pool = _RecordingPool({"GET /api/kv-events": events, "GET /api/kv-list": listing})
    client = CacheEventsClient(pool)  # type: ignore[arg-type]
    address = parse_address("127.0.0.1:6")

    async def act() -> list[CachePage]:
        page = await client.events(address, CachePosition(4, 17), 0.5)
        return [page, await client.listing(address)]

    pages = [msgspec.json.encode(page).decode() for page in asyncio.run(act())]
    return {"sent": pool.sent, "pages": pages}


# --- the router without the platform: engines, services and callers ------------------------------------------

_NOT_OURS = ("host:", "accept", "user-agent:", "connection:")


def engine_calls(answered: bytes) -> dict[str, Any]:
    """Return a generation, a cancellation, an order and calls for events and snapshot as engines receive them."""

    async def act() -> dict[str, Any]:
        sent: dict[str, list[str]] = {}
        heard: list[bytes] = []
        server, address = await _server(answered, heard)
        head = GenerationHead()
        call = GenerationCall("/v1/completions", "r1.1", b"{}", 255, "inc-1", "w3", 4, 0, 2.0, 2.0)
        async with aiohttp.ClientSession() as session:
            client = EngineClient(address, session)
            events = [event.decode() async for event in client.generate(call, head)]
            await client.cancel("r1.1")
            await client.send_load_order(engine_protocol.EngineLoadOrder(8, "m", "w3"), 2.0)
            for reading in (client.snapshot, lambda: anext(client.events(17, "inc-1", 2.0))):
                try:
                    await reading()  # type: ignore[operator]
                except (msgspec.MsgspecError, StopAsyncIteration, aiohttp.ClientError):
                    pass  # The prepared answer is valid for a generation only.
        server.close()
        for name, data in zip(("generation", "cancel", "order", "snapshot", "events"), heard, strict=True):
            sent[name] = _head_lines(data, _NOT_OURS)
        return {"sent": sent, "events": events, "head": [head.cached_tokens, head.prompt_tokens, head.incarnation]}

    return asyncio.run(act())


def service_call(answered: bytes) -> dict[str, Any]:
    """Return a call as a service receives it, and the result of its answer."""

    async def act() -> dict[str, Any]:
        heard: list[bytes] = []
        server, address = await _server(answered, heard)
        client = ServiceClient()
        call = ServiceCall("POST", "book?x=1", "r1", {"Content-Type": "text/x", "Idempotency-Key": "k"}, b"b", 2.0)
        try:
            answer = await client.call(address, call)
            end = [answer.status, answer.body.decode(), answer.content_type]
        except Exception as error:
            end = [error.event.value, error.detail]  # type: ignore[attr-defined]
        await client.close()
        server.close()
        return {"sent": _head_lines(heard[0], _NOT_OURS), "end": end}

    return asyncio.run(act())


def own_error_answer(code: str, retry_after_ms: int) -> dict[str, Any]:
    """Return an error as the router without the platform answers it."""
    response = own_callers.error_response(_error(code, retry_after_ms), "r1")  # type: ignore[arg-type]
    body = response.body
    assert isinstance(body, bytes)
    return {"status": response.status, "headers": dict(response.headers), "body": body.decode()}


def own_caller(headers: dict[str, str], token_sha256: str) -> dict[str, Any]:
    """Return how the router without the platform parses a caller's headers, or the error's code."""
    spec = SimpleNamespace(default_priority=None, priorities=("urgent",))
    context = SimpleNamespace(
        ready=True,
        refusing=False,
        config=SimpleNamespace(
            tenant_by_token={token_sha256: SimpleNamespace(name="acme", spec=spec)},
            priorities={"urgent": SimpleNamespace(deadline_ms=1000, rank=2)},
        ),
    )
    request = make_mocked_request("POST", "/v1/completions", headers=headers)
    try:
        request_id = own_callers.request_id_or_new(request)
        found = own_callers.check_caller(context, request, request_id)  # type: ignore[arg-type]
    except RequestError as error:
        return {"code": error.code}
    return {
        "request_id": found.request_id,
        "tenant": found.tenant.name,
        "priority": found.priority_name,
        "deadline_ms": round((found.deadline_s - found.started_s) * 1000),
        "key": found.idempotency_key,
    }


def own_paths(of: str) -> list[str]:
    """Return methods and paths that the router without the platform serves to callers or operators."""
    context: Any = SimpleNamespace(settings=msgspec.convert(_OWN, NodeSettings), fleet_secret=b"")
    app = CallersApp(context).app() if of == "callers" else operators_app.OperatorsApp(context).app()
    found = [(route.method, route.resource.canonical) for route in app.router.routes() if route.resource]
    return sorted(f"{method} {path}" for method, path in found if method != "HEAD")


_OWN = {
    "node": "n1",
    "zone": "z1",
    "region": "r1",
    "operator_token": "0123456789abcdef",
    "cluster": {"key": "0123456789abcdef"},
    "platform": {"table": "http://127.0.0.1:1"},
}


def completion_answer(chat: bool, asked: bytes, events: list[bytes]) -> str:
    """Return the body of an answer that was not streamed."""
    return whole_answer(parse_generation(asked, chat), "r1", events, 5).decode()


def event_identity(event: bytes) -> tuple[str, int] | None:
    """Return request and token of an engine's event."""
    found = engine_protocol.parse_event_id(event)
    return None if found is None else (found.request_id, found.token_index)


# --- results that all nodes must agree -----------------------------------------------------------------------


def owner_of(names: list[str], text: str) -> str:
    """Return which of several nodes owns a key."""
    return owner(names, rendezvous_key(text))


def digest_of_content(host: str, target: str, caller: str, body: bytes) -> str:
    """Return the content digest under which a request's crashes are recorded."""
    return content_digest(host, target, caller, body)


def block_hashes(tenant: str, model: str, weights: str, adapter: str, secret: bytes, prompt: bytes) -> list[int]:
    """Return the hashes of a prompt's blocks of 4 bytes."""
    return hash_chain(CacheKey(tenant, model, weights, adapter).seed(secret), prompt, 4)


def packed_hashes(values: list[int]) -> tuple[str, list[int]]:
    """Return hashes as they are sent, and the hashes decoded from that."""
    text = engine_protocol.pack_hashes(values)
    return text, engine_protocol.unpack_hashes(text)
