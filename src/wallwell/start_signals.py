"""Signals that reach a process before it can handle them, while it still imports its modules.

The default action of a signal ends the process: for a request to stop with a status that looks like a crash, and a
request to read the settings again would take a node away that is about to start. Must be imported before anything
else, and imports nothing that takes time.
"""

import os
import signal


def handle_signals_while_starting() -> None:
    """Let SIGTERM end the process at once with status 0, and SIGHUP do nothing, until it has handlers of its own.

    Nothing is served yet that a stop could cut, and the settings file is read later than this.
    """
    signal.signal(signal.SIGTERM, lambda *_: os._exit(0))
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
