"""At a router's start, aiohttp is imported without TLS, and all other modules can still use TLS."""

import subprocess
import sys

PROBE = """
from wallwell.plain_http import load_aiohttp_without_tls
load_aiohttp_without_tls()
import wallwell.platform.main, aiohttp.connector, ssl, asyncio.sslproto
assert aiohttp.connector.ssl is None, "aiohttp has loaded TLS"
assert asyncio.sslproto.ssl is ssl
print(ssl.create_default_context().verify_mode.name)
"""


def test_only_aiohttp_is_imported_without_tls():
    done = subprocess.run([sys.executable, "-c", PROBE], capture_output=True, text=True, check=False)
    assert (done.returncode, done.stdout.strip()) == (0, "CERT_REQUIRED"), done.stderr
