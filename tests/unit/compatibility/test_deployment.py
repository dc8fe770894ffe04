"""``deploy/system.toml``, which tells the platform what to start, and the program that the platform runs."""

import json
import os
import socket
import subprocess
import sys
import urllib.error
import urllib.request
from pathlib import Path

DEPLOY = Path(__file__).parents[3] / "deploy"
SYSTEM = (
    'build = "[ target/deps/.lock -nt deploy/requirements.lock ] || ( python3 -m pip install '
    "-q --no-compile -U --target target/deps -r deploy/requirements.lock && touch target/deps"
    '/.lock )"\n'
    "\n"
    "[roles.router]\n"
    'run = "python3 deploy/router.py"\n'
    'on = "front"\n'
    "share = 1.0\n"
    'serves = ["front"]\n'
)
HOST = f"127.9.{os.getpid() // 250 % 250}.{os.getpid() % 250 + 1}"
"""A loopback address that only this process uses, so that no other test can bind the chosen ports first."""
SETTINGS = """
node = "n1"
zone = "z1"
[listen]
front = "{host}:{front}"
ready = "{host}:{ready}"
[provider]
addr = "{host}:{nothing}"
"""
LOOK_AT_MODULES = """
import runpy, sys
try:
    runpy.run_path(sys.argv[1], run_name="__main__")
except SystemExit as end:
    print(end.code, "wallwell.platform.main" in sys.modules)
"""


def test_the_platform_is_told_the_same():
    assert (DEPLOY / "system.toml").read_text() == SYSTEM


def test_a_router_without_settings_ends_with_an_error():
    environment = {name: value for name, value in os.environ.items() if name != "WALLWELL_BOOT"}
    command = [sys.executable, "-c", LOOK_AT_MODULES, str(DEPLOY / "router.py")]
    ended = subprocess.run(command, env=environment, capture_output=True, text=True, timeout=30, check=True)
    assert ended.stdout == "2 True\n"
    assert ended.stderr == "WW1001 SettingsError: the variable WALLWELL_BOOT is not set\n"


def test_a_router_starts_with_the_settings_that_the_variable_names(tmp_path):
    ports = dict(zip(("front", "ready", "nothing"), _free_ports(3), strict=True))
    path = tmp_path / "settings.toml"
    path.write_text(SETTINGS.format(host=HOST, **ports))
    environment = {**os.environ, "WALLWELL_BOOT": str(path)}
    with subprocess.Popen(
        [sys.executable, str(DEPLOY / "router.py")], env=environment, stderr=subprocess.PIPE, text=True
    ) as router:
        try:
            line = next(each for text in router.stderr if (each := json.loads(text))["event"] == 1001)
            assert (line["node"], line["zone"]) == ("n1", "z1")
            assert line["callers"] == f"{HOST}:{ports['front']}"
            assert _status(f"http://{HOST}:{ports['ready']}/") == 503
        finally:
            router.kill()


def _free_ports(count):
    sockets = [socket.create_server((HOST, 0)) for _ in range(count)]
    ports = [each.getsockname()[1] for each in sockets]
    for each in sockets:
        each.close()
    return ports


def _status(url):
    try:
        with urllib.request.urlopen(url, timeout=10) as answer:
            return answer.status
    except urllib.error.HTTPError as error:
        return error.code
