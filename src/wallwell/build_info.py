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
    git_dir = checkout / ".git"
    try:
        head = (git_dir / "HEAD").read_text().strip()
        branch_ref = head.removeprefix("ref: ")
        commit = head if branch_ref == head else _read_branch_commit(git_dir, branch_ref)
    except OSError:
        return ""  # An installed package, or a copy without git's files.
    return commit[:COMMIT_CHARS]


def _read_branch_commit(git_dir: Path, branch_ref: str) -> str:
    """Return the commit of a branch, from its own file or from the packed ones. Raises OSError."""
    own_file = git_dir / branch_ref
    if own_file.is_file():
        return own_file.read_text().strip()
    for line in (git_dir / "packed-refs").read_text().splitlines():
        commit, _, name = line.partition(" ")
        if name == branch_ref:
            return commit
    return ""
