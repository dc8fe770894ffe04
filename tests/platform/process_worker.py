"""A worker in threads of its own, which goes on while the node's event loop stands still.

:meth:`ProcessWorker.kill` closes its port and all its connections at once, as the system does when a process is
killed. Its answers have neither a length nor chunks; a subclass may answer otherwise.
"""

from __future__ import annotations

import socket
import threading

HOST = "127.0.0.1"


class ProcessWorker:
    """One process of a worker, listening from its creation on."""

    service = "svc"

    def __init__(self, incarnation, port=0, shares_port=False, is_stream=False):
        """``shares_port`` lets another process listen on the same port beside this one."""
        self.incarnation = incarnation
        self.is_stream = is_stream
        self.is_leaving = False
        self.begun = threading.Event()
        """Set once the first piece of an answer has been sent."""
        self.go_on = threading.Event()
        """The answer waits for it after its first piece."""
        self.pieces = []
        """Pieces of an answer, the first of which is sent at once."""
        self.connections = []
        """In the order in which they were accepted."""
        self._lock = threading.Lock()
        self._listener = socket.socket()
        self._listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        if shares_port:
            self._listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEPORT, 1)
        self._listener.bind((HOST, port))
        self._listener.listen(64)
        self.port = self._listener.getsockname()[1]
        self._run(self._accept)

    def _run(self, function, *arguments):
        threading.Thread(target=function, args=arguments, daemon=True).start()

    def entry(self, **more):
        """Return the worker's own entry in the store, with ``more`` added."""
        models = [{"name": "m", "version": 1}]
        entry = {"service": self.service, "addr": f"{HOST}:{self.port}", "zone": "z1", "version": "", "slots": 8}
        return {**entry, "state": "ready", "models": models, "seq": 1, **more}

    def _accept(self):
        try:
            while True:
                connection, _ = self._listener.accept()
                with self._lock:
                    self.connections.append(connection)
                self._run(self._serve, connection)
        except OSError:
            pass  # The listener has been closed.

    def _serve(self, connection):
        try:
            received = b""
            while b"\r\n\r\n" not in received:
                data = connection.recv(65536)
                if not data:
                    return
                received += data
            self.answer(connection, _header(received, b"x-request-id"))
        except OSError:
            pass  # The connection has been closed.

    def answer(self, connection, request_id):
        """Answer the one request of a connection. Raises OSError once the connection has been closed."""
        head = [b"HTTP/1.1 200 OK", b"X-Request-Id: " + request_id, b"X-Response-Seal: s", b"Connection: close"]
        head.append(b"Content-Type: " + (b"text/event-stream" if self.is_stream else b"text/plain"))
        if self.is_leaving:
            head.append(b"Server-Leaving: 1")
        connection.sendall(b"\r\n".join(head) + b"\r\n\r\n" + self.pieces[0])
        self.begun.set()
        self.go_on.wait()
        for piece in self.pieces[1:]:
            connection.sendall(piece)
        connection.shutdown(socket.SHUT_WR)
        connection.close()

    def kill(self):
        """End the process: the system closes its port first, then its connections, as their numbers are higher."""
        _close(self._listener)
        with self._lock:
            for connection in self.connections:
                _close(connection)


def _close(opened):
    try:
        opened.shutdown(socket.SHUT_RDWR)
    except OSError:
        pass  # It is closed already.
    opened.close()


def _header(received, name):
    for line in received.split(b"\r\n")[1:]:
        key, _, value = line.partition(b":")
        if key.lower() == name:
            return value.strip()
    return b""
