"""Raw HTTP connections, for messages that a normal client does not send."""

import contextlib
import hashlib
import http.client
import select
import socket
import socketserver
import threading
import time
from typing import NamedTuple

from features.support import upstream_standin

SILENCE_LIMIT_S = 10.0
EMPTY_RESPONSE = (
    b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"
)


class Head(NamedTuple):
    """The status and headers of a response, with lower-case names."""

    status: int
    headers: dict[str, str]


class Wire:
    """A connection on which a test writes and reads raw bytes."""

    def __init__(self, address: str) -> None:
        """Connects to `ip:port`."""
        ip, _, port = address.rpartition(":")
        self.socket = socket.create_connection(
            (ip, int(port)), timeout=SILENCE_LIMIT_S
        )
        self._file = self.socket.makefile("rb")

    def write(self, data: bytes) -> None:
        """Sends bytes; ignores a connection closed by the other end."""
        with contextlib.suppress(ConnectionError):
            self.socket.sendall(data)

    def head(self) -> Head:
        """Reads the status line and headers of the next response."""
        status = int(self._file.readline().split()[1])
        headers = {}
        while (line := self._file.readline().strip()) != b"":
            name, _, value = line.decode("latin1").partition(":")
            headers[name.lower()] = value.strip()
        return Head(status, headers)

    def body(self, head: Head) -> bytes:
        """Reads a body of the length in `Content-Length`."""
        return self._file.read(int(head.headers.get("content-length", "0")))

    def rest(self) -> bytes:
        """Reads until the other end closes."""
        chunks = []
        with contextlib.suppress(ConnectionError):
            while data := self._file.read1(65536):
                chunks.append(data)
        return b"".join(chunks)

    def write_until_full(self, size_bytes: int, *, limit_s: float) -> int:
        """Sends until the other end stops reading; returns the bytes sent."""
        sent_bytes = 0
        while sent_bytes < size_bytes:
            _, writable, _ = select.select([], [self.socket], [], limit_s)
            if not writable:
                break
            sent_bytes += self.socket.send(bytes(65536), socket.MSG_DONTWAIT)
        return sent_bytes

    def is_silent(self, *, limit_s: float) -> bool:
        """Returns whether the connection is open and silent for `limit_s`."""
        readable, _, _ = select.select([self.socket], [], [], limit_s)
        return not readable

    def close(self) -> None:
        """Closes the connection."""
        self._file.close()
        self.socket.close()


class Transfer(NamedTuple):
    """The transfer of a long body in one direction."""

    answer: http.client.HTTPResponse
    size_bytes: int
    sha256: str
    took_s: float


def upload(
    address: str, path: str, *, size_bytes: int, chunked: bool
) -> Transfer:
    """Uploads a long body; size and digest are the upstream's values."""
    ip, _, port = address.rpartition(":")
    connection = http.client.HTTPConnection(ip, int(port), timeout=30)
    headers = {}
    if not chunked:
        headers["Content-Length"] = str(size_bytes)
    started_s = time.monotonic()
    # A refusal arrives before the end of the body.
    with contextlib.suppress(ConnectionError):
        connection.request(
            "PUT",
            path,
            body=upstream_standin.body_chunks(size_bytes),
            headers=headers,
            encode_chunked=chunked,
        )
    answer = connection.getresponse()
    answer.read()
    connection.close()
    return Transfer(
        answer,
        int(answer.getheader("Body-Length", "-1")),
        answer.getheader("Body-Sha256", ""),
        time.monotonic() - started_s,
    )


def download(address: str, path: str) -> Transfer:
    """Downloads a long body."""
    ip, _, port = address.rpartition(":")
    connection = http.client.HTTPConnection(ip, int(port), timeout=30)
    digest = hashlib.sha256()
    size_bytes = 0
    started_s = time.monotonic()
    connection.request("GET", path)
    answer = connection.getresponse()
    while chunk := answer.read(65536):
        digest.update(chunk)
        size_bytes += len(chunk)
    connection.close()
    took_s = time.monotonic() - started_s
    return Transfer(answer, size_bytes, digest.hexdigest(), took_s)


class RawUpstream(socketserver.ThreadingTCPServer):
    """An upstream that records request heads and sends a fixed response."""

    allow_reuse_address = True
    daemon_threads = True

    def __init__(self, address: str) -> None:
        """Serves `ip:port` on a separate thread."""
        ip, _, port = address.rpartition(":")
        self.answer = EMPTY_RESPONSE
        # While set, request bodies are not read and no response is sent.
        self.stalls = False
        self.resume = threading.Event()
        self.heads: list[str] = []
        super().__init__((ip, int(port)), _RawHandler)
        threading.Thread(target=self.serve_forever, daemon=True).start()

    def end(self) -> None:
        """Stops listening."""
        self.shutdown()
        self.server_close()


class _RawHandler(socketserver.StreamRequestHandler):
    server: RawUpstream

    def handle(self) -> None:
        lines = []
        while (line := self.rfile.readline()) not in (b"\r\n", b""):
            lines.append(line.decode("latin1").strip())
        if lines and "/_load" in lines[0]:
            return
        self.server.heads.append("\n".join(lines))
        if self.server.stalls:
            self.server.resume.wait(SILENCE_LIMIT_S)
        self.wfile.write(self.server.answer)
