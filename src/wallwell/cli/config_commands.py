"""``wallwell check``, ``apply``, ``remove``, ``get`` and ``status`` for the operators' configuration files.

``check`` needs no router; the other commands call one through :class:`OperatorClient`.
"""

from __future__ import annotations

import argparse
import asyncio
import getpass
import os
import secrets
import sys
from pathlib import Path
from typing import Any

import aiohttp

from wallwell.cli.operator_client import OperatorClient
from wallwell.errors import ConfigInvalidError, ConfigNotFoundError, WallwellError
from wallwell.standalone.config.commit import ApplyRequest
from wallwell.standalone.config.parse import ConfigFile, check_references, parse_file
from wallwell.standalone.config.schema import FileKey, Kind

TOKEN_VARIABLE = "WALLWELL_OPERATOR_TOKEN"
"""Environment variable with the operator's bearer token."""
DEFAULT_WAIT_S = 10.0
"""Default timeout of ``apply --wait`` in seconds, short because a person waits at a terminal."""
DIGEST_LENGTH = 12
"""Printed characters of a file's digest, enough to distinguish two revisions."""
APPLY_ID_BYTES = 12
"""Random bytes in an apply id, by which a router recognises a retry of the same change."""
_APPLY_ORDER = {kind: index for index, kind in enumerate(Kind)}


def register(commands: Any) -> None:
    """Add the commands to the parser."""
    check = commands.add_parser("check", help="check a directory of operators' files offline")
    check.add_argument("path", type=Path)
    check.set_defaults(run=run_check)

    apply = commands.add_parser("apply", help="apply a file or a directory of files")
    apply.add_argument("path", type=Path)
    apply.add_argument("--wait", action="store_true", help="wait until the change is in force on every live node")
    apply.add_argument("--timeout", type=float, default=DEFAULT_WAIT_S, help="timeout of --wait in seconds")
    apply.add_argument("--base", type=int, help="revision of the file on which the change is based")
    _add_connection_options(apply)
    apply.set_defaults(run=run_apply)

    remove = commands.add_parser("remove", help="remove a file")
    remove.add_argument("key", help="KIND/NAME")
    _add_connection_options(remove)
    remove.set_defaults(run=run_remove)

    get = commands.add_parser("get", help="print the configuration in force")
    get.add_argument("key", nargs="?", help="KIND/NAME; every file is listed if omitted")
    _add_connection_options(get)
    get.set_defaults(run=run_get)

    status = commands.add_parser("status", help="print the members of a region and their revisions")
    _add_connection_options(status)
    status.set_defaults(run=run_status)


def _add_connection_options(parser: argparse.ArgumentParser) -> None:
    parser.add_argument("--router", default="http://127.0.0.1:8081", help="URL of a router's operators' listener")
    parser.add_argument("--token", default=os.environ.get(TOKEN_VARIABLE, ""), help=f"default: ${TOKEN_VARIABLE}")
    parser.add_argument("--operator", default=getpass.getuser(), help="operator name recorded with a change")


def read_config_files(path: Path) -> list[ConfigFile]:
    """Parse a file or every ``*.yaml`` of a directory and return the files in the order in which to apply them.

    Raises :class:`ConfigInvalidError` that lists every problem of every file, or :class:`ConfigNotFoundError`.
    """
    files: dict[FileKey, ConfigFile] = {}
    sources: dict[FileKey, Path] = {}
    messages: list[str] = []
    for config_path in _config_paths(path):
        try:
            text = config_path.read_text(encoding="utf-8")
        except (OSError, UnicodeDecodeError) as error:
            messages.append(f"{config_path}: cannot be read: {error}")
            continue
        file, problems = parse_file(text)
        messages.extend(f"{config_path}: {problem}" for problem in problems)
        if file is None:
            continue
        if file.key in files:
            messages.append(f"{config_path}: {file.key} is also in {sources[file.key]}")
        files[file.key] = file
        sources[file.key] = config_path
    if path.is_dir():
        for key, source in sources.items():
            messages.extend(f"{source}: {problem}" for problem in check_references(files, only=[key]))
    if messages:
        raise ConfigInvalidError("\n".join(messages))
    return sorted(files.values(), key=lambda file: (_APPLY_ORDER[file.key.kind], file.key.name))


def _config_paths(path: Path) -> list[Path]:
    """Return ``path`` or the YAML files in it. Raises :class:`ConfigNotFoundError` if there are none."""
    if not path.exists():
        raise ConfigNotFoundError(f"{path} does not exist")
    paths = sorted(path.glob("*.yaml")) if path.is_dir() else [path]
    if not paths:
        raise ConfigNotFoundError(f"{path} has no *.yaml files")
    return paths


def run_check(options: argparse.Namespace) -> int:
    """Check files offline and return 0. Raises the errors of :func:`read_config_files` if a file has a problem."""
    files = read_config_files(options.path)
    print(f"{len(files)} files, no problems")
    return 0


def run_apply(options: argparse.Namespace) -> int:
    """Apply files in dependency order up to the first that is refused. Returns the exit status."""
    return asyncio.run(_apply(options, read_config_files(options.path)))


async def _apply(options: argparse.Namespace, files: list[ConfigFile]) -> int:
    async with aiohttp.ClientSession() as session:
        client = OperatorClient(options.router, options.token, session)
        revision = 0
        for file in files:
            request = ApplyRequest(
                secrets.token_hex(APPLY_ID_BYTES), options.operator, file.body, base_revision=options.base
            )
            try:
                answer = await client.apply(request)
            except WallwellError as error:
                print(f"{file.key}: refused, nothing of it changed\n{error}", file=sys.stderr)
                return 1
            revision = max(revision, answer.revision)
            print(f"{answer.key}: revision {answer.revision}{'' if answer.changed else ' (unchanged)'}")
        return await _wait_until_in_force(client, revision, options.timeout) if options.wait else 0


async def _wait_until_in_force(client: OperatorClient, revision: int, timeout_s: float) -> int:
    in_force, status = await client.wait_until_in_force(revision, timeout_s)
    for member in status.members:
        print(f"  {member.node} ({member.zone}, {member.status}): revision {member.config_revision}")
    for region, region_revision in sorted(status.regions.items()):
        print(f"  region {region}: revision {region_revision}")
    if not in_force:
        print(f"revision {revision} is not in force everywhere after {timeout_s} s", file=sys.stderr)
        return 1
    print(f"revision {revision} is in force on every live node")
    return 0


def run_remove(options: argparse.Namespace) -> int:
    """Remove one file and return the exit status."""

    async def remove() -> int:
        async with aiohttp.ClientSession() as session:
            client = OperatorClient(options.router, options.token, session)
            answer = await client.apply(
                ApplyRequest(secrets.token_hex(APPLY_ID_BYTES), options.operator, key=options.key)
            )
            print(f"{answer.key}: removed at revision {answer.revision}")
            return 0

    return asyncio.run(remove())


def run_get(options: argparse.Namespace) -> int:
    """Print one file in force or a list of all files. Returns the exit status."""

    async def get() -> int:
        async with aiohttp.ClientSession() as session:
            client = OperatorClient(options.router, options.token, session)
            if options.key:
                view = await client.file(options.key)
                print(f"# revision {view.revision} by {view.operator}\n{view.body}", end="")
                return 0
            for view in await client.files():
                print(f"{view.key}\trevision {view.revision}\t{view.operator}\t{view.digest[:DIGEST_LENGTH]}")
            return 0

    return asyncio.run(get())


def run_status(options: argparse.Namespace) -> int:
    """Print the region's members as one router sees them. Returns the exit status."""

    async def show() -> int:
        async with aiohttp.ClientSession() as session:
            status = await OperatorClient(options.router, options.token, session).status()
        print(f"{status.node} in {status.region}/{status.zone}: revision {status.config_revision}, ", end="")
        print("ready" if status.ready else "not ready", f"{status.in_flight} requests open", sep=", ")
        for member in status.members:
            line = f"  {member.node}\t{member.zone}\t{member.status}\trevision {member.config_revision}"
            print(f"{line}\treads {member.engines} engines")
        return 0

    return asyncio.run(show())
