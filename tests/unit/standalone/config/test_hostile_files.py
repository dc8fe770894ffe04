"""Operators' and settings files with hostile values: what is wrong is listed, and no other error is raised.

Guards against a file that is accepted although no node can read it from the table, and against a traceback in place
of a list of problems.
"""

from __future__ import annotations

import itertools
import time

import msgspec
import pytest
import yaml

from tests.conftest import EXAMPLES
from tests.unit.standalone.hostile_values import LONG_DIGITS, ODD_ADDRESSES
from wallwell.cli.config_commands import read_config_files
from wallwell.errors import ConfigInvalidError, SettingsError
from wallwell.standalone.config.parse import parse_file
from wallwell.standalone.config.schema import SPEC_TYPES
from wallwell.standalone.config.store import decode_spec
from wallwell.standalone.settings import load_settings, parse_settings

LETTERS = "abcdefghi"
ALIASES = "".join(f"{new}: &{new} [{', '.join([f'*{old}'] * 9)}]\n" for old, new in itertools.pairwise(LETTERS))
HOSTILE_YAML = {
    "long number": LONG_DIGITS,
    "long hexadecimal number": "0x" + "f" * 10000,
    "number beyond a float": "9" * 400,
    "infinity": ".inf",
    "not a number": ".nan",
    "no such date": "2001-99-99",
    "no such time": "2001-01-01T99:99:99Z",
    "tagged as a number": "!!int x",
    "tagged as an empty number": '!!int ""',
    "tagged as a truth value": "!!bool x",
    "tagged as a time": "!!timestamp x",
    "tagged as bytes": "!!binary x",
    "contains itself": "&x [*x]",
    "mapping that contains itself": "&x {a: *x}",
    "nested sequences": "[" * 1000 + "]" * 1000,
    "nested mappings": "{a: " * 1000 + "1" + "}" * 1000,
    "sequences nested more deeply than YAML allows": "[" * 5000 + "]" * 5000,
    "surrogate": '"\\uD800"',
    "raw surrogate": "\ud800",
    "control character": "\x00",
    "mapping as a key": "{? [a] : b}",
    "odd keys": "{1: 2, true: 3, null: 4, 2001-01-01: 5, .nan: 6}",
    "nothing": "",
    "null": "null",
    "negative": "-1",
}
FLAT_YAML = {name: value for name, value in HOSTILE_YAML.items() if not name.startswith("nested")}
"""Without what takes long to parse at each of many places."""
FILES = {path.name[:2]: path for path in sorted((EXAMPLES / "pharmacy").glob("*.yaml"))}
"""One file of each kind, by the number with which names of that kind begin."""
ODD_URLS = (
    "",
    "127.0.0.1:9000",
    "http://",
    "ftp://127.0.0.1",
    "http://127.0.0.1:http",
    "http://127.0.0.1:99999",
    f"http://127.0.0.1:{LONG_DIGITS}",
    "http://..:9",
    f"http://{'a' * 64}:9",
    "http://[::1",
    "http://a:0",
)
SETTINGS = (EXAMPLES / "node.yaml").read_text()


def check_file(body):
    """Parse a file; one without problems must be readable in the form in which it is stored."""
    file, problems = parse_file(body)
    assert (file is None) == bool(problems)
    if file is not None:
        assert msgspec.json.encode(decode_spec(file.key.kind, file.spec_json)).decode() == file.spec_json
        assert len(file.digest) == 64


@pytest.mark.parametrize("value", HOSTILE_YAML.values(), ids=HOSTILE_YAML)
def test_a_hostile_value_of_any_setting_of_a_file_is_listed_or_can_be_stored(value):
    """Infinity was accepted and stored as null, which no node could read: none that started was ever ready."""
    for kind, spec in SPEC_TYPES.items():
        for field in msgspec.structs.fields(spec):
            check_file(f"kind: {kind}\nname: a\nspec:\n  {field.encode_name}: {value}\n")
        check_file(f"kind: {kind}\nname: a\nspec: {value}\n")
    for key in ("kind", "name", "other"):
        check_file(f"{key}: {value}\n")
    check_file(value)


@pytest.mark.parametrize("value", FLAT_YAML.values(), ids=FLAT_YAML)
def test_a_hostile_value_in_place_of_each_value_of_the_examples_is_listed_or_can_be_stored(value):
    for path in FILES.values():
        lines = path.read_text().splitlines()
        for number, line in enumerate(lines):
            key, colon, old = line.partition(": ")
            if colon and old.strip() and not line.lstrip().startswith("#"):
                check_file("\n".join([*lines[:number], f"{key}: {value}", *lines[number + 1 :]]) + "\n")


@pytest.mark.parametrize("address", ODD_ADDRESSES, ids=ascii)
@pytest.mark.parametrize("kind", ["engine_pool", "service"])
def test_a_file_with_an_odd_address_is_refused_with_its_place(kind, address):
    text = msgspec.json.encode(address).decode()
    entry = f"{{name: e1, address: {text}, zone: a}}"
    fields = f"models: []\n  engines: [{entry}]" if kind == "engine_pool" else f"instances: [{entry}]"
    file, problems = parse_file(f"kind: {kind}\nname: p\nspec:\n  {fields}\n")
    assert file is None
    assert any("address" in problem.path for problem in problems) or "\0" in address


def test_aliases_of_aliases_take_neither_the_time_nor_the_memory_of_what_they_stand_for():
    """Nine aliases in each of eight lines stand for 43 million values: minutes, and the memory of the machine."""
    started_s = time.monotonic()
    check_file("a: &a [x, x]\n" + ALIASES)
    assert time.monotonic() - started_s < 2


@pytest.mark.parametrize("content", [b"\xff\xfe", b"kind: zone\nname: \xff\n"])
def test_files_that_are_not_utf_8_or_cannot_be_read_are_listed(tmp_path, content):
    (tmp_path / "a.yaml").write_bytes(content)
    (tmp_path / "b.yaml").mkdir()
    (tmp_path / "c.yaml").write_text("kind: zone\nname: c\nspec: {region: 5}\n")
    with pytest.raises(ConfigInvalidError) as refused:
        read_config_files(tmp_path)
    for name in ("a.yaml", "b.yaml", "c.yaml"):
        assert name in refused.value.detail
    with pytest.raises(SettingsError):
        load_settings(tmp_path / "a.yaml")


def settings_with(path, value):
    """Return the example's settings with a value at a dotted path."""
    document = yaml.safe_load(SETTINGS)
    *parents, last = path.split(".")
    place = document
    for key in parents:
        place = place.setdefault(key, {})
    place[last] = value
    return yaml.safe_dump(document)


def test_the_example_has_no_problem():
    parse_settings(SETTINGS, "node.yaml")


@pytest.mark.parametrize("value", HOSTILE_YAML.values(), ids=HOSTILE_YAML)
def test_a_hostile_value_anywhere_in_settings_raises_only_a_settings_error(value):
    """A date without such a day, for one, ended the start with a traceback and another exit status."""
    lines = SETTINGS.splitlines()
    texts = [value, f"{SETTINGS}\nother: {value}\n"]
    for number, line in enumerate(lines):
        key, colon, old = line.partition(": ")
        if colon and old.strip() and not line.lstrip().startswith("#"):
            texts.append("\n".join([*lines[:number], f"{key}: {value}", *lines[number + 1 :]]) + "\n")
    overrides = {"callers_listener.port": 8080, "node": "a", "log.level": "INFO"}
    for text in texts:
        for given in ({}, overrides):
            try:
                parse_settings(text, "node.yaml", given)
            except SettingsError:
                continue


@pytest.mark.parametrize("address", ODD_ADDRESSES, ids=ascii)
def test_a_seed_that_is_no_address_is_a_settings_error(address):
    with pytest.raises(SettingsError, match=r"cluster\.seeds"):
        parse_settings(settings_with("cluster.seeds", [address]), "node.yaml")


@pytest.mark.parametrize("host", ["", "localhost", "0.0.0.0", "127.1", "..", "::", "a" * 64, "224.0.0.1"])
def test_a_cluster_host_that_peers_cannot_send_to_is_a_settings_error(host):
    with pytest.raises(SettingsError, match=r"cluster_listener\.host"):
        parse_settings(settings_with("cluster_listener.host", host), "node.yaml")


@pytest.mark.parametrize("url", ODD_URLS)
@pytest.mark.parametrize("setting", ["table", "machines"])
def test_a_service_of_the_platform_at_what_is_no_url_is_a_settings_error(setting, url):
    """The process started, was never ready and logged an unexpected error each second."""
    if setting == "machines" and not url:
        return  # No machine list.
    with pytest.raises(SettingsError, match=rf"platform\.{setting}"):
        parse_settings(settings_with(f"platform.{setting}", url), "node.yaml")


@pytest.mark.parametrize("url", ["http://127.0.0.1:9000", "https://table.example/base", "http://[::1]:9"])
def test_urls_of_the_platform_may_name_hosts(url):
    assert parse_settings(settings_with("platform.table", url), "node.yaml").platform.table == url


def test_an_unknown_policy_is_a_settings_error():
    with pytest.raises(SettingsError, match="policy"):
        parse_settings(settings_with("policy", "none"), "node.yaml")
