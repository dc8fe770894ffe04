"""Operators' declarative files: keys, defaults, the contents that nodes keep, and problems."""

from pathlib import Path

import pytest

from tests import wire_subjects

EXAMPLES = Path(__file__).parents[3] / "examples" / "pharmacy"
FIELDS = {
    "zone": {"region": "required"},
    "priority": {
        "rank": "required",
        "objective": '{"first_token":1.0,"recompute":0.2}',
        "objective.first_token": "1.0",
        "objective.recompute": "0.2",
        "deadline_ms": "60000",
        "ageing_s": "600.0",
    },
    "model": {
        "weights_version": "required",
        "adapters": "{}",
        "min_serving": "1",
        "block_tokens": "16",
        "bytes_per_token": "4",
        "warm_prefixes": "[]",
    },
    "service": {
        "instances": "required",
        "instances.name": "required",
        "instances.address": "required",
        "instances.zone": "required",
        "instances.state": '"serving"',
        "operations": "[]",
        "operations.method": "required",
        "operations.path": "required",
        "operations.repeatable": "required",
        "timeout_ms": "3000",
    },
    "engine_pool": {
        "models": "required",
        "engines": "required",
        "engines.name": "required",
        "engines.address": "required",
        "engines.zone": "required",
        "engines.state": '"serving"',
        "max_concurrent_loads": "2",
    },
    "tenant": {
        "token_sha256": "required",
        "models": "[]",
        "services": "[]",
        "priorities": "[]",
        "default_priority": "null",
        "requests_per_s": "100.0",
        "burst": "100.0",
        "concurrency": "200",
        "weight": "1.0",
    },
}
"""By kind, in the order in which files are applied: each key with its default as JSON."""
READ = [
    (
        "kind: zone\nname: z1\nspec:\n  region: east\n",
        {
            "key": "zone/z1",
            "digest": "a243899125aa129928817708b87b4e521bb1bc969844d47fd968007c1b927d0f",
            "spec": '{"region":"east"}',
        },
    ),
    (
        "kind: tenant\nname: a\nspec:\n  burst: -1\n  colour: red\n",
        {
            "problems": [
                (
                    "spec.colour (line 5): unknown_key unknown key; known are burst, concurrency,"
                    " default_priority, models, priorities, requests_per_s, services, token_sha256, weight"
                ),
                "spec (line 3): missing_key `token_sha256` is required",
                "spec.burst (line 4): wrong_type Expected `float` > 0.0",
            ],
        },
    ),
    (
        "kind: tent\nname: a\nspec: {}\n",
        {
            "problems": [
                "kind (line 1): wrong_type must be one of zone, priority, model, service, engine_pool, tenant"
            ],
        },
    ),
]
SPECS = {
    "10-zone-stockholm-a.yaml": '{"region":"sweden"}',
    "10-zone-stockholm-b.yaml": '{"region":"sweden"}',
    "10-zone-stockholm-c.yaml": '{"region":"sweden"}',
    "20-priority-customer-question.yaml": (
        '{"rank":2,"objective":{"first_token":1.0,"recompute":0.2},"deadline_ms":15000,"ageing_s":600.0}'
    ),
    "20-priority-prescription-check.yaml": (
        '{"rank":0,"objective":{"first_token":1.0,"recompute":0.1},"deadline_ms":10000,"ageing_s":600.0}'
    ),
    "20-priority-staff-question.yaml": (
        '{"rank":4,"objective":{"first_token":0.8,"recompute":0.3},"deadline_ms":20000,"ageing_s":600.0}'
    ),
    "30-model-dosage-8b.yaml": (
        '{"weights_version":"2026-11","adapters":{"counter-style":"3"},"min_serving":4,'
        '"block_tokens":16,"bytes_per_token":4,"warm_prefixes":[]}'
    ),
    "40-service-orders.yaml": (
        '{"instances":[{"name":"stockholm-a-orders","address":"127.20.1.20:9200",'
        '"zone":"stockholm-a","state":"serving"},{"name":"stockholm-b-orders",'
        '"address":"127.20.2.20:9200","zone":"stockholm-b","state":"serving"},'
        '{"name":"stockholm-c-orders","address":"127.20.3.20:9200","zone":"stockholm-c",'
        '"state":"serving"}],"operations":[{"method":"GET","path":"/status","repeatable":true},'
        '{"method":"GET","path":"/slots","repeatable":true},{"method":"POST",'
        '"path":"/pickup-notices","repeatable":false}],"timeout_ms":3000}'
    ),
    "50-pool-pharmacy-engines.yaml": (
        '{"models":["dosage-8b"],"engines":[{"name":"stockholm-a-e1","address":"127.20.1.1:9100",'
        '"zone":"stockholm-a","state":"serving"},{"name":"stockholm-a-e2",'
        '"address":"127.20.1.2:9100","zone":"stockholm-a","state":"serving"},'
        '{"name":"stockholm-b-e1","address":"127.20.2.1:9100","zone":"stockholm-b",'
        '"state":"serving"},{"name":"stockholm-b-e2","address":"127.20.2.2:9100",'
        '"zone":"stockholm-b","state":"serving"},{"name":"stockholm-c-e1",'
        '"address":"127.20.3.1:9100","zone":"stockholm-c","state":"serving"},'
        '{"name":"stockholm-c-e2","address":"127.20.3.2:9100","zone":"stockholm-c",'
        '"state":"serving"}],"max_concurrent_loads":2}'
    ),
    "60-tenant-call-centre.yaml": (
        '{"token_sha256":["fcc790f24258bfc1974c4717e67229ade3b4df859d3296a5e019fac10c12c280"],'
        '"models":["dosage-8b"],"services":["orders"],"priorities":["customer-question",'
        '"staff-question"],"default_priority":"customer-question","requests_per_s":100.0,'
        '"burst":100.0,"concurrency":100,"weight":2.0}'
    ),
    "60-tenant-care-homes.yaml": (
        '{"token_sha256":["e0bf8b1982a26401bc6358e36201d5964dfa0d762c1e9419281ed21f3229188a"],'
        '"models":["dosage-8b"],"services":["orders"],"priorities":["prescription-check",'
        '"staff-question"],"default_priority":"prescription-check","requests_per_s":50.0,'
        '"burst":50.0,"concurrency":50,"weight":1.0}'
    ),
    "60-tenant-hospital-desk.yaml": (
        '{"token_sha256":["00fb9136cd14fc7007d7ca9c10b7638e1fc21c73bf856367e4ae8f1719afc7d7"],'
        '"models":["dosage-8b"],"services":["orders"],"priorities":["prescription-check"],'
        '"default_priority":"prescription-check","requests_per_s":50.0,"burst":50.0,'
        '"concurrency":50,"weight":2.0}'
    ),
    "60-tenant-mobile-app.yaml": (
        '{"token_sha256":["4f010e560ab9f664a56057d1dba1ac58fec851c2ac4075f8cd2bc54a3d32f955"],'
        '"models":["dosage-8b"],"services":["orders"],"priorities":["customer-question"],'
        '"default_priority":"customer-question","requests_per_s":200.0,"burst":200.0,'
        '"concurrency":200,"weight":2.0}'
    ),
    "60-tenant-night-pharmacy.yaml": (
        '{"token_sha256":["8438428efcaacee2339c7f9a6110fdcfdc69d76fab74e488c655163482f84a98"],'
        '"models":["dosage-8b"],"services":["orders"],"priorities":["prescription-check"],'
        '"default_priority":"prescription-check","requests_per_s":50.0,"burst":50.0,'
        '"concurrency":50,"weight":1.0}'
    ),
    "60-tenant-pharmacists.yaml": (
        '{"token_sha256":["3729a194a6b052245112e82b499877482f3ca57403c47855136d3e9c3ec30f66"],'
        '"models":["dosage-8b"],"services":["orders"],"priorities":["prescription-check"],'
        '"default_priority":"prescription-check","requests_per_s":400.0,"burst":400.0,'
        '"concurrency":400,"weight":8.0}'
    ),
    "60-tenant-store-staff.yaml": (
        '{"token_sha256":["85381305ed2a21ede20b2a4d7220f7ea80ef45479ca18e1e6daf5cc99711d5a1"],'
        '"models":["dosage-8b"],"services":["orders"],"priorities":["staff-question",'
        '"customer-question"],"default_priority":"staff-question","requests_per_s":200.0,'
        '"burst":200.0,"concurrency":200,"weight":3.0}'
    ),
    "60-tenant-web-shop.yaml": (
        '{"token_sha256":["d25609d3ba89bdec4185a20547540e43ceb6b59e433558321254efe37ae4ec98"],'
        '"models":["dosage-8b"],"services":["orders"],"priorities":["customer-question"],'
        '"default_priority":"customer-question","requests_per_s":300.0,"burst":300.0,'
        '"concurrency":300,"weight":4.0}'
    ),
}
"""By file of the example: the contents that nodes keep."""
KEYS = [
    "zone/stockholm-a",
    "zone/stockholm-b",
    "zone/stockholm-c",
    "priority/customer-question",
    "priority/prescription-check",
    "priority/staff-question",
    "model/dosage-8b",
    "service/orders",
    "engine_pool/pharmacy-engines",
    "tenant/call-centre",
    "tenant/care-homes",
    "tenant/hospital-desk",
    "tenant/mobile-app",
    "tenant/night-pharmacy",
    "tenant/pharmacists",
    "tenant/store-staff",
    "tenant/web-shop",
]
TOGETHER = [
    (
        "kind: engine_pool\n"
        "name: p\n"
        "spec:\n"
        "  models: [m]\n"
        "  engines: [{name: e, address: '127.0.0.1:1', zone: z}, {name: e,"
        " address: '127.0.0.1:1', zone: z}]\n"
    ),
    "kind: zone\nname: z\nspec: {region: r}\n",
]
PROBLEMS = [
    "engine_pool/p",
    "zone/z",
    "spec.models[0] (line 4): unknown_reference no model named `m`",
    "spec.engines[1] (line 5): duplicate `e` is used by engine_pool/p too",
    "spec.engines[1] (line 5): duplicate `127.0.0.1:1` is used by engine_pool/p too",
]


def test_kinds_are_applied_in_the_same_order():
    assert wire_subjects.file_kinds() == list(FIELDS)


@pytest.mark.parametrize("kind", FIELDS)
def test_keys_and_defaults_are_as_before(kind):
    assert wire_subjects.settings_fields(kind) == FIELDS[kind]


@pytest.mark.parametrize(("text", "read"), READ, ids=["zone", "wrong keys", "wrong kind"])
def test_files_are_read_or_refused_as_before(text, read):
    assert wire_subjects.operators_file(text) == read


@pytest.mark.parametrize("name", SPECS)
def test_files_of_the_example_are_read_as_before(name):
    assert wire_subjects.operators_file((EXAMPLES / name).read_text())["spec"] == SPECS[name]


def test_files_belong_together_as_before():
    assert wire_subjects.operators_directory([(EXAMPLES / name).read_text() for name in SPECS]) == KEYS
    assert wire_subjects.operators_directory(TOGETHER) == PROBLEMS
