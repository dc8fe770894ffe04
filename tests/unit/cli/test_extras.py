"""Missing modules of extras are told by name; a missing module of the package is a fault."""

import pytest

from wallwell.cli.extras import needs_extra
from wallwell.errors import ExtraMissingError


def test_a_missing_module_names_the_extra():
    with pytest.raises(ExtraMissingError, match=r"no module matplotlib; .*wallwell\[bench\]"), needs_extra("bench"):
        raise ModuleNotFoundError("No module named 'matplotlib.pyplot'", name="matplotlib.pyplot")


def test_a_missing_module_of_the_package_is_not_taken_for_an_extra():
    with pytest.raises(ModuleNotFoundError), needs_extra("bench"):
        raise ModuleNotFoundError("No module named 'wallwell.gone'", name="wallwell.gone")
