"""Tests that a missing module of an extra is reported as such, and one of wallwell itself is not."""

import pytest

from wallwell.cli.extras import needs_extra
from wallwell.errors import ExtraMissingError


def test_missing_third_party_module_names_the_extra():
    with pytest.raises(ExtraMissingError, match=r"no module matplotlib; .*wallwell\[bench\]"), needs_extra("bench"):
        raise ModuleNotFoundError("No module named 'matplotlib.pyplot'", name="matplotlib.pyplot")


def test_missing_wallwell_module_is_not_reported_as_an_extra():
    with pytest.raises(ModuleNotFoundError), needs_extra("bench"):
        raise ModuleNotFoundError("No module named 'wallwell.gone'", name="wallwell.gone")
