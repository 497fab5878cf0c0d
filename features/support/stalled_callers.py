"""Callers that send a part of a request, or read nothing of its response."""

import select
import socket
import time

from emulator.documents import HOST

# Small, so that output soon stays at the gateway.
_RECEIVE_BUFFER_BYTES = 4096
_CHUNK = b"x" * 65536
_WRITE_WAIT_S = 0.05


class StalledCallers:
    """Opens connections and keeps them until the end."""

    def __init__(self, *, address: str) -> None:
        """Starts without connections.

        Args:
          address: `ip:port` of a gateway.
        """
        ip, _, port = address.rpartition(":")
        self._address = (ip, int(port))
        self._sockets: list[socket.socket] = []

    def read_nothing(self, path: str, *, request_id: str) -> None:
        """Sends a request and reads nothing of its response."""
        connection = self._connect()
        connection.sendall(_head("GET", path, request_id, length_bytes=0))

    def send_part(
        self, path: str, *, request_id: str, length_bytes: int, sent_bytes: int
    ) -> None:
        """Sends the first bytes of a body, as many as the gateway reads."""
        connection = self._connect()
        head = _head("POST", path, request_id, length_bytes=length_bytes)
        connection.sendall(head)
        connection.setblocking(False)
        left_bytes = sent_bytes
        ends_s = time.monotonic() + _WRITE_WAIT_S
        while left_bytes > 0 and time.monotonic() < ends_s:
            _, writable, _ = select.select([], [connection], [], _WRITE_WAIT_S)
            if not writable:
                return
            try:
                left_bytes -= connection.send(_CHUNK[:left_bytes])
            except ConnectionError:
                return

    def _connect(self) -> socket.socket:
        connection = socket.socket()
        connection.setsockopt(
            socket.SOL_SOCKET, socket.SO_RCVBUF, _RECEIVE_BUFFER_BYTES
        )
        connection.settimeout(5.0)
        connection.connect(self._address)
        self._sockets.append(connection)
        return connection

    def count_closed(self) -> int:
        """Returns how many connections the gateway has closed."""
        closed = 0
        flags = socket.MSG_PEEK | socket.MSG_DONTWAIT
        for connection in self._sockets:
            try:
                closed += not connection.recv(1, flags)
            except BlockingIOError:
                continue
            except ConnectionError:
                closed += 1
        return closed

    def close(self) -> None:
        """Closes all connections."""
        for connection in self._sockets:
            connection.close()
        self._sockets.clear()


def _head(
    method: str, path: str, request_id: str, *, length_bytes: int
) -> bytes:
    return (
        f"{method} {path} HTTP/1.1\r\nHost: {HOST}\r\n"
        f"X-Almondstair-Request-Id: {request_id}\r\n"
        "X-Almondstair-Deadline-Ms: 5000\r\n"
        f"Content-Length: {length_bytes}\r\n\r\n"
    ).encode()
