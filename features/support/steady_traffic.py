"""Traffic at a steady rate, whatever the answers take."""

from concurrent import futures
import threading
import time

from features.support.gateway_world import GatewayWorld

# Requests that may be under way at once.
SENDERS = 96


class SteadyTraffic:
    """Sends new objects at a steady rate, whatever the answers take."""

    def __init__(self, world: GatewayWorld, *, prefix: str = "/safe/") -> None:
        """Makes a sender that has sent nothing.

        Args:
          world: whose gateway gets the requests.
          prefix: start of their paths.
        """
        self._world = world
        self._prefix = prefix
        self._pool = futures.ThreadPoolExecutor(SENDERS)
        self._number = 0
        self._lock = threading.Lock()
        self.statuses: list[int] = []

    def send_for(self, span_s: float, rate_per_s: float) -> None:
        """Sends for a while; answers may come later."""
        count = int(span_s * rate_per_s)
        began_s = time.monotonic()
        for number in range(count):
            due_s = began_s + number / rate_per_s
            time.sleep(max(0.0, due_s - time.monotonic()))
            self._number += 1
            self._pool.submit(self._send, f"{self._prefix}{self._number}")

    def _send(self, path: str) -> None:
        status = self._world.send("GET", path).status
        with self._lock:
            self.statuses.append(status)

    def end(self) -> None:
        """Waits for the last answers."""
        self._pool.shutdown(wait=True)
