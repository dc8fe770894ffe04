"""Rows of the store: each kind of document is decoded and re-encoded as by earlier builds."""

import pytest

from tests import wire_subjects

DOCUMENTS = {
    "lease row": [
        ('{"holder":"n1","fence":4,"ttl_s":1.5,"released":true}',),
        ('{"holder":"n1","fence":4,"ttl_s":1.5}', '{"holder":"n1","fence":4,"ttl_s":1.5,"released":false}'),
    ],
    "claim row": [
        ('{"claim_id":"id1","digest":"d1","state":"done","status":200,"body":"b"}',),
        (
            '{"claim_id":"id1","digest":"d1","state":"open"}',
            '{"claim_id":"id1","digest":"d1","state":"open","status":0,"body":""}',
        ),
        ('{"claim_id":"id1","digest":"d1","state":"released","status":0,"body":""}',),
    ],
    "configuration head row": [('{"revision":4}',)],
    "configuration revision row": [
        (
            (
                '{"key":{"kind":"zone","name":"z1"},"revision":4,"digest":"d","spec":"{}",'
                '"operator":"maria","accepted_at_ms":5}'
            ),
        ),
        (
            '{"key":{"kind":"engine_pool","name":"p"},"revision":4,"digest":"","spec":""}',
            (
                '{"key":{"kind":"engine_pool","name":"p"},"revision":4,"digest":"","spec":"",'
                '"operator":"","accepted_at_ms":0}'
            ),
        ),
    ],
    "member row": [
        ('{"zone":"z1","relay":"127.0.0.1:9","link_mbps":30.0}',),
        (
            (
                '{"zone":"z1","relay":"127.0.0.1:9","link_mbps":30.0,"makes_attempts":true,'
                '"keeps_streams":true,"checks_backends":true}'
            ),
        ),
        ('{"zone":"z1"}', '{"zone":"z1","relay":"","link_mbps":0.0}'),
    ],
    "versions row": [
        ('{"versions":["v1","v2"]}',),
        ('{"versions":["v1"],"whole_in_era":0}',),
        (
            (
                '{"versions":["v1","v2"],"whole_in_era":3,'
                '"sole":{"version":"v1","writer":"n1/00aa11bb","until_s":1000.5}}'
            ),
        ),
    ],
    "streams row": [
        ('{"by_version":{"v1":["00112233445566778899aabbccddeeff"]},"until_s":1000.5}',),
    ],
    "weights progress row": [
        ('{"model":"m","loading":[["w1",3]],"finished":[["w2",3]],"named":[[3,1.5]]}',),
        ('{"model":"m","loading":[],"finished":[]}', '{"model":"m","loading":[],"finished":[],"named":[]}'),
    ],
    "rollout record row": [
        (
            (
                '{"service":"svc","target_version":"v2","order":12,"ordered_at_s":5.0,"duration_s":60.0,'
                '"phase":"switching","share":0.5,"reason":"why","current_requests":3,"target_requests":4,'
                '"barred":["v0"],"written_at_s":6.0}'
            ),
        ),
        (
            (
                '{"service":"svc","target_version":"v2","order":12,"ordered_at_s":5.0,"duration_s":60.0,'
                '"phase":"canary"}'
            ),
            (
                '{"service":"svc","target_version":"v2","order":12,"ordered_at_s":5.0,"duration_s":60.0,'
                '"phase":"canary","share":0.0,"reason":"","current_requests":0,"target_requests":0,'
                '"barred":[],"written_at_s":0.0}'
            ),
        ),
        (
            (
                '{"service":"svc","target_version":"v2","order":12,"ordered_at_s":5.0,"duration_s":60.0,'
                '"phase":"complete"}'
            ),
            (
                '{"service":"svc","target_version":"v2","order":12,"ordered_at_s":5.0,"duration_s":60.0,'
                '"phase":"complete","share":0.0,"reason":"","current_requests":0,"target_requests":0,'
                '"barred":[],"written_at_s":0.0}'
            ),
        ),
        (
            (
                '{"service":"svc","target_version":"v2","order":12,"ordered_at_s":5.0,"duration_s":60.0,'
                '"phase":"rolled_back"}'
            ),
            (
                '{"service":"svc","target_version":"v2","order":12,"ordered_at_s":5.0,"duration_s":60.0,'
                '"phase":"rolled_back","share":0.0,"reason":"","current_requests":0,"target_requests":0,'
                '"barred":[],"written_at_s":0.0}'
            ),
        ),
    ],
    "rollout status row": [('{"state":"running","target_version":"v2","service":"svc"}',)],
    "rollout order row": [('{"service":"svc","target_version":"v2","duration_s":60.0}',)],
    "weights version row": [('{"model":"m","version":3}',)],
    "back end row": [
        (
            (
                '{"service":"svc","addr":"127.0.0.1:5","zone":"z1","slots":4,"state":"draining",'
                '"version":"v1","cold_left_ms":1500.0,"models":[{"name":"m","version":2}]}'
            ),
        ),
        (
            '{"service":"svc","addr":"127.0.0.1:5","models":[{"name":"m"}],"later":1}',
            (
                '{"service":"svc","addr":"127.0.0.1:5","zone":"","slots":1,"state":"ready","version":"",'
                '"cold_left_ms":0.0,"models":[{"name":"m","version":0}]}'
            ),
        ),
    ],
    "operators' configuration row": [
        (
            (
                '{"version":7,"routes":[{"host":"h","path_prefix":"/a","kind":"stream",'
                '"timeout_ms":9000.0,"name":"r","service":"svc","backends":[{"service":"s1",'
                '"weight":2.0}],"slo_ms":800.0,"priority":3,"attempts":4,"public":true,"can_resume":true,'
                '"gap_slo_ms":400.0}],"services":[{"name":"svc","max_conns":9,"engine":{"slots":4,'
                '"kv_capacity":1000,"models":[{"name":"m"}]},"kv_store_addr":"127.0.0.1:7","zone":"z1"}],'
                '"limits":{"max_body_bytes":100,"idle_timeout_ms":1500.0},"tenants":[{"name":"acme",'
                '"api_keys":["k"],"priority":1,"isolated":true,"rate_per_s":5.0,"burst":6.0,'
                '"unit":"tokens","plain_tokens":7}]}'
            ),
        ),
        (
            '{"version":7}',
            (
                '{"version":7,"routes":[],"services":[],"limits":{"max_body_bytes":4194304,'
                '"idle_timeout_ms":60000},"tenants":[]}'
            ),
        ),
        (
            (
                '{"version":7,"routes":[{"host":"h","path_prefix":"/a","kind":"stream","timeout_ms":9000,'
                '"backends":[{"service":"s1"}]}],"services":[{"name":"svc","engine":{}}],"limits":{},'
                '"tenants":[{"name":"acme"}],"later":1}'
            ),
            (
                '{"version":7,"routes":[{"host":"h","path_prefix":"/a","kind":"stream",'
                '"timeout_ms":9000.0,"name":"","service":"","backends":[{"service":"s1","weight":1.0}],'
                '"slo_ms":1000.0,"priority":5,"attempts":1,"public":false,"can_resume":false,'
                '"gap_slo_ms":500.0}],"services":[{"name":"svc","max_conns":0,"engine":{"slots":1,'
                '"kv_capacity":0,"models":[]},"kv_store_addr":"","zone":""}],'
                '"limits":{"max_body_bytes":4194304,"idle_timeout_ms":60000},"tenants":[{"name":"acme",'
                '"api_keys":[],"priority":null,"isolated":false,"rate_per_s":0.0,"burst":0.0,"unit":"",'
                '"plain_tokens":1}]}'
            ),
        ),
    ],
}
"""By kind: documents that are re-encoded unchanged, and pairs of a document and its re-encoding with defaults."""


PAIRS = [(kind, *pair) for kind, pairs in DOCUMENTS.items() for pair in pairs]


@pytest.mark.parametrize("pair", PAIRS, ids=lambda pair: f"{pair[0]}: {pair[1][:60]}")
def test_documents_are_read_and_written_as_before(pair):
    kind, given, written = pair[0], pair[1], pair[-1]
    assert wire_subjects.rewrite(kind, given) == written


@pytest.mark.parametrize("kind", ["safe", "unsafe", "stream"])
def test_kinds_of_routes_are_read(kind):
    given = DOCUMENTS["operators' configuration row"][0][0].replace("stream", kind)
    assert wire_subjects.rewrite("operators' configuration row", given) == given
