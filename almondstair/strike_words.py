"""Words on requests that crash upstreams, sent before their callers know.

What goes wrong with heartbeats alone: they are given to the thread of the
sockets, which a busy machine leaves waiting. The caller sends the request again
meanwhile, through an entry that has not heard, and one more upstream ends. A
datagram is with the kernel when the send returns, and an entry reads what has
arrived before it decides on a request. Heartbeats repeat what is lost.
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
from almondstair.core.quarantine import Mark
from almondstair.errors import AlmondstairError

# Datagrams that are read at one time, and the longest one.
READ_AT_ONCE = 256
DATAGRAM_BYTES = 65536
# Least pause between two lines on datagrams that cannot be read.
UNREADABLE_INTERVAL_S = 60.0


class StrikeWord(NamedTuple):
    """Marks of an entry, outside of its heartbeats.

    Attributes:
      entry: name of the sender.
      incarnation: its process.
      sent_s: the sender's clock at sending; only differences tell anything.
      marks: strikes against requests.
    """

    entry: str
    incarnation: int
    sent_s: float
    marks: tuple[Mark, ...]


messages.register(tag=messages.Tag.STRIKE_WORD, message_type=StrikeWord)


class StrikeWords:
    """Sends strikes to every entry of the table, and reads theirs."""

    def __init__(
        self,
        *,
        own: EntryRow,
        incarnation: int,
        membership: Membership,
        on_word: Callable[[StrikeWord], None],
    ) -> None:
        """Prepares the words; nothing is bound before `start`.

        Args:
          own: row of this entry; its peer address is bound for datagrams too.
          incarnation: number of this process.
          membership: the other entries.
          on_word: called with each word of another entry.
        """
        self._own = own
        self._incarnation = incarnation
        self._membership = membership
        self._on_word = on_word
        self._socket: socket.socket | None = None
        self._unreadable_told_s = -math.inf

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

    def tell(self, marks: tuple[Mark, ...]) -> None:
        """Sends marks to all other entries before it returns."""
        if self._socket is None:
            return
        frame = messages.encode(
            StrikeWord(
                self._own.name, self._incarnation, time.monotonic(), marks
            )
        )
        for row in self._membership.table.entries:
            if row.name != self._own.name:
                self._send(frame, row)

    def read_waiting(self) -> None:
        """Takes the words that have arrived."""
        if self._socket is None:
            return
        for _ in range(READ_AT_ONCE):
            try:
                frame = self._socket.recv(DATAGRAM_BYTES)
            except BlockingIOError:
                return
            except OSError:
                # The kernel tells here that nobody listens where an earlier
                # word went; its entry is down, and membership finds that out.
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
            word = messages.decode(frame)
        except AlmondstairError as error:
            self._note_unreadable(error)
            return
        if isinstance(word, StrikeWord) and word.entry != self._own.name:
            self._on_word(word)

    def _note_unreadable(self, error: AlmondstairError) -> None:
        now_s = time.monotonic()
        if now_s - self._unreadable_told_s >= UNREADABLE_INTERVAL_S:
            self._unreadable_told_s = now_s
            log.event(log.Event.PEER_MESSAGE_BAD, detail=str(error))

    def _on_readable(self, descriptor: Any, events: int) -> None:
        del descriptor, events
        self.read_waiting()


def _address(row: EntryRow) -> tuple[str, int]:
    ip, _, port = row.peer_address.rpartition(":")
    return ip, int(port)
