"""Settings files of both routers."""

from pathlib import Path

import pytest

from tests import wire_subjects

EXAMPLE = Path(__file__).parents[3] / "examples" / "node.yaml"
FIELDS = {
    "platform": {
        "node": "required",
        "zone": "required",
        "listen": "required",
        "listen.front": "required",
        "listen.ready": "required",
        "provider": "required",
        "provider.addr": "required",
        "bounds": (
            '{"revoke_ms":5000,"strict_revoke":false,"retry_budget_ratio":0.2,'
            '"retry_budget_extra":50,"budget_window_s":10,"lease_ms":3000,"contact_ms":3000,'
            '"version_ms":8000,"grace_s":8,"exposure_share":0.1,"exposure_slack":50,'
            '"rollback_ms":5000}'
        ),
        "bounds.revoke_ms": "5000",
        "bounds.strict_revoke": "false",
        "bounds.retry_budget_ratio": "0.2",
        "bounds.retry_budget_extra": "50",
        "bounds.budget_window_s": "10",
        "bounds.lease_ms": "3000",
        "bounds.contact_ms": "3000",
        "bounds.version_ms": "8000",
        "bounds.grace_s": "8",
        "bounds.exposure_share": "0.1",
        "bounds.exposure_slack": "50",
        "bounds.rollback_ms": "5000",
        "limits": '{"link_mbps":0.0}',
        "limits.link_mbps": "0.0",
        "metrics": '""',
        "ip": '""',
        "port_range": "[]",
        "region": '""',
        "zones": "{}",
    },
    "own": {
        "node": "required",
        "zone": "required",
        "region": "required",
        "operator_token": "required",
        "cluster": "required",
        "cluster.key": "required",
        "cluster.seeds": "[]",
        "cluster.sync_interval_s": "1.0",
        "cluster.suspicion_timeout_s": "3.0",
        "cluster.budget_bytes_per_s": "17000",
        "platform": "required",
        "platform.table": "required",
        "platform.machines": '""',
        "platform.timeout_s": "1.0",
        "callers_listener": '{"host":"127.0.0.1","port":0}',
        "callers_listener.host": '"127.0.0.1"',
        "callers_listener.port": "0",
        "operators_listener": '{"host":"127.0.0.1","port":0}',
        "operators_listener.host": '"127.0.0.1"',
        "operators_listener.port": "0",
        "cluster_listener": '{"host":"127.0.0.1","port":0}',
        "cluster_listener.host": '"127.0.0.1"',
        "cluster_listener.port": "0",
        "tls": "null",
        "tls.certificate_file": "required",
        "tls.key_file": "required",
        "limits": (
            '{"max_body_bytes":4194304,"max_header_bytes":8192,"stream_buffer_bytes":262144,'
            '"request_read_timeout_s":20.0,"stop_grace_s":50.0}'
        ),
        "limits.max_body_bytes": "4194304",
        "limits.max_header_bytes": "8192",
        "limits.stream_buffer_bytes": "262144",
        "limits.request_read_timeout_s": "20.0",
        "limits.stop_grace_s": "50.0",
        "log": '{"level":"INFO","json":true}',
        "log.level": '"INFO"',
        "log.json": "true",
        "policy": '"expected_first_token"',
    },
}
"""By file: each key with its default as JSON."""
WHOLE = (
    'node = "n1"\n'
    'zone = "a1"\n'
    'metrics = "9/figures"\n'
    'ip = "127.0.0.1"\n'
    "port_range = [7000, 7002]\n"
    'region = "a"\n'
    "later = 1\n"
    "[listen]\n"
    'front = "127.0.0.1:1"\n'
    'ready = "127.0.0.1:2"\n'
    "[provider]\n"
    'addr = "127.0.0.1:3"\n'
    "[bounds]\n"
    "revoke_ms = 1000\n"
    "strict_revoke = true\n"
    "retry_budget_ratio = 0.3\n"
    "retry_budget_extra = 4\n"
    "budget_window_s = 5\n"
    "lease_ms = 6000\n"
    "contact_ms = 7000\n"
    "version_ms = 9000\n"
    "grace_s = 10\n"
    "exposure_share = 0.2\n"
    "exposure_slack = 11\n"
    "rollback_ms = 12000\n"
    "[limits]\n"
    "link_mbps = 30\n"
    "[zones]\n"
    'a1 = "a"\n'
    'b1 = "b"\n'
)
WHOLE_READ = {
    "document": {
        "node": "n1",
        "zone": "a1",
        "listen": {"front": "127.0.0.1:1", "ready": "127.0.0.1:2"},
        "provider": {"addr": "127.0.0.1:3"},
        "bounds": {
            "revoke_ms": 1000.0,
            "strict_revoke": True,
            "retry_budget_ratio": 0.3,
            "retry_budget_extra": 4.0,
            "budget_window_s": 5.0,
            "lease_ms": 6000.0,
            "contact_ms": 7000.0,
            "version_ms": 9000.0,
            "grace_s": 10.0,
            "exposure_share": 0.2,
            "exposure_slack": 11.0,
            "rollback_ms": 12000.0,
        },
        "limits": {"link_mbps": 30.0},
        "metrics": "9/figures",
        "ip": "127.0.0.1",
        "port_range": [7000, 7002],
        "region": "a",
        "zones": {"a1": "a", "b1": "b"},
    },
    "peer_ports": [7000, 7001, 7002],
    "own_region": "a",
    "has_regions": True,
    "meaning": {
        "revoke_s": 1.0,
        "strict_revoke": True,
        "retry_ratio": 0.3,
        "retry_extra": 4.0,
        "retry_window_s": 5.0,
        "lease_s": 6.0,
        "contact_s": 7.0,
        "version_s": 9.0,
        "exposure_share": 0.2,
        "exposure_slack": 11.0,
        "rollback_s": 12.0,
    },
}
SHORT = (
    'node = "n1"\n'
    'zone = "a1"\n'
    "[listen]\n"
    'front = "127.0.0.1:1"\n'
    'ready = "127.0.0.1:2"\n'
    "[provider]\n"
    'addr = "127.0.0.1:3"\n'
)
SHORT_READ = {
    "document": {
        "node": "n1",
        "zone": "a1",
        "listen": {"front": "127.0.0.1:1", "ready": "127.0.0.1:2"},
        "provider": {"addr": "127.0.0.1:3"},
        "bounds": {
            "revoke_ms": 5000,
            "strict_revoke": False,
            "retry_budget_ratio": 0.2,
            "retry_budget_extra": 50,
            "budget_window_s": 10,
            "lease_ms": 3000,
            "contact_ms": 3000,
            "version_ms": 8000,
            "grace_s": 8,
            "exposure_share": 0.1,
            "exposure_slack": 50,
            "rollback_ms": 5000,
        },
        "limits": {"link_mbps": 0.0},
        "metrics": "",
        "ip": "",
        "port_range": [],
        "region": "",
        "zones": {},
    },
    "peer_ports": [],
    "own_region": "",
    "has_regions": False,
    "meaning": {
        "revoke_s": 5.0,
        "strict_revoke": False,
        "retry_ratio": 0.2,
        "retry_extra": 50,
        "retry_window_s": 10,
        "lease_s": 3.0,
        "contact_s": 3.0,
        "version_s": 8.0,
        "exposure_share": 0.1,
        "exposure_slack": 50,
        "rollback_s": 5.0,
    },
}
OWN_SHORT = (
    "node: n1\n"
    "zone: z1\n"
    "region: r1\n"
    "operator_token: 0123456789abcdef\n"
    "cluster: {key: 0123456789abcdef}\n"
    "platform: {table: 'http://127.0.0.1:1'}\n"
)
OWN_SHORT_READ = {
    "node": "n1",
    "zone": "z1",
    "region": "r1",
    "operator_token": "0123456789abcdef",
    "cluster": {
        "key": "0123456789abcdef",
        "seeds": [],
        "sync_interval_s": 1.0,
        "suspicion_timeout_s": 3.0,
        "budget_bytes_per_s": 17000,
    },
    "platform": {"table": "http://127.0.0.1:1", "machines": "", "timeout_s": 1.0},
    "callers_listener": {"host": "127.0.0.1", "port": 0},
    "operators_listener": {"host": "127.0.0.1", "port": 0},
    "cluster_listener": {"host": "127.0.0.1", "port": 0},
    "tls": None,
    "limits": {
        "max_body_bytes": 4194304,
        "max_header_bytes": 8192,
        "stream_buffer_bytes": 262144,
        "request_read_timeout_s": 20.0,
        "stop_grace_s": 50.0,
    },
    "log": {"level": "INFO", "json": True},
    "policy": "expected_first_token",
}
EXAMPLE_READ = {
    "node": "stockholm-a-1",
    "zone": "stockholm-a",
    "region": "sweden",
    "operator_token": "change-this-operator-token",
    "cluster": {
        "key": "change-this-cluster-key",
        "seeds": ["127.0.0.1:8082"],
        "sync_interval_s": 1.0,
        "suspicion_timeout_s": 3.0,
        "budget_bytes_per_s": 17000,
    },
    "platform": {"table": "http://127.0.0.1:8090", "machines": "http://127.0.0.1:8090", "timeout_s": 1.0},
    "callers_listener": {"host": "127.0.0.1", "port": 8080},
    "operators_listener": {"host": "127.0.0.1", "port": 8081},
    "cluster_listener": {"host": "127.0.0.1", "port": 8082},
    "tls": None,
    "limits": {
        "max_body_bytes": 4194304,
        "max_header_bytes": 8192,
        "stream_buffer_bytes": 262144,
        "request_read_timeout_s": 20.0,
        "stop_grace_s": 50.0,
    },
    "log": {"level": "INFO", "json": True},
    "policy": "expected_first_token",
}
REFUSED = [
    (
        (
            "node: 1\n"
            "zone: z\n"
            "more: 1\n"
            "region: r\n"
            "operator_token: short\n"
            "cluster: {key: short, seeds: [here]}\n"
            "platform: {}\n"
        ),
        {
            "refused": [
                (
                    "WW1001 SettingsError: node.yaml: more (line 3): unknown_key unknown key; known are calle"
                    "rs_listener, cluster, cluster_listener, limits, log, node, operator_token,"
                    " operators_listener, platform, policy, region, tls, zone"
                ),
                "node.yaml: node (line 1): wrong_type Expected `str`, got `int`",
                "node.yaml: platform (line 7): missing_key `table` is required",
            ],
        },
    ),
    (
        (
            "node: n\n"
            "zone: z\n"
            "region: r\n"
            "operator_token: short\n"
            "cluster: {key: short, seeds: [here]}\n"
            "platform: {table: t}\n"
            "log: {level: LOUD}\n"
        ),
        {
            "refused": [
                (
                    "WW1001 SettingsError: node.yaml: cluster.key (line 5): out_of_range needs at least 16 ch"
                    "aracters"
                ),
                "node.yaml: operator_token (line 4): out_of_range needs at least 16 characters",
                "node.yaml: cluster.seeds[0] (line 5): out_of_range must be IP:port",
                "node.yaml: log.level (line 7): out_of_range must be one of DEBUG, INFO, WARNING, ERROR",
            ],
        },
    ),
]


@pytest.mark.parametrize("of", FIELDS)
def test_keys_and_defaults_are_as_before(of):
    assert wire_subjects.settings_fields(of) == FIELDS[of]


@pytest.mark.parametrize(("text", "read"), [(WHOLE, WHOLE_READ), (SHORT, SHORT_READ)], ids=["whole", "short"])
def test_settings_of_the_platform_are_read_as_before(tmp_path, text, read):
    path = tmp_path / "settings.toml"
    path.write_text(text)
    assert wire_subjects.platform_settings(path) == read


def test_the_platform_names_the_file_by_the_same_variable(monkeypatch):
    monkeypatch.setenv("WALLWELL_BOOT", "/somewhere/settings.toml")
    assert wire_subjects.platform_settings_path() == "/somewhere/settings.toml"


def test_settings_without_the_platform_are_read_as_before():
    assert wire_subjects.own_settings(OWN_SHORT) == OWN_SHORT_READ
    assert wire_subjects.own_settings_file(EXAMPLE) == EXAMPLE_READ


@pytest.mark.parametrize(("text", "refusal"), REFUSED, ids=["kinds", "values"])
def test_settings_are_refused_as_before(text, refusal):
    assert wire_subjects.own_settings(text) == refusal
