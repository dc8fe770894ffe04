"""Handling of signals that arrive while the process still imports its modules.

The default action of a signal ends the process. For SIGTERM the exit status would look like a crash, and SIGHUP, a
request to reload the settings, would end a node that is about to start. This module must be imported before any
other and imports nothing that takes time.
"""

import os
import signal


def handle_signals_while_starting() -> None:
    """Until the node sets its own handlers, exit with status 0 on SIGTERM and ignore SIGHUP.

    No request is being served yet that an exit could interrupt, and the settings file is read only later.
    """
    signal.signal(signal.SIGTERM, lambda *_: os._exit(0))
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
