"""Hostile values for all that others write: drawn from a type's own fields, so that a later field is covered.

``sound_document`` builds a valid JSON document of a type, ``hostile_documents`` the same document with one field
after the other replaced by each of ``HOSTILE_FRAGMENTS``, and ``HOSTILE_BYTES`` are values that are no document at
all. All are plain data in a fixed order; ``some_hostile_documents`` draws some of them with a seed.
"""

from __future__ import annotations

import random
from collections.abc import Iterator, Mapping
from typing import Any

import msgspec
from msgspec import inspect

MANY_DIGITS = 4400
"""More digits than Python converts to a number (4300)."""
DEEP = 5000
"""Levels of nesting, more than Python's recursion limit (1000)."""

HOSTILE_FRAGMENTS: dict[str, bytes] = {
    "null": b"null",
    "true": b"true",
    "empty text": b'""',
    "word": b'"odd"',
    "empty list": b"[]",
    "empty object": b"{}",
    "list of null": b"[null]",
    "object in a list": b'[{"":[]}]',
    "zero": b"0",
    "minus zero": b"-0",
    "minus one": b"-1",
    "fraction": b"1.5",
    "whole float": b"1e3",
    "2^31": b"2147483648",
    "2^53": b"9007199254740992",
    "2^63": b"9223372036854775808",
    "2^64": b"18446744073709551616",
    "minus 2^63 - 1": b"-9223372036854775809",
    "400 digits": b"9" * 400,
    "minus 400 digits": b"-" + b"9" * 400,
    "4300 digits": b"9" * 4300,
    "4400 digits": b"9" * MANY_DIGITS,
    "largest float": b"1.7e308",
    "smallest float": b"5e-324",
    "minus largest float": b"-1.7e308",
    "beyond floats": b"1e400",
    "not a number": b"NaN",
    "infinity": b"Infinity",
    "text of 4400 digits": b'"' + b"1" * MANY_DIGITS + b'"',
    "text of other digits": '"\u0663\u00b2"'.encode(),
    "text with a line break": b'"a\\r\\nX-Odd: 1"',
    "text with a zero byte": b'"a\\u0000b"',
    "text with blanks": b'"  a "',
    "text with a terminal's escape": b'"\\u001b[2J"',
    "text that is written backwards": '"\u202eab"'.encode(),
    "lone surrogate": b'"\\ud800"',
    "wrong pair of surrogates": b'"\\ud800\\u0041"',
    "text that is not UTF-8": b'"\xff\xfe"',
    "long text": b'"' + b"x" * 70_000 + b'"',
    "deep lists": b"[" * DEEP + b"]" * DEEP,
    "deep objects": b'{"a":' * DEEP + b"1" + b"}" * DEEP,
    "address with a port of 4400 digits": b'"10.0.0.1:' + b"9" * MANY_DIGITS + b'"',
    "address without a port": b'"10.0.0.1"',
    "address with an empty label": b'"..:9"',
    "address with a long label": b'"' + b"a" * 64 + b':9"',
    "address with a zone": '"[fe80::1%réseau]:9"'.encode(),
    "address with a line break": b'"10.0.0.1:80\\r\\n"',
}
"""JSON texts by a short name; some are not valid JSON."""

HOSTILE_BYTES: dict[str, bytes] = {
    "nothing": b"",
    "blanks": b" \n",
    "zero byte": b"\x00",
    "not UTF-8": b"\xff\xfe",
    "not JSON": b"{",
    "trailing comma": b'{"a":1,}',
    "two documents": b"{}{}",
    "UTF-16": '{"service":"svc"}'.encode("utf-16"),
    "UTF-32": '{"service":"svc"}'.encode("utf-32"),
    "UTF-8 with a byte order mark": b"\xef\xbb\xbf{}",
    "unknown field that is deep": b'{"unknown":' + b"[" * DEEP + b"]" * DEEP + b"}",
    "unknown field that is no number": b'{"unknown":' + b"9" * MANY_DIGITS + b"}",
    "field name that is no text": b'{"\xff":1}',
    **{f"whole value: {name}": fragment for name, fragment in HOSTILE_FRAGMENTS.items()},
}
"""Values that are no document of any type, by a short name."""

HOSTILE_KEYS: dict[str, str] = {
    "empty": "",
    "blank": " ",
    "blank at the end": "a ",
    "line break": "a\r\nX-Odd: 1",
    "line feed": "a\nb",
    "zero byte": "a\x00b",
    "escape": "\x1b[2J",
    "control character of Latin-1": "a\x85b",
    "line separator": "a\u2028b",
    "written backwards": "\u202eab",
    "long": "k" * 201,
}
"""Keys of rows that cannot name a back end, by a short name."""

Path = tuple[str | int, ...]


def sound_document(value_type: Any, fixed: Mapping[str, Any] | None = None) -> Any:
    """Return a valid document of a type with all of its fields; ``fixed`` has the values of fields by name.

    Raises TypeError for a type that this module does not know, so that no new kind of field is left out."""
    return _sound(inspect.type_info(value_type), fixed or {})


def hostile_documents(value_type: Any, fixed: Mapping[str, Any] | None = None) -> Iterator[tuple[str, bytes]]:
    """Yield documents of a type, each with one hostile field, and a description of each."""
    document = sound_document(value_type, fixed)
    for path in _paths(document):
        for name, fragment in HOSTILE_FRAGMENTS.items():
            changed = _replaced(document, path, msgspec.Raw(fragment))
            yield f"{'.'.join(map(str, path))}: {name}", msgspec.json.encode(changed)


def all_hostile_values(value_type: Any, fixed: Mapping[str, Any] | None = None) -> Iterator[tuple[str, bytes]]:
    """Yield the hostile documents of a type and all values that are no document."""
    yield from hostile_documents(value_type, fixed)
    yield from HOSTILE_BYTES.items()


def some_hostile_documents(
    value_type: Any, count: int, seed: int, fixed: Mapping[str, Any] | None = None
) -> list[tuple[str, bytes]]:
    """Return ``count`` of the hostile values of a type, drawn with a seed."""
    return random.Random(seed).sample(list(all_hostile_values(value_type, fixed)), count)


def _sound(info: inspect.Type, fixed: Mapping[str, Any]) -> Any:
    if isinstance(info, inspect.StructType):
        values = {
            field.encode_name: fixed[field.name] if field.name in fixed else _sound(field.type, fixed)
            for field in info.fields
        }
        tagged = {} if info.tag_field is None else {info.tag_field: info.tag}
        return list(values.values()) if info.array_like else {**tagged, **values}
    if isinstance(info, inspect.UnionType):
        kinds = [each for each in info.types if not isinstance(each, inspect.NoneType)]
        return _sound(kinds[0], fixed)
    if isinstance(info, inspect.VarTupleType | inspect.ListType | inspect.SetType | inspect.FrozenSetType):
        return [_sound(info.item_type, fixed)]
    if isinstance(info, inspect.TupleType):
        return [_sound(each, fixed) for each in info.item_types]
    if isinstance(info, inspect.DictType):
        return {str(_sound(info.key_type, fixed)): _sound(info.value_type, fixed)}
    return _sound_scalar(info)


def _sound_scalar(info: inspect.Type) -> Any:
    if isinstance(info, inspect.EnumType):
        return next(iter(info.cls)).value
    if isinstance(info, inspect.LiteralType):
        return info.values[0]
    for kind, value in ((inspect.BoolType, True), (inspect.IntType, 1), (inspect.FloatType, 1.0)):
        if isinstance(info, kind):
            return value
    if isinstance(info, inspect.StrType):
        return "svc"
    if isinstance(info, inspect.BytesType):
        return ""
    if isinstance(info, inspect.AnyType | inspect.RawType):
        return {}
    raise TypeError(f"no sound value is known for {info}")


def _paths(document: Any, path: Path = ()) -> Iterator[Path]:
    """Yield the path of each value below a document."""
    entries: Any = ()
    if isinstance(document, dict):
        entries = document.items()
    elif isinstance(document, list):
        entries = enumerate(document)
    for key, value in entries:
        yield (*path, key)
        yield from _paths(value, (*path, key))


def _replaced(document: Any, path: Path, value: Any) -> Any:
    """Return a copy of a document with another value at a path."""
    if not path:
        return value
    copy = dict(document) if isinstance(document, dict) else list(document)
    copy[path[0]] = _replaced(copy[path[0]], path[1:], value)
    return copy
