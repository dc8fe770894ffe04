"""Claim rows that another writer has changed: the call of such a key never runs a second time.

Guards against a row whose decoder's error is answered as an unexpected one, or that counts as no claim.
"""

from __future__ import annotations

import pytest

from tests.faulty_table import FaultyTable
from tests.unit.standalone.hostile_values import hostile_documents
from wallwell.errors import KeyReusedError
from wallwell.standalone.cluster.claims import (
    CLAIM_PREFIX,
    MAX_STATUS,
    MIN_STATUS,
    ClaimBody,
    ClaimResult,
    ClaimState,
    ClaimTable,
)
from wallwell.storage.table import Put, Transaction

ROW_KEY = f"{CLAIM_PREFIX}t/k"


@pytest.mark.parametrize("state", ClaimState)
def test_a_claim_with_a_hostile_value_in_any_field_is_never_granted_again(state, run_async):
    async def scenario():
        table = FaultyTable()
        for document in hostile_documents(ClaimBody("c", "d", state, 200, "b")):
            text = document.decode(errors="replace")
            await table.transact(Transaction(puts=(Put(ROW_KEY, text),)))
            try:
                claim = await ClaimTable(table).claim("t", "k", "d", "mine")
            except KeyReusedError:
                continue
            if claim.result is ClaimResult.GRANTED:
                assert '"released"' in text  # The row says that the earlier call did not run.
            if claim.result is ClaimResult.RECORDED:
                assert MIN_STATUS <= claim.status <= MAX_STATUS

    run_async(scenario())


@pytest.mark.parametrize("settle", ["record", "release"])
def test_a_claim_that_another_writer_has_made_unreadable_is_left_as_it_is(settle, run_async):
    async def scenario():
        for document in hostile_documents(ClaimBody("mine", "d", ClaimState.OPEN)):
            table = FaultyTable()
            claims = ClaimTable(table)
            claim = await claims.claim("t", "k", "d", "mine")
            await table.transact(Transaction(puts=(Put(ROW_KEY, document.decode(errors="replace")),)))
            assert await (claims.release(claim) if settle == "release" else claims.record(claim, 200, "b"))

    run_async(scenario())
