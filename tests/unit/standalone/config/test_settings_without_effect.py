"""Settings that nothing acts on: files that name them stay valid, and applying one is logged."""

import pytest
from loguru import logger

from wallwell.events import Event
from wallwell.standalone.config.parse import parse_file
from wallwell.standalone.operators_app import warn_of_settings_without_effect

PRIORITY = "kind: priority\nname: p\nspec:\n  rank: 1\n"
MODEL = "kind: model\nname: m\nspec:\n  weights_version: a\n"
TENANT = f"kind: tenant\nname: t\nspec:\n  token_sha256: ['{'0' * 64}']\n"


@pytest.fixture
def logged():
    records = []
    sink = logger.add(lambda message: records.append(message.record), level="INFO")
    yield records
    logger.remove(sink)


@pytest.mark.parametrize(
    ("body", "file", "settings"),
    [
        (PRIORITY, "", []),
        (PRIORITY + "  ageing_s: 600\n", "priority/p", ["ageing_s"]),
        (MODEL, "", []),
        (MODEL + "  warm_prefixes: [x]\n", "model/m", ["warm_prefixes"]),
        (TENANT, "", []),
        (TENANT + "  weight: 2\n", "tenant/t", ["weight"]),
        ("", "", []),
    ],
)
def test_an_applied_file_that_names_one_is_valid_and_logged(body, file, settings, logged):
    if body:
        parsed, problems = parse_file(body)
        assert parsed is not None and not problems
    warn_of_settings_without_effect(body)
    found = [(each["extra"]["event"], each["extra"]["file"], each["extra"]["settings"]) for each in logged]
    assert found == ([(Event.CONFIG_WITHOUT_EFFECT.number, file, settings)] if settings else [])
    assert all(each["level"].name == "WARNING" for each in logged)
