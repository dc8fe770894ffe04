"""``wallwell catalogue``: prints the generated pages of errors and log events."""

from __future__ import annotations

import argparse
from typing import Any

from wallwell.catalogue import errors_page, events_page

_PAGES = {"errors": errors_page, "events": events_page}


def register(commands: Any) -> None:
    """Add the command to the parser."""
    parser = commands.add_parser("catalogue", help="print the catalogue of errors or log events")
    parser.add_argument("page", choices=sorted(_PAGES))
    parser.set_defaults(run=run)


def run(options: argparse.Namespace) -> int:
    """Print the chosen page and return the exit status."""
    print(_PAGES[options.page](), end="")
    return 0
