"""Messages between nodes with hostile values: each is refused or answered, and does no harm to what comes later."""

import asyncio
import base64
import zlib

import msgspec
import pytest

from tests.hostile_messages import drawn_bytes, hostile_messages, sound_value
from tests.unit.serving.fakes import FakeClient, Script, make_route
from tests.virtual_time import run_virtual
from wallwell.address import Address
from wallwell.clock import boot_time_s
from wallwell.cluster import peer_link, unexpected_errors
from wallwell.cluster.load_messages import (
    MemberLoad,
    OthersLoad,
    RegionLoad,
    RegionReply,
    RegionSum,
    ZoneLoad,
    pack_region_sum,
    unpack_region_sum,
)
from wallwell.cluster.load_reports import Load
from wallwell.cluster.peer_link import MAX_LINE_BYTES, PeerLink, PeerLinks, PeerServer
from wallwell.cluster.relay import MAX_CLOCK_ERROR_S, StaleCopyError
from wallwell.cluster.row_messages import RowsReply, RowsRequest
from wallwell.cluster.upstream import NodeRecord, Peer
from wallwell.deployment.backends import BackendRecord
from wallwell.deployment.routes import DeploymentConfig, RouteKind, TenantAccess, TenantLimit
from wallwell.deployment.store_era import StoreEra
from wallwell.errors import HistoryLostError, PeerUnavailableError
from wallwell.events import Event
from wallwell.node.crash_probe import ConnectionResult
from wallwell.node.kv_store_watch import CacheReply, CacheRequest
from wallwell.node.peer_checks import ConnectionCheckRequest
from wallwell.peer_attempts.messages import AttemptRequest
from wallwell.platform.main import build_node
from wallwell.platform.settings import PlatformSettings
from wallwell.rollout.reports import CountsAcknowledged, CountsReport
from wallwell.routing.selection.kv_store import CachePage, CachePosition, KvStoreContents
from wallwell.routing.selection.prefix_home import PromptPart
from wallwell.storage.feed import FeedPage, FeedRow
from wallwell.storage.replica import RowReplica

SETTINGS = {
    "node": "n1",
    "zone": "z1",
    "listen": {"front": "127.0.0.1:1", "ready": "127.0.0.1:2"},
    "provider": {"addr": "127.0.0.1:3"},
    "region": "r1",
    "zones": {"z1": "r1", "z2": "r2"},
}
ADDRESS = Address("10.9.0.1", 80)
FAR_S = 1e6
"""A time after the end of each test, until which the copies of the store's rows count as fresh."""
KEY = "k"
"""Key of the samples' mappings: here a back end, and a tenant with a limit."""
SOUND_CHANGES = {
    RowsRequest: {"table": "backends", "wait_s": 0, "after": 1, "era": 0},
    RegionLoad: {"packed": base64.b64encode(pack_region_sum(RegionSum("r2", Load()))).decode()},
    RowsReply: {"version": 3, "store_s": 1.0, "packed": "", "era": 0},
    CacheRequest: {"address": "10.9.0.1:80", "wait_s": 0},
    ConnectionCheckRequest: {"incarnation": KEY, "started_unix_ms": None},
    AttemptRequest: {
        "incarnation": KEY,
        "host": "h.example",
        "target": "L3g=",
        "started_unix_ms": None,
        "required_software": None,
    },
}
"""Values of samples with which a handler does its work, in place of refusing an unknown name at once."""


class Writer:
    """Collects the replies on a connection."""

    def __init__(self):
        self.written = b""
        self.transport = self

    def write(self, data):
        self.written += data

    async def drain(self):
        await asyncio.sleep(0)

    def close(self):
        pass

    async def wait_closed(self):
        pass

    def abort(self):
        pass

    def is_closing(self):
        return False

    def get_extra_info(self, name):
        return ("10.0.0.9", 7)


class AcceptingCheck:
    """Connects to each back end at once."""

    async def connect(self, backend):
        return ConnectionResult.ACCEPTED


def make_node():
    """Return a whole node that takes requests, with one back end, one tenant and copies of the store's rows."""
    node = build_node(msgspec.convert(SETTINGS, PlatformSettings))
    state = node.state
    tenant = TenantAccess(KEY, ("key",), limit=TenantLimit(100.0, 100.0, counts_tokens=True))
    route = msgspec.structs.replace(make_route(RouteKind.STREAM), public=True)
    state.apply_config(DeploymentConfig(1, (route,), tenants=(tenant,)))
    state.backends.upsert(BackendRecord(KEY, "svc", "10.0.0.1:80", "z1", 8, versions={"a": 1}))
    state.backends_known = True
    state.freshness.confirm(FAR_S)
    state.load.peers_configuration_version = 0
    node._clock.confirmed_s(boot_time_s(), boot_time_s())
    for rows in node._followers.relayed_tables.values():
        page = FeedPage((FeedRow(KEY, b"{}", 2),), 2, FAR_S)
        rows.replica.apply_page(page, is_snapshot=True)
    node._order.members = {"n1": NodeRecord("z1", "10.0.0.3:7")}
    node._peer_attempts._is_ready = lambda: True
    node._peer_checks._check = AcceptingCheck()
    node._peer_attempts._client = FakeClient(Script(chunks=(b"id: 1\ndata: x\n\n",), stream=True))
    state.kv_store_contents[ADDRESS] = KvStoreContents()
    state.kv_store_contents[ADDRESS].apply_page(CachePage(CachePosition(1, 1), whole=True))
    return node


async def exchange(server, line):
    """Send one line on a connection of its own and return what is answered."""
    reader, writer = asyncio.StreamReader(limit=MAX_LINE_BYTES), Writer()
    reader.feed_data(line + b"\n")
    if b"AttemptRequest" not in line:
        reader.feed_eof()
    await server._serve(reader, writer)
    return writer.written


async def check_reports(node):
    """Check that other nodes can read all that this node reports now."""
    reporter = node._load_reporter
    for message_type, reply_type in ((MemberLoad, OthersLoad), (ZoneLoad, ZoneLoad), (RegionLoad, RegionReply)):
        answered = await exchange(node._peer_server, msgspec.json.encode(SOUND[message_type]))
        reply = msgspec.json.decode(answered, type=reply_type)
        if message_type is RegionLoad:
            unpack_region_sum(reply.packed, "n1")
    links, reporter._links = reporter._links, AnsweringLinks({"sound": msgspec.json.encode(OthersLoad(SOUND_LOAD))})
    await reporter._report_to(Peer("sound", Address("10.0.0.1", 7)))
    msgspec.json.decode(reporter._links.asked[-1], type=MemberLoad)
    reporter._links = links


async def use_state(node):
    """Ask of a node's state what requests ask that depends on other nodes."""
    state, now_s = node.state, boot_time_s()
    state.load.update_from_peers(node._load_reporter._aggregator.others_load(now_s), 3, now_s)
    state.first_token_delays.is_fleet_behind(now_s)
    state.demand.generations_per_s(now_s, state.node_count)
    backend = state.backends.get(KEY)
    state.load.stated_limits.admit(backend, now_s)
    state.load.limits.admit(KEY, 1, now_s)
    state.load.limits.most_refused_tenants(3, now_s)
    state.own_and_peers_load()
    node._load_reporter.region_reporter.forget_silent_regions(now_s + 10.0)
    assert state.freshness.confirmed_at_s <= FAR_S
    await check_reports(node)


def sound_message(message_type):
    return sound_value(message_type) | SOUND_CHANGES.get(message_type, {})


def messages_of(message_type):
    """Return hostile messages of a type, with names."""
    if message_type in (RegionLoad, RegionReply):
        for name, data in (*hostile_messages(RegionSum), *drawn_bytes(RegionSum, 100, seed=2)):
            yield f"packed {name}", msgspec.json.encode(message_type(zlib.compress(data)))
        yield "bomb", msgspec.json.encode(message_type(zlib.compress(b" " * 100_000_000)))
    sound = sound_message(message_type)
    yield from hostile_messages(message_type, sound)
    yield from drawn_bytes(message_type, 100, 1, sound)


SOUND_LOAD = Load(requests={KEY: 1}, generations=1, nodes=1)
SOUND = {
    MemberLoad: MemberLoad("sound", SOUND_LOAD),
    ZoneLoad: ZoneLoad("sound", SOUND_LOAD, 5, {KEY: 1}),
    RegionLoad: RegionLoad(pack_region_sum(RegionSum("r2", SOUND_LOAD))),
}
"""Messages of a sound peer, which are answered whatever other peers have sent."""
HANDLED = (
    RowsRequest,
    MemberLoad,
    ZoneLoad,
    RegionLoad,
    CacheRequest,
    CountsReport,
    ConnectionCheckRequest,
    AttemptRequest,
)


@pytest.fixture
def unexpected(monkeypatch):
    """The log lines of unexpected errors."""
    logged = []
    monkeypatch.setattr(unexpected_errors, "emit", lambda event, **fields: logged.append(fields))
    monkeypatch.setattr(unexpected_errors, "LOG_INTERVAL_S", 0.0)
    return logged


def test_each_type_of_request_between_nodes_is_covered_here():
    async def work():
        server = make_node()._peer_server
        return {*server._handlers, *server._stream_handlers}

    assert run_virtual(work()) == set(HANDLED)


@pytest.mark.parametrize("message_type", HANDLED, ids=lambda each: each.__name__)
def test_a_hostile_request_of_a_peer_is_refused_or_answered_without_harm(message_type, unexpected, monkeypatch):
    """Whole numbers of 400 digits raised OverflowError in the handler of loads, and stayed in the sums."""
    refused = []
    monkeypatch.setattr(peer_link, "emit", lambda event, **fields: refused.append((event, fields["reason"])))
    monkeypatch.setattr(peer_link, "REFUSAL_LOG_INTERVAL_S", 0.0)

    async def work():
        node = make_node()
        sound = msgspec.json.encode(sound_message(message_type))
        assert await exchange(node._peer_server, sound)
        for name, data in messages_of(message_type):
            before = len(refused)
            answered = await exchange(node._peer_server, data)
            assert not unexpected, (name, unexpected)
            assert answered or len(refused) == before + 1 or not data.strip(), name
            try:
                if answered:
                    await use_state(node)
            except Exception as error:
                raise AssertionError(name) from error
        assert await exchange(node._peer_server, sound)
        await asyncio.sleep(2.0)
        assert await exchange(node._peer_server, sound)
        await use_state(node)

    run_virtual(work())
    assert {event for event, _ in refused} <= {Event.PEER_REQUEST_REFUSED}
    assert refused


class AnsweringLinks(PeerLinks):
    """Links to peers each of which answers every request with the same bytes."""

    def __init__(self, answers):
        super().__init__()
        self.answers = answers
        self.asked = []
        self.is_believed = False

    def to(self, name, address):
        link = super().to(name, address)

        async def round_trip(line, timeout_s):
            self.asked.append(line)
            return self.answers[name]

        async def ask(request, reply_type, timeout_s):
            self.is_believed = False
            reply = await PeerLink.ask(link, request, reply_type, timeout_s)
            self.is_believed = True
            return reply

        link._round_trip, link.ask = round_trip, ask
        return link


async def read_others_load(node, links):
    node._load_reporter._links = links
    await node._load_reporter._report_to(Peer("a", ADDRESS))


async def exchange_zone_loads(node, links):
    node._load_reporter._links = links
    await node._load_reporter._exchange_with([Peer("b", ADDRESS), Peer("a", ADDRESS)])


async def exchange_region_sums(node, links):
    node._order.members = {"n1": NodeRecord("z1", "10.0.0.3:7"), "a": NodeRecord("z2", "10.0.0.1:7")}
    node._load_reporter.region_reporter._links = links
    await node._load_reporter.region_reporter.exchange_once(boot_time_s())


async def read_rows(node, links):
    rows = node._followers.relayed_tables["backends"]
    rows.links, rows.replica, rows._era = links, RowReplica(), StoreEra()
    try:
        rows._apply_page(await rows._ask("a", ADDRESS, 0.0, None), whole=True)
    except (PeerUnavailableError, HistoryLostError, StaleCopyError):
        return
    assert rows.replica.store_s <= boot_time_s() + MAX_CLOCK_ERROR_S


async def read_kv_store(node, links):
    watch, contents = node._kv_store_watch, KvStoreContents()
    watch._peer_links[ADDRESS] = links
    received = await watch._ask_peer("a", ADDRESS, ADDRESS, contents)
    if received is not None:
        contents.apply_page(received.page)
        contents.held_prefix_tokens("a", (PromptPart("a", 1),)) * 0.5


async def report_counts(node, links):
    reporter = node._counts_reporter
    reporter._links, reporter._holder = links, lambda: "a"
    reporter._members = lambda: {"a": NodeRecord("z1", str(ADDRESS))}
    reporter._tally.begin("svc", 1)
    await reporter.step()


REPLIES = {
    OthersLoad: read_others_load,
    ZoneLoad: exchange_zone_loads,
    RegionReply: exchange_region_sums,
    RowsReply: read_rows,
    CacheReply: read_kv_store,
    CountsAcknowledged: report_counts,
}


@pytest.mark.parametrize("reply_type", REPLIES, ids=lambda each: each.__name__)
def test_a_hostile_reply_of_a_peer_counts_as_none_or_does_no_harm(reply_type, unexpected, monkeypatch):
    """An unexpected error of one exchange ended the loop that reports loads to all peers."""
    monkeypatch.setattr(peer_link, "emit", lambda event, **fields: None)

    async def work():
        node = make_node()
        links = AnsweringLinks({"b": msgspec.json.encode(sound_value(ZoneLoad))})
        for name, data in messages_of(reply_type):
            links.answers["a"] = data
            try:
                await REPLIES[reply_type](node, links)
                if links.is_believed:
                    await use_state(node)
            except Exception as error:
                raise AssertionError(name) from error
            assert not unexpected, (name, unexpected)
        assert links.asked

    run_virtual(work())


def test_an_unexpected_error_of_one_exchange_does_not_stop_those_with_other_peers(unexpected, monkeypatch):
    """The first error ended the loop of reports for a second, with the sums of all other peers left out."""

    async def work():
        node = make_node()
        sound = msgspec.json.encode(sound_value(ZoneLoad) | {"node": "b"})
        links = AnsweringLinks({"a": sound.replace(b'"b"', b'"a"', 1), "b": sound})
        aggregator, received = node._load_reporter._aggregator, []

        def receive(message, now_s):
            if message.node == "a":
                raise OverflowError("x")
            received.append(message.node)

        monkeypatch.setattr(aggregator, "on_zone_load", receive)
        await exchange_zone_loads(node, links)
        return received

    assert run_virtual(work()) == ["b"]
    assert [(each["where"], each["key"]) for each in unexpected] == [("load report of a peer", "a")]


@pytest.mark.parametrize("error", [OverflowError("x"), RecursionError("x"), TypeError("x"), AttributeError("x")])
def test_an_unexpected_error_of_a_handler_ends_one_connection_and_is_logged(error, monkeypatch):
    """Such errors left the connection's task and were printed as text by the event loop."""
    logged = []
    monkeypatch.setattr(unexpected_errors, "emit", lambda event, **fields: logged.append((event, fields)))
    failing = [True]

    async def handle(message):
        if failing[0]:
            raise error
        return OthersLoad(sound.load)

    sound = msgspec.convert(sound_value(MemberLoad), MemberLoad)

    async def work():
        server = PeerServer({MemberLoad: handle})
        line = msgspec.json.encode(sound)
        for _ in range(3):
            assert await exchange(server, line) == b""
        failing[0] = False
        assert await exchange(server, line)

    run_virtual(work())
    assert [event for event, _ in logged] == [Event.INTERNAL_ERROR]
    assert (logged[0][1]["where"], logged[0][1]["key"]) == ("request of a peer", "MemberLoad")
