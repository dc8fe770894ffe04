"""The commit is read from each form of git's files: branch, detached head and packed refs."""

import re

import pytest

from wallwell.build_info import COMMIT_CHARS, build_commit, build_version

COMMIT = "0123456789abcdef0123456789abcdef01234567"


@pytest.mark.parametrize(
    ("files", "commit"),
    [
        ({"HEAD": "ref: refs/heads/main\n", "refs/heads/main": COMMIT + "\n"}, COMMIT[:COMMIT_CHARS]),
        ({"HEAD": COMMIT + "\n"}, COMMIT[:COMMIT_CHARS]),
        ({"HEAD": "ref: refs/heads/main\n", "packed-refs": f"# pack\n{COMMIT} refs/heads/main\n"}, COMMIT[:12]),
        ({"HEAD": "ref: refs/heads/main\n", "packed-refs": "# pack\n"}, ""),
        ({"HEAD": "ref: refs/heads/main\n"}, ""),
        ({}, ""),
    ],
    ids=["branch", "detached", "packed", "not packed", "no branch", "no repository"],
)
def test_commit_of_a_checkout(tmp_path, files, commit):
    for name, text in files.items():
        path = tmp_path / ".git" / name
        path.parent.mkdir(parents=True, exist_ok=True)
        path.write_text(text)
    assert build_commit(tmp_path) == commit


def test_version_has_three_numbers():
    assert re.fullmatch(r"\d+\.\d+\.\d+", build_version())
