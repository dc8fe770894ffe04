"""Conversion of untyped documents to typed structs with every problem listed.

``msgspec.convert`` stops at the first problem. Operators and settings files want all of them at once, so
:func:`convert_all` walks struct fields itself and hands single values to msgspec. Owns the codes of problems; knows
no particular document.
"""

from __future__ import annotations

import math
import typing
from dataclasses import dataclass
from pathlib import Path as FilePath
from typing import Any, TypeVar, cast

import msgspec
import yaml

from wallwell.errors import DocumentSyntaxError, WallwellError

T = TypeVar("T")
Path = tuple[str | int, ...]


@dataclass(frozen=True)
class Problem:
    """One thing wrong in a document."""

    code: str
    path: str
    line: int
    message: str

    def __str__(self) -> str:
        return f"{self.path} (line {self.line}): {self.code} {self.message}"


UNKNOWN_KEY = "unknown_key"
MISSING_KEY = "missing_key"
WRONG_TYPE = "wrong_type"
SYNTAX = "syntax"
REFERENCE = "unknown_reference"
DUPLICATE = "duplicate"
OUT_OF_RANGE = "out_of_range"


def load_yaml(text: str) -> tuple[Any, dict[Path, int]]:
    """Parse one YAML document. Returns the plain value and the line (from 1) of every path.

    Raises :class:`DocumentSyntaxError`.
    """
    loader: yaml.CSafeLoader | None = None
    try:
        loader = yaml.CSafeLoader(text)
        node = loader.get_single_node()
        value = loader.construct_document(node) if node is not None else None
        lines: dict[Path, int] = {}
        if node is not None:
            _collect_lines(node, (), lines, set())
    except Exception as error:
        # For a value that its tag or form does not allow (a date without such a day, a number of thousands of
        # digits) PyYAML raises whatever Python raises: ValueError, LookupError, AttributeError and others; for one
        # that is nested too deeply, RecursionError.
        raise DocumentSyntaxError(" ".join(str(error).split()) or type(error).__name__) from error
    finally:
        if loader is not None:
            loader.dispose()
    return value, lines


def _collect_lines(node: yaml.Node, path: Path, lines: dict[Path, int], visited: set[int]) -> None:
    """Note the line of each path below ``node``. What an alias repeats is noted at its first place alone: it may
    contain itself, or by aliases of aliases stand at any number of places."""
    lines[path] = node.start_mark.line + 1
    if id(node) in visited:
        return
    visited.add(id(node))
    if isinstance(node, yaml.MappingNode):
        for key, child in node.value:
            _collect_lines(child, (*path, key.value), lines, visited)
            lines[(*path, key.value)] = key.start_mark.line + 1
    elif isinstance(node, yaml.SequenceNode):
        for index, child in enumerate(node.value):
            _collect_lines(child, (*path, index), lines, visited)


def load_document(path: FilePath, target: type[T], error_type: type[WallwellError]) -> T:
    """Read and check a YAML file. Raises ``error_type`` with every problem, each with path and line."""
    try:
        value, lines = load_yaml(path.read_text(encoding="utf-8"))
    except (OSError, UnicodeDecodeError, DocumentSyntaxError) as error:
        raise error_type(f"{path}: {error}") from error
    problems = ProblemList(lines)
    document = convert_all(value, target, problems)
    if document is None:
        raise error_type("\n".join(f"{path}: {problem}" for problem in problems.problems))
    return document


class ProblemList:
    """Collects problems of one document."""

    def __init__(self, lines: dict[Path, int] | None = None) -> None:
        self.problems: list[Problem] = []
        self._lines = lines or {}

    def add(self, code: str, path: Path, message: str) -> None:
        """Record a problem at ``path``."""
        self.problems.append(Problem(code, format_path(path), self._line_of(path), message))

    def _line_of(self, path: Path) -> int:
        while path and path not in self._lines:
            path = path[:-1]
        return self._lines.get(path, 1)


def format_path(path: Path) -> str:
    """Return ``spec.engines[0].zone`` for ``("spec", "engines", 0, "zone")``."""
    text = ""
    for part in path:
        text += f"[{part}]" if isinstance(part, int) else f".{part}"
    return text.lstrip(".") or "(document)"


def convert_all(value: Any, target: type[T], problems: ProblemList, path: Path = ()) -> T | None:
    """Convert ``value`` to ``target``; returns None and adds to ``problems`` if anything is wrong."""
    if _is_struct(target):
        return cast("T | None", _convert_struct(value, target, problems, path))
    origin = typing.get_origin(target)
    if origin in (tuple, list) and _is_struct(typing.get_args(target)[0]):
        return cast("T | None", _convert_sequence(value, target, problems, path))
    try:
        converted = msgspec.convert(value, target)
    except (msgspec.ValidationError, RecursionError) as error:
        problems.add(WRONG_TYPE, path, str(error))
        return None
    if isinstance(converted, float) and not math.isfinite(converted):
        # YAML has infinity and NaN; JSON, in which values are stored and passed on, has neither.
        problems.add(OUT_OF_RANGE, path, "must be a finite number")
        return None
    return converted


def _is_struct(target: Any) -> bool:
    return isinstance(target, type) and issubclass(target, msgspec.Struct)


def _convert_sequence(value: Any, target: Any, problems: ProblemList, path: Path) -> Any:
    if not isinstance(value, list):
        problems.add(WRONG_TYPE, path, f"Expected `array`, got `{type(value).__name__}`")
        return None
    item_type = typing.get_args(target)[0]
    items = [convert_all(item, item_type, problems, (*path, index)) for index, item in enumerate(value)]
    return None if any(item is None for item in items) else typing.get_origin(target)(items)


def _convert_struct(value: Any, target: Any, problems: ProblemList, path: Path) -> Any:
    if not isinstance(value, dict):
        problems.add(WRONG_TYPE, path, f"Expected `object`, got `{type(value).__name__}`")
        return None
    before = len(problems.problems)
    hints = typing.get_type_hints(target, include_extras=True)
    known = {field.encode_name: field for field in msgspec.structs.fields(target)}
    for key in value:
        if key not in known:
            problems.add(UNKNOWN_KEY, (*path, str(key)), f"unknown key; known are {', '.join(sorted(known))}")
    arguments: dict[str, Any] = {}
    for key, field in known.items():
        if key not in value:
            if field.required:
                problems.add(MISSING_KEY, path, f"`{key}` is required")
            continue
        arguments[field.name] = convert_all(value[key], hints[field.name], problems, (*path, key))
    if len(problems.problems) > before:
        return None
    return target(**arguments)
