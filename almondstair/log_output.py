"""Log lines to a pipe that may be slow: bounded in rate and never waiting."""

from collections import deque
import logging
import os
import time

# Lines of one event that are written in a second; more are counted and left
# out. A VM answers a few tens of requests a second on an ordinary day, so an
# ordinary day loses nothing; a storm of one event leaves room for the others.
LINES_PER_EVENT_PER_S = 60
# What may wait for a reader that does not read. 256 KiB is some seconds of a
# busy log, and small beside a VM's memory.
PENDING_LIMIT_BYTES = 256 * 1024
# How often what was left out is told.
SUMMARY_INTERVAL_S = 5.0


class BoundedHandler(logging.Handler):
    """Writes to a file descriptor without ever waiting for its reader.

    What goes wrong without: a full pipe blocks the write, and with it every
    request of the process; one notices that nothing is answered while the
    process runs. Lines that find no room are dropped and counted instead.

    Attributes:
      left_out: lines left out since the start, by event name.
    """

    def __init__(self, *, descriptor: int) -> None:
        """Makes a handler that writes to `descriptor`."""
        super().__init__()
        self._descriptor = descriptor
        os.set_blocking(descriptor, False)
        self._pending: deque[bytes] = deque()
        self._pending_bytes = 0
        self._second = 0
        self._lines: dict[str, int] = {}
        self._untold: dict[str, int] = {}
        self._told_at_s = time.monotonic()
        self.left_out: dict[str, int] = {}

    def emit(self, record: logging.LogRecord) -> None:
        """Writes a line, or counts it as left out."""
        name = str(getattr(record, "event_name", record.name))
        if not self._within_rate(name):
            self._leave_out(name)
            return
        self._put(name, self.format(record).encode() + b"\n")
        self.flush()

    def _within_rate(self, name: str) -> bool:
        second = int(time.monotonic())
        if second != self._second:
            self._second = second
            self._lines.clear()
        lines = self._lines.get(name, 0) + 1
        self._lines[name] = lines
        return lines <= LINES_PER_EVENT_PER_S

    def _put(self, name: str, line: bytes) -> None:
        if self._pending_bytes + len(line) > PENDING_LIMIT_BYTES:
            self._leave_out(name)
            return
        self._pending.append(line)
        self._pending_bytes += len(line)

    def _leave_out(self, name: str) -> None:
        self._untold[name] = self._untold.get(name, 0) + 1
        self.left_out[name] = self.left_out.get(name, 0) + 1

    def take_untold(self) -> dict[str, int]:
        """Returns what was left out since the last call, when it is time."""
        now_s = time.monotonic()
        if not self._untold or now_s - self._told_at_s < SUMMARY_INTERVAL_S:
            return {}
        untold = self._untold
        self._untold = {}
        self._told_at_s = now_s
        return untold

    def flush(self) -> None:
        """Writes what the reader has room for."""
        while self._pending:
            line = self._pending[0]
            try:
                written = os.write(self._descriptor, line)
            except BlockingIOError:
                return
            except OSError:
                # Nobody can be told that the log's reader is gone for good.
                self._pending.clear()
                self._pending_bytes = 0
                return
            self._pending_bytes -= written
            if written < len(line):
                self._pending[0] = line[written:]
                return
            self._pending.popleft()
