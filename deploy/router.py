"""Starts a router from a checkout; the dependencies of ``deploy/requirements.lock`` must be importable.

Installs signal handlers before the slow imports (:mod:`wallwell.start_signals`), and loads aiohttp before any other
module imports it (:mod:`wallwell.plain_http`).
"""

import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.dirname(os.path.realpath(__file__))), "src"))

from wallwell.start_signals import handle_signals_while_starting

handle_signals_while_starting()

from wallwell.plain_http import load_aiohttp_without_tls

load_aiohttp_without_tls()

from wallwell.platform.main import main

sys.exit(main())
