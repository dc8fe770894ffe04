"""Settings that are accepted but never used: files that contain them are valid, and applying one logs a warning."""

import pytest
from loguru import logger

from tests.faulty_table import FaultyTable
from wallwell.events import Event
from wallwell.standalone.config.commit import ApplyRequest, ConfigCommitter
from wallwell.standalone.config.store import ConfigStore

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
def test_applying_a_file_with_unused_settings_logs_a_warning(body, file, settings, logged, run_async):
    """An empty ``body`` is the case of removing a file: a removal has no settings to warn of."""

    async def scenario():
        store = ConfigStore()
        committer = ConfigCommitter(FaultyTable(faults=()), store, store.apply)
        await committer.apply(ApplyRequest("apply-1", "op", body or PRIORITY))
        if not body:
            await committer.apply(ApplyRequest("apply-2", "op", key="priority/p"))
        return store.head

    assert run_async(scenario()) == (1 if body else 2)
    found = [(each["extra"]["event"], each["extra"]["file"], each["extra"]["settings"]) for each in logged]
    assert found == ([(Event.CONFIG_WITHOUT_EFFECT.number, file, settings)] if settings else [])
    assert all(each["level"].name == "WARNING" for each in logged)
