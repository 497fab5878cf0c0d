"""Non-blocking, rate-limited log output to a pipe."""

from collections import deque
import logging
import os
import time

# Lines of one event written per second; further ones are counted and dropped.
# A VM normally answers a few tens of requests per second, so normal load loses
# nothing, and a burst of one event does not displace the others.
LINES_PER_EVENT_PER_S = 60
# Buffer for a slow reader: several seconds of a busy log, small compared to the
# memory of a VM.
PENDING_LIMIT_BYTES = 256 * 1024
# Minimum time between two reports of dropped lines.
SUMMARY_INTERVAL_S = 5.0


class BoundedHandler(logging.Handler):
    """Writes to a file descriptor without blocking on its reader.

    A blocking write to a full pipe would stall every request: the process would
    keep running but answer nothing. Lines that do not fit into the buffer are
    dropped and counted instead.

    Attributes:
      dropped_lines: number of dropped lines since start, by event name.
    """

    def __init__(self, *, descriptor: int) -> None:
        """Sets `descriptor`, to which the lines go, to non-blocking mode."""
        super().__init__()
        self._descriptor = descriptor
        os.set_blocking(descriptor, False)
        self._pending: deque[bytes] = deque()
        self._pending_bytes = 0
        self._second = 0
        self._lines_this_second: dict[str, int] = {}
        self._unreported: dict[str, int] = {}
        self._reported_at_s = time.monotonic()
        self.dropped_lines: dict[str, int] = {}

    def emit(self, record: logging.LogRecord) -> None:
        """Writes a line, or counts it as dropped."""
        name = str(getattr(record, "event_name", record.name))
        if not self._within_rate(name):
            self._drop(name)
            return
        self._put(name, self.format(record).encode() + b"\n")
        self.flush()

    def _within_rate(self, name: str) -> bool:
        second = int(time.monotonic())
        if second != self._second:
            self._second = second
            self._lines_this_second.clear()
        lines = self._lines_this_second.get(name, 0) + 1
        self._lines_this_second[name] = lines
        return lines <= LINES_PER_EVENT_PER_S

    def _put(self, name: str, line: bytes) -> None:
        if self._pending_bytes + len(line) > PENDING_LIMIT_BYTES:
            self._drop(name)
            return
        self._pending.append(line)
        self._pending_bytes += len(line)

    def _drop(self, name: str) -> None:
        self._unreported[name] = self._unreported.get(name, 0) + 1
        self.dropped_lines[name] = self.dropped_lines.get(name, 0) + 1

    def take_unreported_drops(self) -> dict[str, int]:
        """Returns the dropped lines not yet reported, by event name.

        Returns nothing if the last report is newer than `SUMMARY_INTERVAL_S`.
        """
        now_s = time.monotonic()
        if (
            not self._unreported
            or now_s - self._reported_at_s < SUMMARY_INTERVAL_S
        ):
            return {}
        unreported = self._unreported
        self._unreported = {}
        self._reported_at_s = now_s
        return unreported

    def flush(self) -> None:
        """Writes pending lines until the pipe is full."""
        while self._pending:
            line = self._pending[0]
            try:
                written = os.write(self._descriptor, line)
            except BlockingIOError:
                return
            except OSError:
                # The reader is gone, and there is nowhere to report it.
                self._pending.clear()
                self._pending_bytes = 0
                return
            self._pending_bytes -= written
            if written < len(line):
                self._pending[0] = line[written:]
                return
            self._pending.popleft()
