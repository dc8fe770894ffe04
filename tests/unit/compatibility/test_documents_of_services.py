"""Documents of the platform, engines, callers and operators are decoded and re-encoded as by earlier builds."""

import pytest

from tests import wire_subjects

DOCUMENTS = {
    "store transaction": [
        (
            (
                '{"expect_rev":[{"table":"t","part":"","key":"k","ver":1}],"put":[{"table":"t","part":"",'
                '"key":"k","value":"djE="}],"delete":[{"table":"t","part":"","key":"k2"}]}'
            ),
        )
    ],
    "store answer": [
        ('{"ver":9,"now_ms":1000.0,"rows":[{"key":"k","value":"djE=","ver":3,"gone":true}],"more":true}',),
        (
            '{"ver":9,"rows":[{"key":"k"}]}',
            '{"ver":9,"now_ms":0.0,"rows":[{"key":"k","value":"","ver":0,"gone":false}],"more":false}',
        ),
    ],
    "worker order": [
        (('{"op":"version","model":"m","version":3,"mode":"retain","holder":"n1","fence":8,"expect_rev":2}'),)
    ],
    "worker report": [
        ('{"models":[{"name":"m","version":2}],"busy":true,"seq":5}',),
        (
            '{"models":[{"name":"m"}],"later":1}',
            '{"models":[{"name":"m","version":0}],"busy":false,"seq":0}',
        ),
    ],
    "cache events answer": [
        ('{"epoch":4,"next_token":19,"lost":true,"events":[[18,"+","m:3","aa",100,"m"]]}',),
        (
            '{"epoch":4,"next_token":19,"lost":false}',
            '{"epoch":4,"next_token":19,"lost":false,"events":[]}',
        ),
    ],
    "cache listing answer": [
        ('{"epoch":4,"next_token":19,"held":[["m:3","aa",100,"m"]]}',),
        ('{"epoch":4,"next_token":19}', '{"epoch":4,"next_token":19,"held":[]}'),
    ],
    "table transaction": [
        ('{"conditions":[{"key":"k","version":1}],"puts":[{"key":"k","value":"v"}],"deletes":["k2"]}',),
        ("{}", '{"conditions":[],"puts":[],"deletes":[]}'),
    ],
    "table commit": [('{"commit":7}',)],
    "table row": [('{"key":"k","value":"v","version":3}',)],
    "table scan": [('{"commit":7,"rows":[{"key":"k","value":"v","version":3}]}',)],
    "machine list": [('[{"address":"127.0.0.1:5","state":"live"},{"address":"127.0.0.1:6","state":"leaving"}]',)],
    "engine event line": [
        ('["status","e1","inc-1","serving",{"m":"w3"},64,16,1000]',),
        ('["status","e1","inc-1","loading",{},64,16,1000]',),
        ('["status","e1","inc-1","leaving",{},64,16,1000]',),
        ('["load",17,2,3,[[4,500]],900,0.5]',),
        ('["cache",18,true,"00000000000000ff",3,"AQAAAAAAAAA="]',),
    ],
    "engine cache snapshot": [
        ('{"incarnation":"inc-1","sequence":18,"entries":[["00000000000000ff",3,"AQAAAAAAAAA="]]}',)
    ],
    "engine refusal": [
        ('{"reason":"incarnation"}',),
        ('{"reason":"weights"}',),
        ('{"reason":"leaving"}',),
        ('{"reason":"loading"}',),
        ('{"reason":"overloaded"}',),
    ],
    "engine cancel": [('{"request_id":"r1"}',)],
    "engine cancel answer": [
        ('{"state":"never_started"}',),
        ('{"state":"stopped"}',),
        ('{"state":"unknown_request"}',),
    ],
    "engine load order": [('{"fence":8,"model":"m","weights_version":"w3"}',)],
    "operators' change": [
        ('{"apply_id":"a1","operator":"maria","body":"b","key":"zone/z1","base_revision":4}',),
        (
            '{"apply_id":"a1","operator":"maria"}',
            '{"apply_id":"a1","operator":"maria","body":"","key":"","base_revision":null}',
        ),
    ],
    "operators' change answer": [('{"key":"zone/z1","revision":4,"changed":true}',)],
    "operators' status answer": [
        (
            (
                '{"node":"n1","zone":"z1","region":"east","ready":true,"draining":false,'
                '"config_revision":4,"in_flight":2,"members":[{"node":"n1","zone":"z1","status":"alive",'
                '"config_revision":4,"engines":2}],"regions":{"west":3}}'
            ),
        )
    ],
    "operators' file answer": [('{"key":"zone/z1","revision":4,"digest":"d","operator":"maria","body":"b"}',)],
    "operators' error answer": [('{"code":"WW2004","error":"ConfigNotFoundError","message":"zone/z1"}',)],
    "completion request": [
        (
            (
                '{"model":"m","prompt":"p","max_tokens":9,"stream":true,"adapter":"a",'
                '"resume":{"next_index":3,"text":"t"}}'
            ),
        ),
        (
            '{"model":"m","prompt":"p","later":1}',
            '{"model":"m","prompt":"p","max_tokens":64,"stream":false,"adapter":"","resume":null}',
        ),
    ],
    "chat request": [
        (
            (
                '{"model":"m","messages":[{"role":"user","content":"p"}],"max_tokens":9,"stream":true,'
                '"adapter":"a","resume":{"next_index":3,"text":"t"}}'
            ),
        ),
        (
            '{"model":"m","messages":[{"role":"user","content":"p"}]}',
            (
                '{"model":"m","messages":[{"role":"user","content":"p"}],"max_tokens":64,"stream":false,'
                '"adapter":"","resume":null}'
            ),
        ),
    ],
}
"""By kind: documents that are re-encoded unchanged, and pairs of a document and its re-encoding with defaults."""
OTHER_KINDS = [
    "back end row",
    "cache reply",
    "claim row",
    "configuration head row",
    "configuration revision row",
    "connection check reply",
    "counts reply",
    "lease row",
    "member row",
    "operators' configuration row",
    "others' load reply",
    "peer request",
    "region reply",
    "region sum",
    "rollout order row",
    "rollout record row",
    "rollout status row",
    "rows reply",
    "stream datagram",
    "streams row",
    "versions row",
    "weights progress row",
    "weights version row",
    "zone load reply",
]
"""Kinds whose documents are tested in ``test_store_rows`` and ``test_messages_between_nodes``."""


PAIRS = [(kind, *pair) for kind, pairs in DOCUMENTS.items() for pair in pairs]


@pytest.mark.parametrize("pair", PAIRS, ids=lambda pair: f"{pair[0]}: {pair[1][:60]}")
def test_documents_are_read_and_written_as_before(pair):
    kind, given, written = pair[0], pair[1], pair[-1]
    assert wire_subjects.rewrite(kind, given) == written


def test_each_kind_of_document_is_tested():
    assert sorted([*DOCUMENTS, *OTHER_KINDS]) == wire_subjects.kinds()
