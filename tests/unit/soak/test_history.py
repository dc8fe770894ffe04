"""Records survive their file, also a line that a kill cut short."""

from tests.unit.soak.records import answered, began, sent
from wallwell.soak.history import HISTORY_SUFFIX, HistoryWriter, read_history


def test_records_of_all_files_are_read_by_time(tmp_path):
    records = [sent(at_s=1.0), began(at_s=2.0), answered(at_s=3.0, events=(1, 2))]
    for name, record in zip("cab", records, strict=True):
        writer = HistoryWriter(tmp_path / f"{name}{HISTORY_SUFFIX}")
        writer.add(record)
        writer.close()
    with (tmp_path / f"c{HISTORY_SUFFIX}").open("ab") as file:
        file.write(b'{"type":"Sent","at_s":4')
    assert read_history(tmp_path) == records
