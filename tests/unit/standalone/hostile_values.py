"""Values that another writer may put in any field, and documents with one of them at each place in turn.

Places are found from the decoded form of a sound document, so that a field added later is covered.
"""

from __future__ import annotations

import json
from collections.abc import Iterator
from typing import Any

import msgspec

from wallwell.standalone.backends.engine_protocol import pack_hashes

LONG_DIGITS = "9" * 5000
"""More digits than Python's `int` reads from text."""
DEEP = "[" * 5000 + "]" * 5000
"""Nested more deeply than Python's recursion limit allows."""
HOSTILE_JSON = (
    LONG_DIGITS,
    f"-{LONG_DIGITS}",
    "9" * 4000,
    "9223372036854775807",
    "4611686018427387905",
    "-1",
    "0",
    "7",
    "1.5",
    "1e308",
    "-1e308",
    "1e999",
    "NaN",
    "Infinity",
    "null",
    "true",
    "{}",
    "[]",
    "[[]]",
    "[null]",
    DEEP,
    '""',
    '"\\ud800"',
    '"\\u0000"',
    '"\\u0661"',
    f'"{LONG_DIGITS}"',
    f'"{"f" * 5000}"',
    '"-1"',
    '"AAA"',
    '"é"',
    '"host7.invalid:9"',
    '"..:9"',
    f'"{"a" * 64}.example:9"',
    f'"127.0.0.1:{LONG_DIGITS}"',
    '"127.0.0.1:99999"',
    '"127.0.0.1:-1"',
    '"127.0.0.1:http"',
    '"127.0.0.1"',
    '"127.1:9"',
    '"::1:9"',
    '"[::1]:9"',
    '"999.999.999.999:9"',
    '"127.0.0.1:9\\n"',
    '"http://127.0.0.1:9/"',
    "not json",
    "",
)
"""Texts that may stand where a JSON value does; some are no JSON."""
BAD_UTF8 = b'"\xff"'
ODD_ADDRESSES = (
    "",
    "127.0.0.1",
    "127.0.0.1:",
    "127.0.0.1:0",
    "127.0.0.1:-1",
    "127.0.0.1:99999",
    "127.0.0.1:http",
    f"127.0.0.1:{LONG_DIGITS}",
    "127.1:9",
    "999.999.999.999:99999",
    "0.0.0.0:9",
    "::1:9",
    "host7.invalid:9",
    "..:9",
    f"{'a' * 64}:9",
    "127.0.0.1\0:9",
    "127.0.0.1:9\n",
    "١٢٧.0.0.1:9",
)
_PLACEHOLDER = "a-placeholder-of-the-test"


def sample(of: Any, strings: dict[str, str] | None = None) -> Any:
    """Return a sound value of a type; ``strings`` gives texts by field name, where not just any text will do."""
    return _sample(msgspec.inspect.type_info(of), strings or {}, "")


def _sample(of: msgspec.inspect.Type, strings: dict[str, str], name: str) -> Any:
    match of:
        case msgspec.inspect.StructType(cls=cls, fields=fields):
            return cls(**{each.name: _sample(each.type, strings, each.name) for each in fields})
        case msgspec.inspect.VarTupleType(item_type=item):
            return (_sample(item, strings, name),)
        case msgspec.inspect.ListType(item_type=item):
            return [_sample(item, strings, name)]
        case msgspec.inspect.TupleType(item_types=items):
            return tuple(_sample(item, strings, name) for item in items)
        case msgspec.inspect.DictType():
            return {"a": "b"}
        case msgspec.inspect.UnionType(types=types):
            return _sample(types[0], strings, name)
        case msgspec.inspect.EnumType(cls=cls):
            return next(iter(cls))
        case msgspec.inspect.IntType():
            return 1
        case msgspec.inspect.FloatType():
            return 1.0
        case msgspec.inspect.BoolType():
            return True
        case msgspec.inspect.StrType():
            return strings.get(name, "127.0.0.1:9")
    raise AssertionError(f"no sample of {of}")


PACKED = pack_hashes([1, 2])


def hostile_documents(sound: Any) -> Iterator[bytes]:
    """Yield the JSON of a sound value with each hostile value at each place, and with one more field at the end."""
    plain = json.loads(msgspec.json.encode(sound))
    for document in _with_placeholder(plain):
        text = json.dumps(document)
        for hostile in HOSTILE_JSON:
            yield text.replace(f'"{_PLACEHOLDER}"', hostile).encode(errors="surrogatepass")
        yield text.encode().replace(f'"{_PLACEHOLDER}"'.encode(), BAD_UTF8)


def _with_placeholder(plain: Any) -> Iterator[Any]:
    yield _PLACEHOLDER
    if isinstance(plain, dict):
        yield {**plain, "unknown": _PLACEHOLDER}
        for key, value in plain.items():
            yield from ({**plain, key: each} for each in _with_placeholder(value))
    elif isinstance(plain, list):
        yield [*plain, _PLACEHOLDER]
        for index, value in enumerate(plain):
            yield from ([*plain[:index], each, *plain[index + 1 :]] for each in _with_placeholder(value))
