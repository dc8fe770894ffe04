"""Starts a router from a checkout, with the dependencies of ``deploy/requirements.lock`` on the path.

aiohttp is loaded before anything else imports it, see :mod:`wallwell.plain_http`.
"""

import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent / "src"))

from wallwell.plain_http import load_aiohttp_without_tls

load_aiohttp_without_tls()

from wallwell.platform.main import main

sys.exit(main())
