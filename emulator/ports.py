"""Addresses on loopback for processes that are about to start."""

import os
import socket

# Below the kernel's usual range for outgoing connections, so that none of
# those sits on a port between the moment it is chosen and its listener.
FIRST_PORT = 21_000
LAST_PORT = 29_999
PORT_STRIDE = 1009
# Set by scripts/run_features.py: each of its workers has ports of its own, so
# that no two choose the same one between the look and the bind.
PORTS_VARIABLE = "ALMONDSTAIR_TEST_PORTS"


class PortRange:
    """Gives out ports that nobody listens on, each once a run."""

    def __init__(self, *, first: int, last: int) -> None:
        """Starts where the process id says, so that parallel runs differ."""
        self._first = first
        self._last = last
        span = last - first + 1
        self._next = first + os.getpid() * PORT_STRIDE % span

    def take(self) -> int:
        """Returns a free port."""
        for _ in range(self._last - self._first + 1):
            port = self._next
            self._next = self._first if port == self._last else port + 1
            with socket.socket() as probe:
                probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
                try:
                    probe.bind(("127.0.0.1", port))
                except OSError:
                    continue
            return port
        raise RuntimeError("no free port")


def _ports() -> PortRange:
    text = os.environ.get(PORTS_VARIABLE, f"{FIRST_PORT}-{LAST_PORT}")
    first, last = text.split("-")
    return PortRange(first=int(first), last=int(last))


_PORTS = _ports()


def free_address() -> str:
    """Returns an `ip:port` that nobody listens on."""
    return f"127.0.0.1:{_PORTS.take()}"
