"""The generated catalogue pages in docs/ are up to date."""

from pathlib import Path

from wallwell.catalogue import errors_page, events_page
from wallwell.errors import all_error_types
from wallwell.events import Event

DOCS = Path(__file__).parents[2] / "docs"


def test_pages_match_the_code():
    assert (DOCS / "ERRORS.md").read_text() == errors_page()
    assert (DOCS / "LOG_EVENTS.md").read_text() == events_page()


def test_codes_and_numbers_are_unique():
    codes = [error_type.code for error_type in all_error_types()]
    numbers = [event.number for event in Event]
    assert len(codes) == len(set(codes))
    assert len(numbers) == len(set(numbers))
