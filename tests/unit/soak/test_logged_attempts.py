"""Which attempts and configurations are read from the routers' logs."""

import msgspec

from wallwell.soak.history import AttemptLogged, ConfigurationRead
from wallwell.soak.logged_attempts import records_in

AT_S = 20.0


def line(event, **fields):
    return msgspec.json.encode({"time": "1970-01-01T00:00:10+00:00", "event": event, **fields})


def test_attempts_are_read_with_the_version_by_which_they_shared_cache():
    log = b"\n".join(
        [
            b"Traceback (most recent call last):",
            line(2001, version=3, routes=1),
            line(3001, request_id="a", backend="e.1", config=3),
            line(3002, request_id="a", backend="e.2", config=2),
            line(3011, request_id="b", backend="e.1", config=4),
            line(3011, request_id="of an older build", backend="e.1"),
            line(3011, request_id="not made", backend="e.1", result="declined"),
            line(3011, request_id="not sent", backend="e.1", result="withdrawn", config=4),
            line(3011, request_id="made", backend="e.1", result="reset_after_send", config=4),
            line(3001, request_id="call", backend="o.1"),
            line(3009, request_id="refused", config=5),
            line(3001, request_id="cut", backend="e.1", config=9)[:-9],
        ]
    )
    assert list(records_in(log, "n", 10.0)) == [
        ConfigurationRead(AT_S, "n", 3),
        AttemptLogged(AT_S, "n", "a", "e.1", 3),
        AttemptLogged(AT_S, "n", "a", "e.2", 2),
        AttemptLogged(AT_S, "n", "b", "e.1", 4, for_peer=True),
        AttemptLogged(AT_S, "n", "of an older build", "e.1", 0, for_peer=True),
        AttemptLogged(AT_S, "n", "made", "e.1", 4, for_peer=True),
    ]
