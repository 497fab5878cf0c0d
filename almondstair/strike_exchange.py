"""Reports of requests that crash upstreams, sent as datagrams.

A report must leave before the caller learns of the crash. Heartbeats alone are
too slow: the socket's I/O thread sends them, and on a busy VM it may run late.
Meanwhile the caller retries through an entry without the report, and another
upstream crashes. A datagram is in the kernel when the send returns, and an
entry reads pending datagrams before it decides on a request. Heartbeats repeat
lost reports.
"""

from collections.abc import Callable
import math
import socket
import time
from typing import Any, NamedTuple

from tornado.ioloop import IOLoop

from almondstair import log
from almondstair import messages
from almondstair.core.entry_table import EntryRow
from almondstair.core.membership import Membership
from almondstair.core.quarantine import StrikeMark
from almondstair.errors import AlmondstairError

DATAGRAMS_PER_READ = 256
# Larger than any UDP datagram.
DATAGRAM_BYTES = 65536
# Minimum time between two log lines on datagrams that cannot be decoded.
UNREADABLE_LOG_INTERVAL_S = 60.0


class StrikeReport(NamedTuple):
    """Reports strikes of an entry outside of its heartbeats.

    Attributes:
      entry: name of the sender.
      incarnation: incarnation of the sender.
      sent_s: send time on the sender's monotonic clock; only differences are
        meaningful.
      marks: strikes against requests.
    """

    entry: str
    incarnation: int
    sent_s: float
    marks: tuple[StrikeMark, ...]


messages.register(tag=messages.Tag.STRIKE_REPORT, message_type=StrikeReport)


class StrikeExchange:
    """Sends strikes to every entry of the table and receives theirs."""

    def __init__(
        self,
        *,
        own: EntryRow,
        incarnation: int,
        membership: Membership,
        on_report: Callable[[StrikeReport], None],
    ) -> None:
        """Stores the parameters; nothing is bound before `start`.

        Args:
          own: row of this entry; its peer address is bound for datagrams too.
          incarnation: incarnation of this process.
          membership: the entry table, whose other entries are the receivers.
          on_report: called with each report of another entry.
        """
        self._own = own
        self._incarnation = incarnation
        self._membership = membership
        self._on_report = on_report
        self._socket: socket.socket | None = None
        self._unreadable_logged_s = -math.inf

    def start(self) -> None:
        """Binds the socket and reads on the current loop.

        Raises:
          OSError: the address cannot be bound.
        """
        self._socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._socket.setblocking(False)
        self._socket.bind(_address(self._own))
        IOLoop.current().add_handler(
            self._socket, self._on_readable, IOLoop.READ
        )

    def stop(self) -> None:
        """Closes the socket."""
        if self._socket is None:
            return
        IOLoop.current().remove_handler(self._socket)
        self._socket.close()
        self._socket = None

    def send_strikes(self, marks: tuple[StrikeMark, ...]) -> None:
        """Sends strikes to all other entries before it returns."""
        if self._socket is None:
            return
        frame = messages.encode(
            StrikeReport(
                self._own.name, self._incarnation, time.monotonic(), marks
            )
        )
        for row in self._membership.table.entries:
            if row.name != self._own.name:
                self._send(frame, row)

    def read_pending(self) -> None:
        """Reads the reports that have arrived."""
        if self._socket is None:
            return
        for _ in range(DATAGRAMS_PER_READ):
            try:
                frame = self._socket.recv(DATAGRAM_BYTES)
            except BlockingIOError:
                return
            except OSError:
                # The kernel reports that an earlier datagram found no listener.
                # That entry is down, which membership detects by itself.
                continue
            self._receive(frame)

    def _send(self, frame: bytes, row: EntryRow) -> None:
        assert self._socket is not None
        try:
            self._socket.sendto(frame, _address(row))
        except OSError as error:
            log.event(
                log.Event.WORD_NOT_SENT, entry=row.name, detail=str(error)
            )

    def _receive(self, frame: bytes) -> None:
        try:
            report = messages.decode(frame)
        except AlmondstairError as error:
            self._log_unreadable(error)
            return
        if isinstance(report, StrikeReport) and report.entry != self._own.name:
            self._on_report(report)

    def _log_unreadable(self, error: AlmondstairError) -> None:
        now_s = time.monotonic()
        if now_s - self._unreadable_logged_s >= UNREADABLE_LOG_INTERVAL_S:
            self._unreadable_logged_s = now_s
            log.event(log.Event.PEER_MESSAGE_BAD, detail=str(error))

    def _on_readable(self, descriptor: Any, events: int) -> None:
        del descriptor, events
        self.read_pending()


def _address(row: EntryRow) -> tuple[str, int]:
    ip, _, port = row.peer_address.rpartition(":")
    return ip, int(port)
