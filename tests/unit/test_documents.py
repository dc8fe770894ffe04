"""The documents name what exists: each path and each name in back-quotes, and each link between them."""

from __future__ import annotations

import re
from functools import cache
from pathlib import Path

import pytest

ROOT = Path(__file__).parents[2]
PAGES = sorted([*(ROOT / "docs").rglob("*.md"), ROOT / "README.md", ROOT / "CONTRIBUTING.md"])
TREE = ("src", "tests", "tools", "examples", "deploy", ".ci")
ROOTS = ("", "src/", "src/wallwell/", "tests/", "docs/", "docs/design/")
"""Where a path on a page may begin."""
PATH = re.compile(r"[\w.*-]+(/[\w.*-]+)*(/|\.(py|toml|yaml|md|txt|lock))")
NAME = re.compile(r"[A-Za-z_][A-Za-z0-9]*(_[A-Za-z0-9]+)+(\.[A-Za-z_]\w*)*|([A-Z][a-z0-9]+){2,}(\.[A-Za-z_]\w*)*")
"""Words with an underscore, and words of several capitals: what only code is called."""


def _spans(page: Path) -> list[str]:
    text = re.sub(r"```.*?```", "", page.read_text(), flags=re.DOTALL)
    return re.findall(r"`([^`\n]+)`", text)


@cache
def _files() -> tuple[Path, ...]:
    listed = [path for folder in TREE for path in (ROOT / folder).rglob("*") if path.is_file()]
    listed += [path for path in (ROOT / "docs").rglob("*") if path.is_file()]
    listed += [path for path in ROOT.iterdir() if path.is_file()]
    return tuple(path for path in listed if "__pycache__" not in path.parts and ".egg-info" not in str(path))


@cache
def _words() -> frozenset[str]:
    texts = [path.read_text(errors="ignore") for path in _files() if path.suffix != ".md"]
    return frozenset(word for text in texts for word in re.findall(r"[A-Za-z_]\w*", text))


def _is_path_there(path: str) -> bool:
    if any(any(ROOT.glob(root + path.rstrip("/"))) for root in ROOTS):
        return True
    return "/" not in path and any(each.name == path for each in _files())


@pytest.mark.parametrize("page", PAGES, ids=lambda page: str(page.relative_to(ROOT)))
def test_paths_and_names_on_a_page_exist(page):
    missing = []
    for span in _spans(page):
        test, _, _ = span.partition("::")
        if PATH.fullmatch(test):
            missing += [] if _is_path_there(test) else [span]
        elif NAME.fullmatch(span):
            missing += [] if set(span.split(".")) <= _words() else [span]
    assert not missing


@pytest.mark.parametrize("page", PAGES, ids=lambda page: str(page.relative_to(ROOT)))
def test_links_between_pages_lead_somewhere(page):
    broken = []
    for target in re.findall(r"\]\(([^)#\s]*)(?:#([^)\s]+))?\)", page.read_text()):
        path, anchor = target
        if path.startswith("http"):
            continue
        linked = (page.parent / path) if path else page
        if not linked.exists() or (anchor and anchor not in _anchors(linked)):
            broken.append("#".join(target))
    assert not broken


@cache
def _anchors(page: Path) -> frozenset[str]:
    """Return the anchors of a page's headings, as they are made from their words."""
    headings = re.findall(r"^#+ (.+)$", page.read_text(), flags=re.MULTILINE)
    return frozenset(re.sub(r"[^\w\- ]", "", heading.lower()).replace(" ", "-") for heading in headings)
