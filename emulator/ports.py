"""Free loopback addresses for processes that are about to start."""

import os
import socket

# Below the kernel's default ephemeral range, so that no outgoing connection
# takes a port between its selection and the bind of its listener.
FIRST_PORT = 21_000
LAST_PORT = 29_999
PORT_STRIDE = 1009
# Set by scripts/run_features.py to a separate range per worker, so that two
# workers cannot select the same port between the check and the bind.
PORTS_VARIABLE = "ALMONDSTAIR_TEST_PORTS"


class PortRange:
    """Allocates free ports; reuses one only after the range wraps."""

    def __init__(self, *, first: int, last: int) -> None:
        """Starts at a port that depends on the process id.

        Parallel runs therefore start at different ports.
        """
        self._first = first
        self._last = last
        span = last - first + 1
        self._next = first + os.getpid() * PORT_STRIDE % span

    def next_free(self) -> int:
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
    """Returns a free `ip:port` on loopback."""
    return f"127.0.0.1:{_PORTS.next_free()}"
