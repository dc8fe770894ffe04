"""Bodies of streams tell foreign, torn and doubled pieces."""

from wallwell.soak.answers import event_text, events_of


def test_whole_events_are_numbered_and_a_torn_last_one_is_left_out():
    body = event_text("r", 1) + event_text("r", 2) + event_text("r", 3)[:9]
    assert events_of("r", body) == ((1, 2), True, ())


def test_an_event_of_another_request_is_foreign():
    assert events_of("r", event_text("r", 1) + event_text("s", 2)) == ((1,), False, ())


def test_an_event_whose_number_was_changed_is_foreign():
    assert events_of("r", event_text("r", 1).replace(b"id: 1", b"id: 2")) == ((), False, ())


def test_events_state_the_versions_that_wrote_them():
    body = event_text("r", 1, "v1") + event_text("r", 2, "v2") + event_text("r", 3, "v1")
    assert events_of("r", body) == ((1, 2, 3), True, ("v1", "v2"))
