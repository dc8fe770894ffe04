"""Calls to the store that read and write rows, and how a node interprets the rows that it reads."""

import pytest

from tests import wire_subjects

READS = [
    ("GET /api/rows-get?table=servers&part=&limit=500 HTTP/1.1\r\nHost: 127.0.0.1:3\r\nContent-Length: 0\r\n\r\n"),
    (
        "GET /api/rows-get?table=servers&part=&limit=500&from=a%00 HTTP/1.1\r\n"
        "Host: 127.0.0.1:3\r\n"
        "Content-Length: 0\r\n"
        "\r\n"
    ),
    ("GET /api/rows-feed?table=op&after=9&wait_ms=800 HTTP/1.1\r\nHost: 127.0.0.1:3\r\nContent-Length: 0\r\n\r\n"),
    (
        "GET /api/rows-get?table=wallwell&part=&from=lease%2Fweights&limit=1 HTTP/1.1\r\n"
        "Host: 127.0.0.1:3\r\n"
        "Content-Length: 0\r\n"
        "\r\n"
    ),
]
WRITES = {
    "weights lease": [
        (
            "GET /api/rows-get?table=wallwell&part=&from=lease%2Fweights&limit=1 HTTP/1.1\r\n"
            "Host: 127.0.0.1:3\r\n"
            "Content-Length: 0\r\n"
            "\r\n"
        ),
        (
            "POST /api/rows-tx HTTP/1.1\r\n"
            "Host: 127.0.0.1:3\r\n"
            "Content-Type: application/json\r\n"
            "Content-Length: 253\r\n"
            "\r\n"
            '{"expect_rev":[{"table":"wallwell","part":"","key":"lease/weights","ver":0}],'
            '"put":[{"table":"wallwell","part":"","key":"lease/weights",'
            '"value":"eyJob2xkZXIiOiJuMSIsImZlbmNlIjowLCJ0dGxfcyI6MS4yMDAwMDAwMDAwMDAwMDAyLCJyZWxlYXN'
            'lZCI6ZmFsc2V9"}],"delete":[]}'
        ),
    ],
    "rollout lease": [
        (
            "GET /api/rows-get?table=wallwell&part=&from=lease%2Fsoftware&limit=1 HTTP/1.1\r\n"
            "Host: 127.0.0.1:3\r\n"
            "Content-Length: 0\r\n"
            "\r\n"
        ),
        (
            "POST /api/rows-tx HTTP/1.1\r\n"
            "Host: 127.0.0.1:3\r\n"
            "Content-Type: application/json\r\n"
            "Content-Length: 235\r\n"
            "\r\n"
            '{"expect_rev":[{"table":"wallwell","part":"","key":"lease/software","ver":0}],'
            '"put":[{"table":"wallwell","part":"","key":"lease/software",'
            '"value":"eyJob2xkZXIiOiJuMSIsImZlbmNlIjowLCJ0dGxfcyI6MS41LCJyZWxlYXNlZCI6ZmFsc2V9"}],'
            '"delete":[]}'
        ),
    ],
    "member": [
        (
            "POST /api/rows-tx HTTP/1.1\r\n"
            "Host: 127.0.0.1:3\r\n"
            "Content-Type: application/json\r\n"
            "Content-Length: 225\r\n"
            "\r\n"
            '{"expect_rev":[{"table":"wallwell","part":"","key":"member/n1","ver":4}],'
            '"put":[{"table":"wallwell","part":"","key":"member/n1",'
            '"value":"eyJ6b25lIjoiejEiLCJyZWxheSI6IjEyNy4wLjAuMTo5IiwibGlua19tYnBzIjozMC4wfQ=="}],'
            '"delete":[]}'
        )
    ],
    "crash": [
        (
            "POST /api/rows-tx HTTP/1.1\r\n"
            "Host: 127.0.0.1:3\r\n"
            "Content-Type: application/json\r\n"
            "Content-Length: 153\r\n"
            "\r\n"
            '{"expect_rev":[],"put":[{"table":"wallwell","part":"","key":"crash/c1/w1",'
            '"value":"bjE="}],"delete":[{"table":"wallwell","part":"","key":"crash/c2/w2"}]}'
        )
    ],
    "weights progress": [
        (
            "POST /api/rows-tx HTTP/1.1\r\n"
            "Host: 127.0.0.1:3\r\n"
            "Content-Type: application/json\r\n"
            "Content-Length: 189\r\n"
            "\r\n"
            '{"expect_rev":[],"put":[{"table":"wallwell","part":"","key":"weights/m",'
            '"value":"eyJtb2RlbCI6Im0iLCJsb2FkaW5nIjpbWyJ3MSIsM11dLCJmaW5pc2hlZCI6W1sidzIiLDNdXSwibmF'
            'tZWQiOltdfQ=="}],"delete":[]}'
        )
    ],
    "rollout": [
        (
            "GET /api/rows-get?table=wallwell&part=&from=software%2Fsvc&limit=1 HTTP/1.1\r\n"
            "Host: 127.0.0.1:3\r\n"
            "Content-Length: 0\r\n"
            "\r\n"
        ),
        (
            "GET /api/rows-get?table=status&part=&from=rollout%2Fsvc&limit=1 HTTP/1.1\r\n"
            "Host: 127.0.0.1:3\r\n"
            "Content-Length: 0\r\n"
            "\r\n"
        ),
        (
            "POST /api/rows-tx HTTP/1.1\r\n"
            "Host: 127.0.0.1:3\r\n"
            "Content-Type: application/json\r\n"
            "Content-Length: 694\r\n"
            "\r\n"
            '{"expect_rev":[{"table":"wallwell","part":"","key":"lease/software","ver":8},'
            '{"table":"wallwell","part":"","key":"software/svc","ver":2},{"table":"status","part":"",'
            '"key":"rollout/svc","ver":3}],"put":[{"table":"wallwell","part":"","key":"software/svc",'
            '"value":"eyJzZXJ2aWNlIjoic3ZjIiwidGFyZ2V0X3ZlcnNpb24iOiJ2MiIsIm9yZGVyIjoxMiwib3JkZXJlZF9'
            "hdF9zIjo1LjAsImR1cmF0aW9uX3MiOjYwLjAsInBoYXNlIjoic3dpdGNoaW5nIiwic2hhcmUiOjAuNSwicmVhc29"
            "uIjoid2h5IiwiY3VycmVudF9yZXF1ZXN0cyI6MywidGFyZ2V0X3JlcXVlc3RzIjo0LCJiYXJyZWQiOlsidjAiXSw"
            'id3JpdHRlbl9hdF9zIjo2LjB9"},{"table":"status","part":"","key":"rollout/svc",'
            '"value":"eyJzdGF0ZSI6InJ1bm5pbmciLCJ0YXJnZXRfdmVyc2lvbiI6InYyIiwic2VydmljZSI6InN2YyJ9"}]'
            ',"delete":[]}'
        ),
    ],
}
CLAIMS = [
    (
        '{"conditions":[{"key":"claim/acme/orders/k1","version":0}],'
        '"puts":[{"key":"claim/acme/orders/k1","value":"{\\"claim_id\\":\\"id1\\",\\"digest\\":\\"d1\\",'
        '\\"state\\":\\"open\\",\\"status\\":0,\\"body\\":\\"\\"}"}],"deletes":[]}'
    ),
    (
        '{"conditions":[{"key":"claim/acme/orders/k1","version":5}],'
        '"puts":[{"key":"claim/acme/orders/k1","value":"{\\"claim_id\\":\\"id1\\",\\"digest\\":\\"d1\\",'
        '\\"state\\":\\"done\\",\\"status\\":200,\\"body\\":\\"body\\"}"}],"deletes":[]}'
    ),
    (
        '{"conditions":[{"key":"claim/acme/orders/k1","version":5}],'
        '"puts":[{"key":"claim/acme/orders/k1","value":"{\\"claim_id\\":\\"id1\\",\\"digest\\":\\"d1\\",'
        '\\"state\\":\\"released\\",\\"status\\":0,\\"body\\":\\"\\"}"}],"deletes":[]}'
    ),
]
CLAIMS_FOUND = {"done": ("recorded", 201, "b"), "open": ("open_elsewhere", 0, ""), "released": ("granted", 0, "")}
FILE = "kind: zone\nname: z1\nspec:\n  region: east\n"
CONFIGURATION_BEFORE = {
    "config/head": '{"revision":4}',
    "config/file/zone/z0": (
        '{"key":{"kind":"zone","name":"z0"},"revision":4,"digest":"d","spec":"{\\"region\\":\\"east\\"}"}'
    ),
}
FIRST_CONFIGURATION = (
    [
        (
            '{"conditions":[{"key":"config/head","version":0}],"puts":[{"key":"config/head",'
            '"value":"{\\"revision\\":1}"},{"key":"config/file/zone/z1",'
            '"value":"{\\"key\\":{\\"kind\\":\\"zone\\",\\"name\\":\\"z1\\"},\\"revision\\":1,'
            '\\"digest\\":\\"a243899125aa129928817708b87b4e521bb1bc969844d47fd968007c1b927d0f\\",'
            '\\"spec\\":\\"{\\\\\\"region\\\\\\":\\\\\\"east\\\\\\"}\\",\\"operator\\":\\"maria\\",'
            '\\"accepted_at_ms\\":0}"},{"key":"config-text/zone/z1",'
            '"value":"kind: zone\\nname: z1\\nspec:\\n  region: east\\n"},{"key":"apply/a1",'
            '"value":"1"}],"deletes":[]}'
        )
    ],
    '{"key":"zone/z1","revision":1,"changed":true}',
)
NEXT_CONFIGURATION = (
    [
        (
            '{"conditions":[{"key":"config/head","version":5}],"puts":[{"key":"config/head",'
            '"value":"{\\"revision\\":5}"},{"key":"config/file/zone/z1",'
            '"value":"{\\"key\\":{\\"kind\\":\\"zone\\",\\"name\\":\\"z1\\"},\\"revision\\":5,'
            '\\"digest\\":\\"a243899125aa129928817708b87b4e521bb1bc969844d47fd968007c1b927d0f\\",'
            '\\"spec\\":\\"{\\\\\\"region\\\\\\":\\\\\\"east\\\\\\"}\\",\\"operator\\":\\"maria\\",'
            '\\"accepted_at_ms\\":0}"},{"key":"config-text/zone/z1",'
            '"value":"kind: zone\\nname: z1\\nspec:\\n  region: east\\n"},{"key":"apply/a1",'
            '"value":"5"}],"deletes":[]}'
        )
    ],
    '{"key":"zone/z1","revision":5,"changed":true}',
)
ROWS = {
    "op": [
        (
            "config",
            (
                '{"version":7,"routes":[{"host":"h","path_prefix":"/a","kind":"stream","timeout_ms":9000,'
                '"name":"r","service":"svc","slo_ms":800,"priority":3,"attempts":4,"public":true,'
                '"can_resume":true,"gap_slo_ms":400},{"host":"h","path_prefix":"/b","kind":"safe",'
                '"timeout_ms":500,"backends":[{"service":"s1","weight":2},{"service":"s2","weight":0},'
                '{"service":"s3"}]}],"services":[{"name":"svc","max_conns":9,"engine":{"slots":4,'
                '"kv_capacity":1000,"models":[{"name":"m"}]}},{"name":"kv","kv_store_addr":"127.0.0.1:7",'
                '"zone":"z1"}],"tenants":[{"name":"acme","api_keys":["k"],"priority":1,"isolated":true,'
                '"rate_per_s":5,"burst":6,"unit":"tokens","plain_tokens":7},{"name":"plain"},'
                '{"name":"calls","rate_per_s":1,"unit":"requests"}],"limits":{"max_body_bytes":100,'
                '"idle_timeout_ms":1500}}'
            ),
        ),
        ("version/m", '{"model":"m","version":3}'),
        ("rollout/svc", '{"service":"svc","target_version":"v2","duration_s":60}'),
        ("rollout/x", '{"service":"svc","target_version":"v9","duration_s":60}'),
        ("else", "not read"),
    ],
    "servers": [
        (
            "inc-1",
            (
                '{"service":"svc","addr":"127.0.0.1:5","zone":"z1","slots":4,"state":"ready",'
                '"version":"v1","cold_left_ms":1500,"models":[{"name":"m","version":2},{"name":"k"}]}'
            ),
        ),
        ("inc-2", '{"service":"svc","addr":"127.0.0.1:6","state":"draining"}'),
        ("inc-3", "{}"),
    ],
    "wallwell": [
        ("member/n2", '{"zone":"z1","relay":"127.0.0.1:9","link_mbps":30.0}'),
        ("member/n3", '{"zone":"z2"}'),
        ("lease/weights", '{"holder":"n2","fence":0,"ttl_s":1.2,"released":false}'),
        ("lease/software", '{"holder":"n3","fence":4,"ttl_s":1.5}'),
        ("weights/m", '{"model":"m","loading":[],"finished":[],"named":[[3,1.5]]}'),
        (
            "software/svc",
            (
                '{"service":"svc","target_version":"v2","order":12,"ordered_at_s":5.0,"duration_s":60.0,'
                '"phase":"canary","share":0.25,"barred":["v0"]}'
            ),
        ),
        ("crash/c1/w1", "n2"),
        ("crash/c1/w2", "n2"),
        ("crash/c1/w3", "n3"),
        ("crash/c2/w1", "n2"),
    ],
}
READ = {
    "op": {
        "version": 7,
        "routes": [
            {
                "name": "r",
                "host": "h",
                "path_prefix": "/a",
                "kind": "stream",
                "services": [["svc", 1.0]],
                "timeout_s": 9.0,
                "objective_s": 0.8,
                "attempts": 4,
                "priority": 3,
                "public": True,
                "can_resume": True,
                "gap_s": 0.4,
                "repeatable": True,
            },
            {
                "name": "h/b",
                "host": "h",
                "path_prefix": "/b",
                "kind": "safe",
                "services": [["s1", 2.0], ["s3", 1.0]],
                "timeout_s": 0.5,
                "objective_s": 1.0,
                "attempts": 1,
                "priority": 5,
                "public": False,
                "can_resume": False,
                "gap_s": 0.5,
                "repeatable": True,
            },
        ],
        "services": [["svc", 9, [4, 1000, ["m"]], "", ""], ["kv", 0, [], "127.0.0.1:7", "z1"]],
        "tenants": [
            ["acme", ["k"], 1, True, [5.0, 6.0, True, 7]],
            ["plain", [], None, False, None],
            ["calls", [], None, False, [1.0, 0.0, False, 1]],
        ],
        "bounds": [100, 1.5],
        "weights": 3,
        "orders": [("svc", "v2", 60.0, 3)],
    },
    "servers": {
        "inc-1": ["svc", "127.0.0.1:5", "z1", 4, False, {"m": 2}, "v1", 1.5],
        "inc-2": ["svc", "127.0.0.1:6", "", 1, True, {}, "", 0.0],
    },
    "wallwell": {
        "members": {"n2": ["z1", "127.0.0.1:9", 30.0], "n3": ["z2", "", 0.0]},
        "lease holders": ["n2", "n3"],
        "rollouts": {"svc": ["v2", "canary", 0.25, ["v0"]]},
        "weights": 3,
        "suspects": 2,
        "quarantined": 1,
    },
}


def test_rows_are_asked_for_as_before():
    assert wire_subjects.store_reads() == READS


@pytest.mark.parametrize("what", WRITES)
def test_rows_are_written_as_before(what):
    assert wire_subjects.store_writes(what) == WRITES[what]


@pytest.mark.parametrize("table", ROWS)
def test_rows_are_understood_as_before(table):
    assert wire_subjects.read_rows(table, ROWS[table]) == READ[table]


def test_claims_are_written_as_before():
    assert wire_subjects.claim_writes({}) == CLAIMS


@pytest.mark.parametrize("state", CLAIMS_FOUND)
def test_claims_are_understood_as_before(state):
    value = f'{{"claim_id":"id1","digest":"d1","state":"{state}","status":201,"body":"b"}}'
    assert wire_subjects.claim_found(value) == CLAIMS_FOUND[state]


def test_changes_of_the_configuration_are_written_as_before():
    assert wire_subjects.configuration_writes({}, FILE) == FIRST_CONFIGURATION
    assert wire_subjects.configuration_writes(dict(CONFIGURATION_BEFORE), FILE) == NEXT_CONFIGURATION


def test_a_change_that_was_taken_before_is_known_by_its_id():
    assert wire_subjects.configuration_writes({"apply/a1": "3"}, FILE) == (
        [],
        '{"key":"zone/z1","revision":3,"changed":true}',
    )
