"""The settings file: regions, values that cannot be used, and files that cannot be read."""

import os
import re

import msgspec
import pytest

from wallwell.deployment.topology import Distance
from wallwell.errors import SettingsError
from wallwell.platform.settings import MAX_FILE_BYTES, OperatorBounds, load_platform_settings

BASE = """
node = "n1"
zone = "a1"
[listen]
front = "127.0.0.1:1"
ready = "127.0.0.1:2"
[provider]
addr = "127.0.0.1:3"
"""
REGIONS = """
[zones]
a1 = "a"
a2 = "a"
b1 = "b"
"""


@pytest.mark.parametrize(
    ("text", "distances"),
    [
        (BASE, (Distance.SAME_REGION, Distance.SAME_REGION)),
        ('region = "a"\n' + BASE, (Distance.SAME_REGION, Distance.SAME_REGION)),
        ('region = "a"\n' + BASE + REGIONS, (Distance.SAME_REGION, Distance.OTHER_REGION)),
        (BASE + REGIONS, (Distance.SAME_REGION, Distance.OTHER_REGION)),
    ],
    ids=["absent", "region only", "both", "map only"],
)
def test_distance_of_zones_follows_the_settings(tmp_path, text, distances):
    path = tmp_path / "settings.toml"
    path.write_text(text)
    loaded = load_platform_settings(str(path)).topology()
    assert (loaded.distance_to("a2"), loaded.distance_to("b1")) == distances


def load(tmp_path, data):
    path = tmp_path / "settings.toml"
    path.write_bytes(data.encode() if isinstance(data, str) else data)
    return load_platform_settings(str(path))


def changed(**values):
    """Return settings with some values, as TOML, in place of the usual ones, or in addition."""
    listen = {"front": '"127.0.0.1:1"', "ready": '"127.0.0.1:2"'}
    fields = {"node": '"n1"', "zone": '"a1"', **{f"listen.{name}": each for name, each in listen.items()}}
    fields |= {"provider.addr": '"127.0.0.1:3"', **{name.replace("__", "."): each for name, each in values.items()}}
    return "".join(f"{name} = {value}\n" for name, value in fields.items())


ODD_PORTS = ("", "-1", "99999", "1" * 4400, "http", "\u0661", "\u00b2", "8 0", "+1")
ODD_ADDRESSES = (
    "",
    "127.0.0.1",
    "127..1:80",
    "a" * 64 + ":80",
    "a b:80",
    *(f"127.0.0.1:{port}" for port in ODD_PORTS),
)
ODD_TEXTS = {
    "provider.addr": (*ODD_ADDRESSES, "store", "store:80", "0.0.0.0:80", "127.0.0.1:0", "[::1]:80"),
    "listen.front": ODD_ADDRESSES,
    "listen.ready": ODD_ADDRESSES,
    "ip": ("0.0.0.0", "name", "127.0.0", "127.0.0.1:80", "\u0661.0.0.1", "1" * 4400),
    "metrics": ("99999/m", "1" * 4400 + "/m"),
}
ODD_QUANTITIES = ("-1", "-0.1", "nan", "inf", "-inf", "1e308", "1e400")
BOUNDS = [f"bounds.{each.encode_name}" for each in msgspec.structs.fields(OperatorBounds) if each.type is float]
ODD_FIELDS = {
    **{field: [f'"{text}"' for text in texts] for field, texts in ODD_TEXTS.items()},
    **{field: ODD_QUANTITIES for field in ("limits.link_mbps", *BOUNDS)},
    "bounds.budget_window_s": (*ODD_QUANTITIES, "0", "1e-300"),
    "bounds.lease_ms": (*ODD_QUANTITIES, "0"),
    "port_range": ("[-1, 5]", "[9, 8]", "[1, 70000]", "[1, 1000000000000000000]", "[70000]"),
}


@pytest.mark.parametrize(
    ("field", "value"), [(field, value) for field, values in ODD_FIELDS.items() for value in values]
)
def test_a_value_that_cannot_be_used_is_an_error_that_names_its_field(tmp_path, field, value):
    """The process started, and failed where the value was used: never ready, or an error of another type."""
    with pytest.raises(SettingsError, match=re.escape(f"settings.toml: {field}: ")) as raised:
        load(tmp_path, changed(**{field: value}))
    assert len(str(raised.value).splitlines()) == 1


@pytest.mark.parametrize(
    "data",
    [
        changed(more="9" * 5000),
        changed(node="9" * 5000),
        changed(node="1" + "0" * 400),
        changed(bounds__grace_s="1" + "0" * 400),
        changed(more="[" * 5000 + "]" * 5000),
        changed(more="{a=" * 5000 + "1" + "}" * 5000),
        changed(node="[" * 200 + "]" * 200),
        changed().encode() + b'more = "\xff"\n',
        changed().encode("utf-16"),
        b"\x00" * 100,
        b"",
        changed() + "#" + "x" * (MAX_FILE_BYTES + 1),
        changed(node='"\\ud800"'),
        changed()[:-20],
    ],
    ids=lambda data: f"{data[:12]!r} {len(data)}",
)
def test_a_file_that_cannot_be_read_is_a_settings_error(tmp_path, data):
    """A number of thousands of digits and deep nesting ended the start with a traceback."""
    with pytest.raises(SettingsError) as raised:
        load(tmp_path, data)
    assert len(str(raised.value).splitlines()) == 1


def test_what_is_no_file_is_a_settings_error(tmp_path):
    os.mkfifo(tmp_path / "pipe")
    for path in (tmp_path, tmp_path / "none", tmp_path / "pipe", "/dev/zero"):
        with pytest.raises(SettingsError):
            load_platform_settings(str(path))


@pytest.mark.parametrize(
    ("field", "value"),
    [
        ("listen.front", '"0.0.0.0:0"'),
        ("listen.front", '":8080"'),
        ("listen.front", '"localhost:80"'),
        ("listen.front", '"::1:65535"'),
        ("listen.ready", '"127.0.0.1:0"'),
        ("ip", '""'),
        ("ip", '"10.0.0.1"'),
        ("metrics", '"9/figures"'),
        ("metrics", '"none"'),
        ("port_range", "[]"),
        ("port_range", "[7000]"),
        ("port_range", "[7000, 7000]"),
        ("bounds.grace_s", "0"),
        ("bounds.contact_ms", "0"),
        ("bounds.revoke_ms", "1000000000"),
    ],
)
def test_values_that_can_be_used_are_accepted(tmp_path, field, value):
    assert load(tmp_path, changed(**{field: value})).node == "n1"
