"""``wallwell bench``: experiments in virtual time, load over sockets, fault scenarios and the scale run."""

from __future__ import annotations

from typing import Any


def register(commands: Any) -> None:
    """Add the command."""
    parser = commands.add_parser("bench", help="experiments and measurements")
    parser.add_subparsers(dest="bench_command", required=True, metavar="EXPERIMENT")
