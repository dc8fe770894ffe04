"""Version and commit of the running build, so that two builds that run side by side can be distinguished.

The commit is only available in a git checkout. It is read from the files in ``.git``, without starting a process.
"""

from __future__ import annotations

from functools import cache
from pathlib import Path

from wallwell import __version__

_CHECKOUT = Path(__file__).resolve().parents[2]
COMMIT_CHARS = 12
"""Length of the abbreviated commit hash that is shown: enough to identify the commit."""


def build_version() -> str:
    """Return the version of the package."""
    return __version__


@cache
def build_commit(checkout: Path = _CHECKOUT) -> str:
    """Return the abbreviated hash of the checked-out commit, or an empty string if it cannot be determined."""
    git_dir = checkout / ".git"
    try:
        head = (git_dir / "HEAD").read_text().strip()
        branch_ref = head.removeprefix("ref: ")
        commit = head if branch_ref == head else _read_branch_commit(git_dir, branch_ref)
    except OSError:
        return ""  # An installed package, or a copy without the ``.git`` directory.
    return commit[:COMMIT_CHARS]


def _read_branch_commit(git_dir: Path, branch_ref: str) -> str:
    """Return the hash of a branch's commit, from its ref file or ``packed-refs``, or "". Raises OSError."""
    own_file = git_dir / branch_ref
    if own_file.is_file():
        return own_file.read_text().strip()
    for line in (git_dir / "packed-refs").read_text().splitlines():
        commit, _, name = line.partition(" ")
        if name == branch_ref:
            return commit
    return ""
