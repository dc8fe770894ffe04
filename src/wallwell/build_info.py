"""Which build of wallwell this process runs, so that two builds that run side by side can be distinguished.

Owns nothing. The commit is known in a checkout only: it is read from git's own files, since no process is started.
"""

from __future__ import annotations

from functools import cache
from pathlib import Path

from wallwell import __version__

_CHECKOUT = Path(__file__).resolve().parents[2]
COMMIT_CHARS = 12
"""Characters of a commit's name that are shown: enough to find it."""


def build_version() -> str:
    """Return the version of the package."""
    return __version__


@cache
def build_commit(checkout: Path = _CHECKOUT) -> str:
    """Return the commit that is checked out, empty if the tree does not know it."""
    folder = checkout / ".git"
    try:
        head = (folder / "HEAD").read_text().strip()
        reference = head.removeprefix("ref: ")
        commit = head if reference == head else _commit_of(folder, reference)
    except OSError:
        return ""  # An installed package, or a copy without git's files.
    return commit[:COMMIT_CHARS]


def _commit_of(folder: Path, reference: str) -> str:
    """Return the commit of a branch, from its own file or from the packed ones. Raises OSError."""
    own_file = folder / reference
    if own_file.is_file():
        return own_file.read_text().strip()
    for line in (folder / "packed-refs").read_text().splitlines():
        commit, _, name = line.partition(" ")
        if name == reference:
            return commit
    return ""
