"""Tests the reference checks between configuration files, and the reuse of look-up tables of unchanged kinds."""

from __future__ import annotations

import pytest

from wallwell.standalone.config.compiled import compile_config
from wallwell.standalone.config.parse import check_references, parse_file, removal_problems
from wallwell.standalone.config.schema import Kind

TOKEN = "a" * 64
ZONE = "kind: zone\nname: z1\nspec: {region: r1}\n"
MODEL = "kind: model\nname: m1\nspec: {weights_version: '1'}\n"
PRIORITY = "kind: priority\nname: p1\nspec: {rank: 0}\n"
POOL = """kind: engine_pool
name: pool
spec: {models: [m1], engines: [{name: e1, address: '10.0.0.1:80', zone: z1}]}
"""
SERVICE = """kind: service
name: s1
spec: {instances: [{name: i1, address: '10.0.0.2:80', zone: z1}]}
"""
TENANT = f"""kind: tenant
name: t1
spec: {{token_sha256: ['{TOKEN}'], models: [m1], services: [s1], priorities: [p1], default_priority: p1}}
"""
ALL = (ZONE, MODEL, PRIORITY, POOL, SERVICE, TENANT)


def parsed(*bodies):
    files = [parse_file(body)[0] for body in bodies]
    return {file.key: file for file in files}


def reference_problems(files):
    return [(problem.code, problem.path) for problem in check_references(files)]


def test_files_with_valid_references_have_no_problems():
    assert reference_problems(parsed(*ALL)) == []


@pytest.mark.parametrize(
    ("missing", "paths"),
    [
        (ZONE, ["spec.engines[0].zone", "spec.instances[0].zone"]),
        (MODEL, ["spec.models[0]", "spec.models[0]"]),
        (SERVICE, ["spec.services[0]"]),
        (PRIORITY, ["spec.priorities[0]"]),
    ],
)
def test_a_reference_to_a_missing_file_is_a_problem(missing, paths):
    files = parsed(*ALL)
    removed = parse_file(missing)[0].key
    expected = [("unknown_reference", path) for path in paths]
    assert [(each.code, each.path) for each in removal_problems(removed, files)] == expected
    assert reference_problems({key: file for key, file in files.items() if key != removed}) == expected


@pytest.mark.parametrize(
    ("body", "paths"),
    [
        (SERVICE.replace("s1", "s2").replace("i1", "i2"), ["spec.instances[0]"]),
        (SERVICE.replace("s1", "s2").replace("0.2:80", "0.9:80"), ["spec.instances[0]"]),
        (TENANT.replace("t1", "t2"), ["spec.token_sha256[0]"]),
        (TENANT.replace("default_priority: p1", "default_priority: p2"), ["spec.default_priority"]),
    ],
)
def test_duplicates_and_a_default_priority_not_listed_are_problems(body, paths):
    assert [path for _, path in reference_problems(parsed(*ALL, body))] == paths


@pytest.mark.parametrize("kind", list(Kind))
def test_tables_of_unchanged_kinds_are_reused(kind):
    tables = {
        "zones": Kind.ZONE,
        "priorities": Kind.PRIORITY,
        "models": Kind.MODEL,
        "services": Kind.SERVICE,
        "engines": Kind.ENGINE_POOL,
        "tenants": Kind.TENANT,
        "tenant_by_token": Kind.TENANT,
    }
    files = parsed(*ALL)
    before = compile_config(files, 1)
    after = compile_config(files, 2, before, {kind})
    assert after == compile_config(files, 2)
    rebuilt = {kind for name, kind in tables.items() if getattr(after, name) is not getattr(before, name)}
    assert rebuilt == {kind}
    assert after.tenants["t1"] is before.tenants["t1"]
