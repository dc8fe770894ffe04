"""The compact table behaves like a dict of ints."""

from hypothesis import given, settings
from hypothesis import strategies as st

from wallwell.standalone.routing.table import CompactTable

# Few distinct low bits force long probe sequences and wrap-around.
KEYS = st.one_of(st.integers(1, 40), st.integers(0, 3).map(lambda n: (n << 40) | 255), st.integers(1, 2**64 - 1))
OPERATIONS = st.lists(st.tuples(st.sampled_from(["set", "delete"]), KEYS, st.integers(1, 2**64 - 1)), max_size=400)


@settings(max_examples=150, derandomize=True, deadline=None)
@given(OPERATIONS)
def test_matches_a_dict(operations):
    table, model = CompactTable(), {}
    for name, key, value in operations:
        if name == "set":
            table.set(key, value)
            model[key] = value
        else:
            table.delete(key)
            model.pop(key, None)
    assert dict(table.items()) == model
    assert len(table) == len(model)
    assert all(table.get(key) == value for key, value in model.items())


def test_grows_and_shrinks():
    table = CompactTable()
    for key in range(1, 5001):
        table.set(key * 7919, key)
    grown = table.nbytes
    for key in range(1, 4901):
        table.delete(key * 7919)
    table.shrink()
    assert table.nbytes < grown
    assert [table.get(key * 7919) for key in range(4901, 5001)] == list(range(4901, 5001))
