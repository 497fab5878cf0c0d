"""An upstream whose responses end as a scenario says."""

import json
import socketserver
import threading
import time

_HEAD_END = b"\r\n\r\n"
_PIECE_BYTES = 65_536
# Longer than any time limit of a scenario.
_STALL_S = 8.0
# More than a gateway buffers of a response.
LARGE_BYTES = 400_000
_SENT_BYTES = 300_000
# More than the buffers of sockets, and less than a gateway buffers.
MEDIUM_BYTES = 200_000


class ScriptedUpstream:
    """Serves `/<what>` in a thread; each part of a path says how.

    `slow` runs for 1.2 s, `large` has a large body; `break` closes the
    connection in the middle of it, `once` does so for the first request only,
    `stall` stops in the middle, `endless` goes on with bytes that are no body.

    Attributes:
      address: its `ip:port`.
      paths: paths of the requests that reached it.
    """

    def __init__(self):
        """Starts to listen."""
        self.paths = []
        self._broken = set()
        self._closing = threading.Event()
        upstream = self

        class Handler(socketserver.BaseRequestHandler):
            def handle(self):
                upstream._serve(self.request)

        self._server = socketserver.ThreadingTCPServer(
            ("127.0.0.1", 0), Handler
        )
        self._server.daemon_threads = True
        self.address = f"127.0.0.1:{self._server.server_address[1]}"
        threading.Thread(target=self._server.serve_forever, daemon=True).start()

    def close(self):
        """Stops listening; open connections end with the scenario."""
        self._closing.set()
        self._server.shutdown()
        self._server.server_close()

    def registration(self, address=""):
        """Returns its registration, at another address if one is given."""
        return json.dumps(
            {
                "service": "service",
                "address": address or self.address,
                "zone": "a1",
                "version": "v1",
                "slots": 32,
                "state": "ready",
                "coldLeftS": 0,
                "seq": 1,
            }
        )

    def _serve(self, connection):
        received = b""
        while True:
            while _HEAD_END not in received:
                data = connection.recv(_PIECE_BYTES)
                if not data:
                    return
                received += data
            head, _, received = received.partition(_HEAD_END)
            if not self._respond(connection, head.decode("latin-1")):
                return

    def _respond(self, connection, head):
        """Responds to a request; returns whether the connection goes on."""
        lines = head.split("\r\n")
        path = lines[0].split()[1]
        headers = dict(line.lower().split(": ", 1) for line in lines[1:])
        request = headers.get("x-almondstair-request-id", "")
        self.paths.append(path)
        parts = path.split("/")
        if "slow" in parts:
            self._closing.wait(1.2)
        size_bytes = LARGE_BYTES if "large" in parts else 5
        if "medium" in parts:
            size_bytes = MEDIUM_BYTES
        start = (
            "HTTP/1.1 200 OK\r\n"
            f"X-Almondstair-Request-Id: {request}\r\n"
            f"X-Almondstair-Response-Seal: seal-{request}\r\n"
        ).encode()
        if "endless" in parts:
            return self._send_endless(connection, start)
        start += b"Content-Length: %d\r\n\r\n" % size_bytes
        body = b"x" * size_bytes
        breaks = "break" in parts or ("once" in parts and self._is_first(path))
        if not breaks and "stall" not in parts:
            connection.sendall(start + body)
            return True
        connection.sendall(start + body[:_SENT_BYTES])
        if "stall" in parts:
            self._closing.wait(_STALL_S)
        else:
            time.sleep(0.3)
        return False

    def _is_first(self, path):
        first = path not in self._broken
        self._broken.add(path)
        return first

    def _send_endless(self, connection, start):
        piece = b"%x\r\n%b\r\n" % (_SENT_BYTES, b"x" * _SENT_BYTES)
        connection.sendall(
            start + b"Transfer-Encoding: chunked\r\n\r\n" + piece
        )
        connection.settimeout(_STALL_S)
        try:
            connection.sendall(b"5;")
            while not self._closing.is_set():
                connection.sendall(b"e" * _PIECE_BYTES)
        except (TimeoutError, OSError):
            return False
        return False
