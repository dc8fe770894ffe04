"""Which software version began a stream, as the nodes tell and ask each other: many nodes in virtual time.

Guards against streams that cannot be resumed after the node that began them has failed, against wrong versions, and
against messages while a service has one version.
"""

import asyncio
import itertools
import random

import msgspec
import pytest

from tests.virtual_time import run_virtual
from wallwell.address import Address
from wallwell.clock import boot_time_s
from wallwell.cluster import stream_directory
from wallwell.cluster.stream_directory import MAX_QUERIES, QUERY_ROUNDS_S, TELL_INTERVAL_S, StreamDirectory
from wallwell.cluster.stream_messages import StreamBegun, decode_stream_message, stream_digest
from wallwell.cluster.stream_origins import (
    ASKED_HOLDERS,
    HOLDERS,
    MAX_STREAMS,
    StreamOrigin,
    StreamOrigins,
    holders_to_ask,
    holders_to_tell,
)
from wallwell.cluster.upstream import NodeRecord
from wallwell.deployment.topology import Topology

KEPT_S = 15.0
STREAMS = 60
ZONES = ("z1", "z2", "z3")
VERSIONS = {"v1", "v2"}


class FakeTransport:
    """Delivers datagrams to other nodes after a delay, unless they are lost."""

    def __init__(self, network, address):
        self._network = network
        self._address = address

    def is_closing(self):
        return False

    def sendto(self, data, target):
        self._network.send(self._address, Address(*target), data)

    def close(self):
        pass


class Network:
    """Nodes in three zones, with datagrams that are lost at random."""

    def __init__(self, nodes, loss=0.0, seed=1, versions=VERSIONS):
        self.rng = random.Random(seed)
        self.loss = loss
        self.versions = set(versions)
        self.sent = 0
        self.sent_bytes = 0
        self.members = {
            f"n{number}": NodeRecord(
                ZONES[number % 3], f"10.0.{number // 250}.{number % 250}:7", keeps_streams=True
            )
            for number in range(nodes)
        }
        self._by_address = {}
        self._starts = itertools.count()
        self.directories = {name: self.start(name) for name in self.members}

    def start(self, name):
        member = self.members[name]
        directory = StreamDirectory(
            name,
            Topology(member.zone),
            lambda: self.members,
            lambda service: self.versions,
            life=f"{name}/{next(self._starts)}",
        )
        directory._transport = FakeTransport(self, member.address)
        self._by_address[member.address] = directory
        return directory

    def kill(self, name):
        del self._by_address[self.members[name].address]

    def restart(self, name):
        self.directories[name] = self.start(name)

    def send(self, sender, target, data):
        self.sent += 1
        self.sent_bytes += len(data)
        if self.rng.random() >= self.loss:
            delay_s = self.rng.uniform(0.001, 0.003)
            asyncio.get_running_loop().call_later(delay_s, self._deliver, sender, target, data)

    def _deliver(self, sender, target, data):
        if target in self._by_address and sender in self._by_address:
            self._by_address[target].on_datagram(data, sender)


def version_of(number):
    return f"v{number % 2 + 1}"


def digest_of(number):
    return stream_digest("t1", f"request-{number}")


async def begin_stream(network, number):
    """Begin a stream at a random node and return its name."""
    name = network.rng.choice(list(network.directories))
    network.directories[name].on_begun(digest_of(number), "svc", version_of(number), KEPT_S)
    await asyncio.sleep(0.01)
    return name


async def find_elsewhere(network, number, gone):
    """Ask for a stream at a random node that is not gone."""
    asker = network.rng.choice([each for each in network.directories if each not in gone])
    return await network.directories[asker].find(digest_of(number), "svc")


@pytest.mark.parametrize(
    ("nodes", "loss", "min_known"),
    [(7, 0.0, 1.0), (79, 0.0, 1.0), (410, 0.0, 1.0), (7, 0.05, 0.95), (410, 0.2, 0.8)],
)
def test_a_stream_is_known_after_the_node_that_began_it_is_gone(nodes, loss, min_known):
    async def scenario():
        network = Network(nodes, loss)
        known = 0
        for number in range(STREAMS):
            name = await begin_stream(network, number)
            network.kill(name)
            findings = await find_elsewhere(network, number, {name})
            assert findings.software in (None, version_of(number))
            known += findings.software is not None
            network.restart(name)
        return known

    assert run_virtual(scenario()) >= min_known * STREAMS


@pytest.mark.parametrize("nodes", [7, 79])
def test_a_stream_is_known_after_one_holder_is_gone_as_well_and_another_node_has_joined(nodes):
    async def scenario():
        network = Network(nodes)
        for number in range(STREAMS):
            name = await begin_stream(network, number)
            topology = Topology(network.members[name].zone)
            holder = holders_to_tell(digest_of(number), network.members, topology, name)[number % HOLDERS].name
            gone = {name, holder}
            for each in gone:
                network.kill(each)
            joined = {**network.members, "joined": NodeRecord("z2", "10.9.9.9:7", keeps_streams=True)}
            network.members, before = joined, network.members
            findings = await find_elsewhere(network, number, gone)
            assert findings.software == version_of(number)
            network.members = before
            for each in gone:
                network.restart(each)

    run_virtual(scenario())


def test_the_asking_node_learns_what_may_have_begun_a_stream_that_nobody_knows():
    async def scenario():
        network = Network(7)
        asker, peer = network.directories["n1"], network.directories["n2"]
        asker._versions = lambda service: {"v2"}
        peer._versions = lambda service: {"v2", "v3"}
        started_s = boot_time_s()
        findings = await asker.find(digest_of(1), "svc")
        took_s = boot_time_s() - started_s
        for name in network.directories:
            if name != "n1":
                network.kill(name)
        alone = await asker.find(digest_of(1), "svc")
        return findings, took_s, alone, boot_time_s() - started_s - took_s

    findings, took_s, alone, alone_took_s = run_virtual(scenario())
    assert (findings.software, findings.asked, findings.answered) == (None, ASKED_HOLDERS, ASKED_HOLDERS)
    assert findings.versions >= {"v1", "v2"}
    assert took_s < QUERY_ROUNDS_S[0]
    assert (alone.software, alone.answered, alone.versions) == (None, 0, {"v2"})
    assert alone_took_s == pytest.approx(sum(QUERY_ROUNDS_S))


def test_nothing_is_sent_while_a_service_has_one_version():
    async def scenario():
        network = Network(7, versions={"v1"})
        for number in range(STREAMS):
            await begin_stream(network, number)
        for directory in network.directories.values():
            directory.tell_of_earlier_streams()
        return network.sent

    assert run_virtual(scenario()) == 0


def test_streams_that_began_before_the_second_version_are_told_of_once_it_is_listed():
    async def scenario():
        network = Network(7, versions={"v1"})
        running = [asyncio.create_task(each.run()) for each in network.directories.values()]
        began_at = [await begin_stream(network, number) for number in range(STREAMS)]
        network.versions.add("v2")
        await asyncio.sleep(TELL_INTERVAL_S + 0.01)
        sent = network.sent
        await asyncio.sleep(2 * TELL_INTERVAL_S)
        assert network.sent == sent == HOLDERS * STREAMS
        for task in running:
            task.cancel()
        for number, name in enumerate(began_at):
            network.kill(name)
            findings = await find_elsewhere(network, number, {name})
            assert findings.software == version_of(number)
            network._by_address[network.members[name].address] = network.directories[name]

    run_virtual(scenario())


def test_messages_for_a_stream_do_not_grow_with_the_fleet():
    async def scenario(nodes):
        network = Network(nodes)
        for number in range(STREAMS):
            await begin_stream(network, number)
        began, began_bytes = network.sent / STREAMS, network.sent_bytes / STREAMS
        for number in range(STREAMS):
            await find_elsewhere(network, number, set())
        return began, began_bytes, (network.sent - began * STREAMS) / STREAMS

    for nodes in (7, 195, 410):
        began, began_bytes, resumed = run_virtual(scenario(nodes))
        assert began == HOLDERS
        assert began_bytes < 300
        assert resumed <= 2 * ASKED_HOLDERS


def test_another_caller_that_names_a_stream_does_not_find_it():
    async def scenario():
        network = Network(7)
        await begin_stream(network, 1)
        foreign = stream_digest("t2", "request-1")
        return [(await each.find(foreign, "svc")).software for each in network.directories.values()]

    assert run_virtual(scenario()) == [None] * 7


def test_queries_in_flight_are_bounded():
    async def scenario():
        network = Network(7)
        for name in network.directories:
            if name != "n1":
                network.kill(name)
        asking = [network.directories["n1"].find(digest_of(number), "svc") for number in range(3 * MAX_QUERIES)]
        await asyncio.gather(*asking)
        return network.sent

    assert run_virtual(scenario()) == MAX_QUERIES * ASKED_HOLDERS * len(QUERY_ROUNDS_S)


@pytest.mark.parametrize(
    "data",
    [
        b"",
        b"\xff\xfe",
        b"{}",
        b'{"type":"StreamBegun","stream":"zz","software":"v1","kept_s":1.0}',
        b'{"type":"StreamBegun","stream":"%s","software":"%s","kept_s":1.0}' % (b"a" * 32, b"v" * 201),
        b'{"type":"StreamBegun","stream":"%s","software":7,"kept_s":1.0}' % (b"a" * 32),
    ],
)
def test_a_datagram_that_is_no_message_is_ignored_and_logged_at_an_interval(monkeypatch, data):
    events = []
    monkeypatch.setattr(stream_directory, "emit", lambda event, **fields: events.append(fields["lost"]))

    async def scenario():
        directory = Network(2).directories["n1"]
        for _ in range(5):
            directory.on_datagram(data, Address("10.0.0.0", 7))
        await asyncio.sleep(stream_directory.REFUSAL_LOG_INTERVAL_S)
        directory.on_datagram(data, Address("10.0.0.0", 7))
        return len(directory._origins)

    assert run_virtual(scenario()) == 0
    assert events == [1, 5]


def test_a_node_that_is_asked_in_addition_tells_whether_it_has_lived_since():
    """Guards against taking a node that was started again for the one that began streams."""

    async def scenario():
        network = Network(40)
        stream = digest_of(1)
        asking, others = network.directories["n1"], [f"n{number}" for number in range(2, 40)]
        findings = await asking.find(stream, "svc")
        name = next(each for each in others if network.directories[each].life not in findings.lives)
        life = network.directories[name].life
        await asking.ask_node(findings, name, stream, "svc")
        lives, counts = set(findings.lives), (findings.asked, findings.answered)
        network.restart(name)
        again = await asking.find(stream, "svc")
        await asking.ask_node(again, name, stream, "svc")
        network.kill(name)
        await asking.ask_node(again, name, stream, "svc")
        await asking.ask_node(again, "gone", stream, "svc")
        return life, lives, counts, again

    life, lives, counts, again = run_virtual(scenario())
    assert (life in lives, counts) == (True, (ASKED_HOLDERS + 1, ASKED_HOLDERS + 1))
    assert life not in again.lives
    assert (again.asked, again.answered) == (ASKED_HOLDERS + 2, ASKED_HOLDERS + 1)


def test_a_reply_that_was_not_asked_for_is_ignored():
    async def scenario():
        network = Network(7)
        finding = asyncio.create_task(network.directories["n1"].find(digest_of(1), "svc"))
        await asyncio.sleep(0)
        forged = b'{"type":"StreamReply","number":0,"software":"v9"}'
        network.directories["n1"].on_datagram(forged, Address("10.8.8.8", 7))
        return (await finding).software

    assert run_virtual(scenario()) is None


def test_a_stream_is_remembered_for_its_time_and_keeps_its_version():
    origins = StreamOrigins()
    origins.add("a", StreamOrigin("svc", "v1", learned_s=0.0, expires_s=10.0))
    origins.add("a", StreamOrigin("", "v2", learned_s=1.0, expires_s=12.0))
    assert origins.get("a", 11.9).software == "v1"
    assert origins.get("a", 12.0) is None


def test_remembered_streams_are_bounded_and_expire():
    origins = StreamOrigins()
    for number in range(MAX_STREAMS + 50):
        origins.add(str(number), StreamOrigin("svc", "v1", learned_s=0.0, expires_s=10.0))
    assert len(origins) == MAX_STREAMS
    origins.add("last", StreamOrigin("svc", "v1", learned_s=20.0, expires_s=30.0))
    assert len(origins) == 1


def test_holders_are_in_two_zones_of_the_region_and_know_of_streams():
    members = {
        "a": NodeRecord("z1", "10.0.0.1:7", keeps_streams=True),
        "b": NodeRecord("z1", "10.0.0.2:7", keeps_streams=True),
        "c": NodeRecord("z2", "10.0.0.3:7", keeps_streams=True),
        "old": NodeRecord("z2", "10.0.0.4:7"),
        "far": NodeRecord("z9", "10.0.0.5:7", keeps_streams=True),
    }
    topology = Topology("z1", {"z1": "east", "z2": "east", "z9": "west"}, "east")
    for number in range(STREAMS):
        told = holders_to_tell(digest_of(number), members, topology, "a")
        assert {each.name for each in told} == {"b", "c"}
        asked = [each.name for each in holders_to_ask(digest_of(number), members, topology, "a")]
        assert (set(asked[:2]), asked[2:]) == ({"b", "c"}, ["far"])


def test_messages_are_one_line_of_json():
    message = StreamBegun(digest_of(1), "v1", 15.0)
    line = msgspec.json.encode(message)
    assert b"\n" not in line
    assert decode_stream_message(line) == message
