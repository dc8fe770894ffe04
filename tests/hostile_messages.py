"""Messages with one hostile value each, drawn from the types of their fields, so that later fields are covered."""

from __future__ import annotations

import random
from collections.abc import Iterator
from typing import Any

import msgspec

HOSTILE_JSON: dict[str, bytes] = {
    "-1": b"-1",
    "0": b"0",
    "2**53 + 1": b"%d" % (2**53 + 1),
    "2**63 - 1": b"%d" % (2**63 - 1),
    "-2**63": b"%d" % -(2**63),
    "2**64": b"%d" % 2**64,
    "400 digits": b"1" * 400,
    "minus 400 digits": b"-" + b"1" * 400,
    "4,400 digits": b"1" * 4400,
    "1e400": b"1e400",
    "-1e400": b"-1e400",
    "1e308": b"1e308",
    "-1e308": b"-1e308",
    "5e-324": b"5e-324",
    "NaN": b"NaN",
    "null": b"null",
    "true": b"true",
    "empty text": b'""',
    "one surrogate": b'"\\ud800"',
    "not UTF-8": b'"\xff"',
    "line break": b'"\\r\\nX: 1"',
    "NUL": b'"\\u0000"',
    "100,000 characters": b'"' + b"x" * 100_000 + b'"',
    "empty list": b"[]",
    "empty object": b"{}",
    "object of text": b'{"":""}',
    "list of numbers": b"[1,2,3,4,5,6,7,8,9]",
    "nested 20,000 deep": b"[" * 20_000 + b"]" * 20_000,
}
"""JSON texts of values that a writer of another version, or a broken one, may send in place of any field's."""

_MARK = "@hostile@"
_SAMPLE_DIGEST = "0123456789abcdef" * 2


def sound_value(message_type: Any) -> Any:
    """Return builtin values of a sound message in which every field, also one with a default, is present."""
    return _sample(msgspec.inspect.type_info(message_type))


def hostile_messages(message_type: Any, sound: Any = None) -> Iterator[tuple[str, bytes]]:
    """Yield a name and the JSON of each message with one hostile value in it, and of some that are no message."""
    sound = sound_value(message_type) if sound is None else sound
    for path, marked in _marked(sound, ""):
        template = msgspec.json.encode(marked)
        for name, hostile in HOSTILE_JSON.items():
            yield f"{path}: {name}", template.replace(b'"%s"' % _MARK.encode(), hostile)
    encoded = msgspec.json.encode(sound)
    yield "empty", b""
    yield "cut off", encoded[: len(encoded) // 2]
    yield "UTF-16", encoded.decode().encode("utf-16")
    yield (
        "unknown field nested deeply",
        encoded[:-1] + b',"later":' + HOSTILE_JSON["nested 20,000 deep"] + encoded[-1:],
    )


def drawn_bytes(message_type: Any, count: int, seed: int, value: Any = None) -> Iterator[tuple[str, bytes]]:
    """Yield sound messages of which a few bytes were replaced, removed or repeated at random."""
    rng = random.Random(seed)
    sound = msgspec.json.encode(sound_value(message_type) if value is None else value)
    for index in range(count):
        data = bytearray(sound)
        for _ in range(rng.randint(1, 4)):
            at = rng.randrange(len(data))
            kind = rng.randrange(3)
            if kind == 0:
                data[at] = rng.randrange(256)
            elif kind == 1:
                del data[at]
            else:
                data[at:at] = data[at : at + rng.randint(1, 9)]
        yield f"seed {seed}, number {index}", bytes(data).replace(b"\n", b" ")


def _sample(kind: Any) -> Any:
    match kind:
        case msgspec.inspect.StructType():
            return _sample_struct(kind)
        case msgspec.inspect.UnionType():
            wanted = [each for each in kind.types if not isinstance(each, msgspec.inspect.NoneType)]
            return _sample(wanted[0])
        case msgspec.inspect.DictType():
            key = "1" if isinstance(kind.key_type, msgspec.inspect.IntType) else "k"
            return {key: _sample(kind.value_type)}
        case msgspec.inspect.VarTupleType() | msgspec.inspect.ListType():
            return [_sample(kind.item_type)]
        case msgspec.inspect.TupleType():
            return [_sample(each) for each in kind.item_types]
        case msgspec.inspect.BoolType():
            return False
        case msgspec.inspect.IntType() | msgspec.inspect.FloatType():
            return 1
        case msgspec.inspect.BytesType():
            return "YQ=="
        case msgspec.inspect.StrType():
            return _SAMPLE_DIGEST if kind.pattern else "a"
        case msgspec.inspect.EnumType():
            return next(iter(kind.cls)).value
    raise TypeError(f"no sample of {kind}")


def _sample_struct(kind: msgspec.inspect.StructType) -> Any:
    if kind.array_like:
        return [_sample(each.type) for each in kind.fields]
    tag = {} if kind.tag_field is None else {kind.tag_field: kind.tag}
    return tag | {each.encode_name: _sample(each.type) for each in kind.fields}


def _marked(value: Any, path: str) -> Iterator[tuple[str, Any]]:
    """Yield a copy of a value for each place in it, with the mark there."""
    yield path or "all", _MARK
    if isinstance(value, dict):
        for name, part in value.items():
            yield from ((where, value | {name: marked}) for where, marked in _marked(part, f"{path}.{name}"))
            yield f"{path}.{name} twice", value | {f"{name} ": _MARK}
    elif isinstance(value, list):
        for index, part in enumerate(value):
            for where, marked in _marked(part, f"{path}[{index}]"):
                yield where, [*value[:index], marked, *value[index + 1 :]]
