"""Rows of another writer that no reader of the store asked for: their forms, and what a run draws of them.

Entries stand in the table of back ends under keys of their own, or over a worker's own entry; others stand beside
the operators' rows. An entry whose address is sound names a service without routes, so that nothing is sent to it
where it is accepted; every entry of a service with routes is unreadable.
"""

from __future__ import annotations

import base64
import json
import random
from collections.abc import Callable, Mapping

from wallwell.platform import names
from wallwell.soak.configuration import ENGINES, ORDERS
from wallwell.soak.schedule import RECOVERY_S, SHOWN_RECOVERED_S, FaultKind, PlannedFault, PlannedOddRow, Shape

ODD_SERVICE = "odd"
"""Service, and model, that no route and no worker has."""
SOUND_ADDRESS = "127.9.9.9:9"
"""An address that is one, where nobody listens."""
MANY_DIGITS = "7" * 5000
"""More digits than ``int`` reads."""
PORT_DIGITS = 4400
"""The same of a port."""
LONG_TEXT_CHARS = 40_000
DEEP_LEVELS = (200, 5000, 20_000)
"""Nested values: readable ones, and some beyond the depth that readers allow."""
MAX_KEY_BYTES = 200
"""Length of the longest key that the store takes."""
ROWS = (12, 24, 36)
"""Rows of a run; one of these is drawn."""
FLOOD_FRACTION = 0.5
"""Fraction of the seeds in which a row for each text that is no address is written again and again besides."""
OPERATOR_FRACTION = 0.2
"""Fraction of the rows that stand beside those of the operators."""
ODD_KEY_FRACTION = 0.4
"""Fraction of the entries whose key is odd, too."""
EARLY_FRACTION = 0.4
"""Fraction of the rows that are there before the first router starts."""
AGAIN_FRACTION = 0.4
"""Fraction of the rows that are written again and again."""
PERIOD_S = (0.3, 1.2)
"""Range of seconds between two writings of such a row."""
AGAIN_LASTS_S = (2.0, 6.0)
"""Range of seconds for which it is written."""
AROUND_KILL_S = (1.0, 4.0)
"""Seconds before and after the end of all nodes in which rows are written again and again in every run."""
LAST_BEFORE_END_S = 1.0
"""Seconds before the end of the schedule in which no row comes."""
SPOILT_ENTRIES = 2
"""Workers' own entries over which another writer writes."""
SPOILT_S = (0.3, 1.5)
"""Range of seconds until they are written again."""
CALM_SHOWN_S = 8.0
"""Length of a calm span in which a worker comes and another one leaves: each is seen, and some more."""
COMES_AFTER_S = 1.0
"""Seconds of the calm span until a worker of calls crashes, whose next incarnation comes."""
AWAY_S = 0.5
"""Seconds until it comes."""
LEAVES_AFTER_S = 2.0
"""Seconds of the calm span until an engine leaves."""

_ADDRESSES: Mapping[str, str] = {
    "no port": "127.9.9.9",
    "empty port": "127.9.9.9:",
    "blank": "127.9.9.9 :9",
    "blank before": " 127.9.9.9:9",
    "open bracket": "[127.9.9.9:9",
    "brackets": "[127.9.9.9]:9",
    "URL": "http://127.9.9.9:9/",
    "path": "127.9.9.9:9/read",
    "name for a port": "127.9.9.9:http",
    "IPv6": "[::1]:9",
    "IPv6 without brackets": "::1:9",
    "zone id": "[fe80::1%réseau]:9",
    "short IPv4": "127.1:9",
    "empty label": "..:9",
    "empty label inside": "127..9.9:9",
    "long label": "a" * 64 + ":9",
    "unknown name": "host7.invalid:9",
    "negative port": "127.9.9.9:-1",
    "port 0": "127.9.9.9:0",
    "port 99999": "127.9.9.9:99999",
    "port of many digits": "127.9.9.9:" + "7" * PORT_DIGITS,
    "port of other digits": "127.9.9.9:٣",
    "superscript port": "127.9.9.9:²",
    "control bytes": "127.9.9.9\x00\x1b:9",
    "line end": "127.9.9.9:9\n",
    "empty address": "",
    "colon": ":",
    "long address": "a" * LONG_TEXT_CHARS + ":9",
}
"""Texts that are no address."""
_NUMBERS = (
    "0",
    "-1",
    "0.5",
    "2147483648",
    "9223372036854775807",
    "9223372036854775808",
    "18446744073709551616",
    "-9223372036854775809",
    "1e308",
    "-1e308",
    "1e400",
    "-1e400",
    "1e-400",
    "NaN",
    "Infinity",
    MANY_DIGITS,
    "-" + MANY_DIGITS,
    "0." + MANY_DIGITS,
    "1e" + MANY_DIGITS,
)
"""Numbers as they stand in JSON, and some that JSON does not have."""
_OTHER_TYPES = ("null", "true", "[]", "{}", "[[]]", '""', '"7"', '{"a":[1]}', "7", "[null]")
_STATES = ("", "READY", "gone", "ready ", "x" * 1000, "\x00")
_KEYS = (
    "",
    " ",
    "\n",
    "\x00",
    "\x1b[31m",
    "../../config",
    "%2e%2f&after=1#",
    '{"a": 1}',
    "engine-0.1 ",
    "config",
    "version/m",
    "é",
    "\u202e",
    "🤖",
    "a\tb\r\nevent: 1006",
)
"""Beginnings of odd keys."""
_OPERATOR_KEYS = (
    "version/x",
    "rollout/x",
    "version/",
    "rollout/",
    "rollout/odd",
    "config2",
    "x",
    "Version/m",
    "\x00",
)
"""Keys of operators' rows that are not those of a run's own."""
_TEXT_FIELDS = ("service", "addr", "zone", "version", "state")
_NUMBER_FIELDS = ("slots", "seq", "born", "cold_left_ms")
_NUMBER = "@"
"""Stands in a text of JSON for the number that is put there."""


def _entry(**changes: object) -> dict[str, object]:
    """Return an entry that can be read, of a service without routes, but for ``changes``."""
    entry: dict[str, object] = {
        "service": ODD_SERVICE,
        "addr": SOUND_ADDRESS,
        "zone": "z0",
        "version": "v1",
        "slots": 4,
        "state": "ready",
        "models": [{"name": ODD_SERVICE, "version": 1}],
        "seq": 1,
        "born": 1,
        "cold_left_ms": 0,
    }
    return {**entry, **changes}


def _text(value: object) -> bytes:
    return json.dumps(value).encode()


def _with_number(value: object, number: str) -> bytes:
    """Return JSON with a number, which Python may not be able to write, in the place of the sign for it."""
    return json.dumps(value).replace(f'"{_NUMBER}"', number).encode()


def _routed(generator: random.Random) -> str:
    return generator.choice((ENGINES, ORDERS))


# --- forms: each returns the value of a row as it stands on the wire ---------------------------------------


def _on_wire(value: bytes) -> str:
    return base64.b64encode(value).decode()


def _spoilt_address(generator: random.Random) -> tuple[str, str]:
    name = generator.choice(sorted(_ADDRESSES))
    return f"address: {name}", _on_wire(_text(_entry(service=_routed(generator), addr=_ADDRESSES[name])))


def _odd_number(generator: random.Random) -> tuple[str, str]:
    number = generator.choice(_NUMBERS)
    field = generator.choice((*_NUMBER_FIELDS, "models"))
    odd: object = [{"name": ODD_SERVICE, "version": _NUMBER}] if field == "models" else _NUMBER
    return f"number: {field} {number[:12]}", _on_wire(_with_number(_entry(**{field: odd}), number))


def _other_type(generator: random.Random) -> tuple[str, str]:
    field = generator.choice((*_TEXT_FIELDS, *_NUMBER_FIELDS, "models"))
    odd = generator.choice(_OTHER_TYPES)
    return f"type: {field} {odd}", _on_wire(_with_number(_entry(**{field: _NUMBER}), odd))


def _missing_field(generator: random.Random) -> tuple[str, str]:
    entry = _entry()
    field = generator.choice(sorted(entry))
    del entry[field]
    return f"missing: {field}", _on_wire(_text(entry))


def _unknown_state(generator: random.Random) -> tuple[str, str]:
    return "state", _on_wire(_text(_entry(service=_routed(generator), state=generator.choice(_STATES))))


def _deep(generator: random.Random) -> tuple[str, str]:
    levels = generator.choice(DEEP_LEVELS)
    nested = "[" * levels + "]" * levels
    field = generator.choice(("models", "more"))
    return f"nested: {field} {levels}", _on_wire(_with_number(_entry(**{field: _NUMBER}), nested))


def _not_an_object(generator: random.Random) -> tuple[str, str]:
    text = generator.choice(("{", "[]", "7", "null", '"x"', "{}{}", MANY_DIGITS, "1e400", "[" * 50_000, " "))
    return f"JSON: {text[:12]}", _on_wire(text.encode())


def _odd_bytes(generator: random.Random) -> tuple[str, str]:
    sound = json.dumps(_entry())
    forms = {
        "empty": b"",
        "no UTF-8": b"\xff\xfe\x80",
        "no UTF-8 in a text": sound.replace("z0", "z\xe9").encode("latin-1"),
        "half of a pair": sound.replace("z0", "\\ud800").encode(),
        "UTF-16": sound.encode("utf-16"),
        "NUL": b"\x00" * 16,
        "long text": b"x" * LONG_TEXT_CHARS,
        "cut off": sound[:-9].encode(),
    }
    name = generator.choice(sorted(forms))
    return f"bytes: {name}", _on_wire(forms[name])


def _not_on_wire(generator: random.Random) -> tuple[str, str]:
    value = generator.choice(("{", "!!!!", "abc", "é", "e30=\n=", "\x00", "=" * 40))
    return f"no base64: {value[:12]!r}", value


def _long_field(generator: random.Random) -> tuple[str, str]:
    field = generator.choice(("zone", "version", "more"))
    return f"long: {field}", _on_wire(_text(_entry(**{field: "x" * LONG_TEXT_CHARS})))


Form = Callable[[random.Random], tuple[str, str]]
UNREADABLE: tuple[Form, ...] = (_spoilt_address, _spoilt_address, _unknown_state, _not_an_object, _not_on_wire)
"""Forms that name no back end, whoever reads them."""
ENTRIES: Mapping[Form, float] = {
    _spoilt_address: 8.0,
    _odd_number: 3.0,
    _other_type: 2.0,
    _missing_field: 1.0,
    _unknown_state: 1.0,
    _deep: 1.0,
    _not_an_object: 1.0,
    _odd_bytes: 2.0,
    _not_on_wire: 1.0,
    _long_field: 1.0,
}
"""Weights of the forms of entries."""


def _operators_value(generator: random.Random, key: str) -> tuple[str, str]:
    """Return a row beside the operators' own; where it can be read, it concerns nothing that a run has."""
    if generator.random() < 0.5:
        return generator.choice((_not_an_object, _odd_bytes, _not_on_wire))(generator)
    number = generator.choice(_NUMBERS)
    row: dict[str, object] = {"model": ODD_SERVICE, "version": _NUMBER}
    if key.startswith(names.ROLLOUT_KEY_PREFIX):
        service = key.removeprefix(names.ROLLOUT_KEY_PREFIX)
        row = {"service": service, "target_version": ODD_SERVICE, "duration_s": _NUMBER}
    return f"number: {number[:12]}", _on_wire(_with_number(row, number))


def draw_own_entry(generator: random.Random) -> str:
    """Return what another writer leaves over a worker's own entry, as it stands on the wire: no back end."""
    _, value = generator.choice(UNREADABLE)(generator)
    return value


# --- what a run draws --------------------------------------------------------------------------------------


def draw_rows(generator: random.Random, shape: Shape) -> list[PlannedOddRow]:
    """Return the rows of a run by their times: some before its routers start, one while all of them start again."""
    kill_at_s = shape.seconds - RECOVERY_S - SHOWN_RECOVERED_S
    early_s, late_s = AROUND_KILL_S
    rows = [
        _draw_entry(generator, 0, 0.0, generator.uniform(*AGAIN_LASTS_S)),
        _draw_entry(generator, 1, kill_at_s - early_s, early_s + late_s),
    ]
    for number in range(len(rows), generator.choice(ROWS)):
        at_s = generator.uniform(0.0, shape.length_s - LAST_BEFORE_END_S)
        if generator.random() < EARLY_FRACTION:
            at_s = 0.0
        lasts_s = generator.uniform(*AGAIN_LASTS_S) if generator.random() < AGAIN_FRACTION else 0.0
        draw = _draw_operators_row if generator.random() < OPERATOR_FRACTION else _draw_entry
        rows.append(draw(generator, number, at_s, lasts_s))
    if generator.random() < FLOOD_FRACTION:
        at_s, lasts_s = generator.choice(((0.0, AGAIN_LASTS_S[0]), (kill_at_s - early_s, early_s + late_s)))
        rows += [_draw_address(generator, name, at_s, lasts_s) for name in _ADDRESSES]
    return sorted(rows, key=lambda row: row.at_s)


def _draw_address(generator: random.Random, name: str, at_s: float, lasts_s: float) -> PlannedOddRow:
    value = _on_wire(_text(_entry(service=_routed(generator), addr=_ADDRESSES[name])))
    return _planned(generator, names.BACKENDS_TABLE, f"odd {name}", f"address: {name}", value, at_s, lasts_s)


def _draw_entry(generator: random.Random, number: int, at_s: float, lasts_s: float) -> PlannedOddRow:
    form, value = generator.choices(list(ENTRIES), list(ENTRIES.values()))[0](generator)
    key = f"odd-{number}"
    if generator.random() < ODD_KEY_FRACTION:
        key = _draw_key(generator, number)
    return _planned(generator, names.BACKENDS_TABLE, key, form, value, at_s, lasts_s)


def _draw_key(generator: random.Random, number: int) -> str:
    """Return a key that no other row of the run has; some are as long as keys may be."""
    key = f"{generator.choice(_KEYS)}{number}"
    return key if generator.random() < 0.7 else key + "k" * (MAX_KEY_BYTES - len(key.encode()))


def _draw_operators_row(generator: random.Random, _number: int, at_s: float, lasts_s: float) -> PlannedOddRow:
    key = generator.choice(_OPERATOR_KEYS)
    form, value = _operators_value(generator, key)
    return _planned(generator, names.OPERATOR_TABLE, key, form, value, at_s, lasts_s)


def _planned(
    generator: random.Random, table: str, key: str, form: str, value: str, at_s: float, lasts_s: float
) -> PlannedOddRow:
    period_s = round(generator.uniform(*PERIOD_S), 2)
    return PlannedOddRow(round(at_s, 2), round(lasts_s, 2), period_s, table, key, form, value)


def draw_faults(generator: random.Random, shape: Shape) -> list[PlannedFault]:
    """Return times in which workers' own entries are spoilt, and, in a long calm span, a crash and a leave."""
    latest_s = shape.seconds - RECOVERY_S - SHOWN_RECOVERED_S - SPOILT_S[1]
    targets = generator.sample(shape.worker_names(), k=min(SPOILT_ENTRIES, len(shape.worker_names())))
    faults = [
        PlannedFault(
            round(generator.uniform(0.5, latest_s), 2),
            round(generator.uniform(*SPOILT_S), 2),
            FaultKind.SPOIL_ENTRY,
            target,
        )
        for target in targets
    ]
    if shape.calm_s < CALM_SHOWN_S or not shape.engines or not shape.instances:
        return faults
    leaving = generator.choice(shape.worker_names()[: shape.engines])
    coming = generator.choice(
        shape.worker_names()[shape.engines :]
    )  # Weights that are named do not change its part.
    comes = PlannedFault(shape.seconds + COMES_AFTER_S, AWAY_S, FaultKind.CRASH_WORKER, coming)
    leaves = PlannedFault(shape.seconds + LEAVES_AFTER_S, 0.0, FaultKind.DRAIN_WORKER, leaving)
    return [*faults, comes, leaves]
