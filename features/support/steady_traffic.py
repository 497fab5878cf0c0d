"""Open-loop traffic at a constant rate."""

from concurrent import futures
import threading
import time

from features.support.gateway_world import GatewayWorld

# Limit of requests in flight.
SENDERS = 96


class SteadyTraffic:
    """Sends requests for new objects at a constant rate.

    The rate does not depend on how long the responses take.
    """

    def __init__(self, world: GatewayWorld, *, prefix: str = "/safe/") -> None:
        """Creates a sender.

        Args:
          world: sends the requests to its gateway.
          prefix: prefix of the request paths.
        """
        self._world = world
        self._prefix = prefix
        self._pool = futures.ThreadPoolExecutor(SENDERS)
        self._number = 0
        self._lock = threading.Lock()
        self.statuses: list[int] = []

    def send_for(self, span_s: float, rate_per_s: float) -> None:
        """Sends for `span_s`; responses may arrive later."""
        count = int(span_s * rate_per_s)
        start_s = time.monotonic()
        for number in range(count):
            due_s = start_s + number / rate_per_s
            time.sleep(max(0.0, due_s - time.monotonic()))
            self._number += 1
            self._pool.submit(self._send, f"{self._prefix}{self._number}")

    def _send(self, path: str) -> None:
        status = self._world.send("GET", path).status
        with self._lock:
            self.statuses.append(status)

    def end(self) -> None:
        """Waits for the last responses."""
        self._pool.shutdown(wait=True)
