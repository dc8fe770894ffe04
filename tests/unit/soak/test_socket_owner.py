"""The process at the other end of a local connection is found, and no other is taken for it."""

import os
import socket
import subprocess
import sys

from wallwell.soak.socket_owner import owner_of

CONNECT = "import socket, sys; s = socket.create_connection(('127.0.0.1', int(sys.argv[1]))); sys.stdin.read()"


def test_the_connecting_process_is_found():
    with socket.create_server(("127.0.0.1", 0)) as server:
        child = subprocess.Popen(
            [sys.executable, "-c", CONNECT, str(server.getsockname()[1])], stdin=subprocess.PIPE
        )
        try:
            connection, address = server.accept()
            with connection:
                far = connection.getsockname()
                assert owner_of(address, far, {"us": os.getpid(), "child": child.pid}) == "child"
                assert owner_of(address, far, {"us": os.getpid()}) == ""
        finally:
            child.kill()
            child.communicate()


def test_a_process_that_has_ended_and_an_address_that_is_not_there_have_no_owner():
    child = subprocess.Popen([sys.executable, "-c", ""])
    child.wait()
    with socket.create_server(("127.0.0.1", 0)) as server, socket.create_connection(server.getsockname()) as ours:
        near, far = ours.getsockname(), ours.getpeername()
        assert owner_of(near, far, {"us": os.getpid()}) == "us"
        assert owner_of(near, far, {"gone": child.pid}) == ""
    assert owner_of(("127.0.0.1", 1), ("127.0.0.1", 2), {"us": os.getpid()}) == ""
