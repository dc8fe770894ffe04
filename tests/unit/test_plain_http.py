"""A router's start: aiohttp makes no TLS contexts, and the rest of the process is as before."""

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


def test_aiohttp_is_loaded_without_tls_and_nobody_else_is():
    done = subprocess.run([sys.executable, "-c", PROBE], capture_output=True, text=True, check=False)
    assert (done.returncode, done.stdout.strip()) == (0, "CERT_REQUIRED"), done.stderr
