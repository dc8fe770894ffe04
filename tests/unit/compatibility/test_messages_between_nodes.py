"""Messages between nodes: requests and replies on peer links, datagrams, and lines over TCP."""

import base64
import zlib

import pytest

from tests import wire_subjects

DOCUMENTS = {
    "peer request": [
        ('{"type":"RowsRequest","table":"own","wait_s":0.5,"after":7}',),
        (
            '{"type":"RowsRequest","table":"own","wait_s":0.5}',
            '{"type":"RowsRequest","table":"own","wait_s":0.5,"after":null}',
        ),
        (
            (
                '{"type":"MemberLoad","node":"n1","load":{"requests":{"w1":2},"generations":3,'
                '"delays":[4,1],"asked":{"acme":5},"nodes":1},"spent":{"acme":5},"crashes":[["c1","w1"]]}'
            ),
        ),
        (
            (
                '{"type":"MemberLoad","node":"n1","load":{"requests":{},"generations":0,"delays":[0,0],"asked":{},'
                '"nodes":1},"crashes":[["c1","w1"],["part-d1","w1"]],"crash_ages_s":[0.0,1.25]}'
            ),
        ),
        (
            '{"type":"MemberLoad","node":"n1","load":{}}',
            (
                '{"type":"MemberLoad","node":"n1","load":{"requests":{},"generations":0,"delays":[0,0],'
                '"asked":{},"nodes":0}}'
            ),
        ),
        (
            (
                '{"type":"ZoneLoad","node":"n1","load":{"requests":{"w1":2},"generations":3,"delays":[4,'
                '1],"asked":{"acme":5},"nodes":6},"life":9,"spent_totals":{"acme":5},'
                '"regions":[{"region":"east","load":{"requests":{},"generations":0,"delays":[0,0],'
                '"asked":{},"nodes":2},"relays":[["n5",7,{"acme":8}]]}],"crashes":[["c1","w1"]]}'
            ),
        ),
        (
            '{"type":"ZoneLoad","node":"n1","load":{}}',
            (
                '{"type":"ZoneLoad","node":"n1","load":{"requests":{},"generations":0,"delays":[0,0],'
                '"asked":{},"nodes":0}}'
            ),
        ),
        ('{"type":"RegionLoad","packed":"eJw="}',),
        ('{"type":"CacheRequest","address":"127.0.0.1:7","position":[4,19],"wait_s":0.5}',),
        (
            (
                '{"type":"CountsReport","node":"n1","life":9,"counts":{"svc":{"order":12,'
                '"current_requests":3,"target_requests":4,"answers":[["r",true,"w1",5,1,2,{"3":4},'
                '{"5":6}]]}}}'
            ),
        ),
        (
            (
                '{"type":"CountsReport","node":"n1","life":9,"counts":{"svc":{"order":12,"answers":[["r",'
                'false,""]]}}}'
            ),
            (
                '{"type":"CountsReport","node":"n1","life":9,"counts":{"svc":{"order":12,'
                '"current_requests":0,"target_requests":0,"answers":[["r",false,"",0,0,0,{},{}]]}}}'
            ),
        ),
        ('{"type":"ConnectionCheckRequest","incarnation":"w1"}',),
        ('{"type":"ConnectionCheckRequest","incarnation":"w1","started_unix_ms":1800000000000}',),
    ],
    "connection check reply": [('{"result":"accepted"}',), ('{"result":"refused"}',), ('{"result":"unknown"}',)],
    "rows reply": [
        (
            (
                '{"version":9,"store_s":1.5,"rows":[["k","v",3],["k2",null,4]],"packed":"eJw=",'
                '"stale":true,"history_lost":true}'
            ),
        ),
        ("{}", '{"version":-1,"store_s":0.0,"rows":[],"packed":"","stale":false,"history_lost":false}'),
    ],
    "others' load reply": [
        (
            (
                '{"load":{"requests":{"w1":2},"generations":3,"delays":[4,1],"asked":{"acme":5},'
                '"nodes":6},"levels":{"acme":-7},"crashes":[["c1","w1"]]}'
            ),
        ),
        ('{"load":{}}', '{"load":{"requests":{},"generations":0,"delays":[0,0],"asked":{},"nodes":0}}'),
    ],
    "zone load reply": [
        (
            (
                '{"type":"ZoneLoad","node":"n1","load":{"requests":{},"generations":0,"delays":[0,0],'
                '"asked":{},"nodes":1},"life":9,"spent_totals":{"acme":5}}'
            ),
        )
    ],
    "region reply": [('{"packed":"eJw="}',), ("{}", '{"packed":""}')],
    "region sum": [
        (
            (
                '{"region":"east","load":{"requests":{"w1":2},"generations":3,"delays":[4,1],'
                '"asked":{"acme":5},"nodes":6},"relays":[["n1",7,{"acme":8}]]}'
            ),
        ),
        (
            '{"region":"east","load":{}}',
            (
                '{"region":"east","load":{"requests":{},"generations":0,"delays":[0,0],"asked":{},'
                '"nodes":0},"relays":[]}'
            ),
        ),
    ],
    "cache reply": [
        ('{"page":{"position":[4,19],"entries":[[18,"m:3","aa",100]],"whole":true},"reachable":false}',),
        ("{}", '{"page":null,"reachable":true}'),
    ],
    "counts reply": [('{"life":9}',)],
    "stream datagram": [
        ('{"type":"StreamBegun","stream":"00112233445566778899aabbccddeeff","software":"v1","kept_s":17.0}',),
        ('{"type":"StreamQuery","number":3,"stream":"00112233445566778899aabbccddeeff","service":"svc"}',),
        ('{"type":"StreamReply","number":3,"software":"v1","age_s":1.5}',),
        ('{"type":"StreamReply","number":3,"versions":["v1","v2"]}',),
        ('{"type":"StreamReply","number":3,"versions":["v1","v2"],"life":"n1/00aa11bb"}',),
    ],
}
"""By kind: documents that are re-encoded unchanged, and pairs of a document and its re-encoding with defaults."""
KEY = "0123456789abcdef"
DATAGRAMS = {
    "sync": b'e5509140894b0438 ["s",1,"east","n1",4,77,[["n2",3,0,5,6]]]\n',
    "sync reply": (
        b'8f143d0a47638606 ["r",1,"n1",4,[["n2",3,1,5,6]],[["n2","127.0.0.1:9","z1",3,5,[["e1",'
        b'"inc-1",[["m","w3"]]]],["127.0.0.1:5"]]],[["n2",3,6,4,5,[[10,20]]]],["n3"]]\n'
    ),
    "indirect probe": b'0f66f34c8e60fa3e ["i",1,"127.0.0.1:9"]\n',
    "ping": b'bb2d6946587cadb4 ["p",1]\n',
    "acknowledgement": b'b9b6defdcbbcd3be ["a",1]\n',
    "head notice": b'b107aab79241c882 ["h",4]\n',
    "region news": b'b95211b237f993fc ["z",[["east",1000,4,["127.0.0.1:9"]]],true]\n',
    "lookup": b'db0df1858753772c ["l",1,"AQAAAAAAAAA="]\n',
    "lookup reply": b'ad4fd369a99f73d5 ["k",1,[["e1","inc-1",2]]]\n',
    "dispatch report": b'45579dec0294b37b ["d",1,"e1","inc-1"]\n',
    "block report": b'15d3bac925dd5c69 ["b","e1","inc-1","AQAAAAAAAAA=","AgAAAAAAAAA="]\n',
    "token request": b'96ffad43b514661d ["t",1,"acme",2.5]\n',
    "token grant": b'b3a3e3c043012314 ["g",1,"acme",2.5]\n',
    "crash notice": b'98298354a7067de9 ["c","c1","w1",true]\n',
}
LINES = {
    "revisions wanted": b'8188b10376fdfbf8 {"after":3}\n',
    "revisions": (
        b'ba9da5c0660db032 {"after":3,"head":4,"files":[{"key":{"kind":"zone","name":"z1"},'
        b'"revision":4,"digest":"d","spec":"{}","operator":"maria","accepted_at_ms":5}]}\n'
    ),
}
REGION_SUM = (
    '{"region":"east","load":{"requests":{"w1":2},"generations":3,"delays":[4,1],'
    '"asked":{"acme":5},"nodes":6},"relays":[["n1",7,{"acme":8}]]}'
)
PACKED_SUM = (
    "eJw1i0sKAjEQBe/y1r2Jn1FylSGLxjwGcUwwiYiE3H1aYXZFUdVRuNxzgge1NgjWrBG+m3+9WVv98cfBH4ZgYWLR"
    "Zr3poyBy1a/hfBIXBFof/L96exL+bEfKkRZMhmWPZyQHucjeXUcIYwP7hiu1"
)
MANY_ROWS = [(f"k{number:03}", "v" * 20, number) for number in range(70)]


PAIRS = [(kind, *pair) for kind, pairs in DOCUMENTS.items() for pair in pairs]


@pytest.mark.parametrize("pair", PAIRS, ids=lambda pair: f"{pair[0]}: {pair[1][:60]}")
def test_documents_are_read_and_written_as_before(pair):
    kind, given, written = pair[0], pair[1], pair[-1]
    assert wire_subjects.rewrite(kind, given) == written


def test_requests_between_nodes_have_these_names():
    assert wire_subjects.peer_request_types() == [
        "CacheRequest",
        "ConnectionCheckRequest",
        "CountsReport",
        "MemberLoad",
        "RegionLoad",
        "RowsRequest",
        "ZoneLoad",
    ]
    assert wire_subjects.relayed_tables() == ["backends", "operators", "own"]


@pytest.mark.parametrize("name", DATAGRAMS)
def test_datagrams_are_read_and_written_as_before(name):
    assert wire_subjects.rewrite_datagram(DATAGRAMS[name], KEY) == DATAGRAMS[name]


def test_each_type_of_datagram_is_here():
    assert wire_subjects.datagram_types() == len(DATAGRAMS)


@pytest.mark.parametrize("name", LINES)
def test_lines_over_tcp_are_read_and_written_as_before(name):
    assert wire_subjects.rewrite_line(name, LINES[name], KEY) == LINES[name]


def test_sums_of_regions_are_packed_as_before():
    assert wire_subjects.read_packed_sum(base64.b64decode(PACKED_SUM)) == REGION_SUM
    assert zlib.decompress(wire_subjects.pack_sum(REGION_SUM)).decode() == REGION_SUM


def test_few_rows_travel_plain():
    reply = wire_subjects.rows_reply(5, 1.5, [("a", "{}", 3), ("b", None, 4)])
    assert reply == (
        (
            '{"version":5,"store_s":1.5,"rows":[["a","{}",3],["b",null,4]],"packed":"","stale":false,'
            '"history_lost":false}'
        ),
        "",
    )
    assert wire_subjects.read_rows_reply(reply[0]) == [("a", "{}", 3), ("b", None, 4)]


def test_many_rows_travel_compressed():
    reply, packed = wire_subjects.rows_reply(5, 1.5, MANY_ROWS)
    assert reply == '{"version":5,"store_s":1.5,"rows":[],"packed":"","stale":false,"history_lost":false}'
    assert packed == "[" + ",".join(f'["{key}","{value}",{at}]' for key, value, at in MANY_ROWS) + "]"


def test_compressed_rows_are_read():
    text = '{"version":5,"packed":"eJyLjlZKVNJRqq5V0jGO1YlWSlLSySvNydExiY0FAGcxB64="}'
    assert wire_subjects.read_rows_reply(text) == [("a", "{}", 3), ("b", None, 4)]


def test_nodes_work_out_the_same_values():
    assert wire_subjects.owner_of(["n1", "n2", "n3"], "x") == "n1"
    assert wire_subjects.owner_of(["n1", "n2", "n3"], "y") == "n3"
    assert wire_subjects.digest_of_content("h", "/p?q=1", "acme", b"body") == "71465c1d20b7b718390c5e9e69fbacaf"
    hashes = wire_subjects.block_hashes("acme", "m", "w3", "a1", b"0123456789abcdef", b"abcdefgh1")
    assert hashes == [4306728928283853604, 15092817383362253256]
    assert wire_subjects.packed_hashes([1, 2**63]) == ("AQAAAAAAAAAAAAAAAAAAgA==", [1, 2**63])
