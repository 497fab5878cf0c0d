"""Control messages between entries over pyzmq.

Each entry binds one ROUTER socket, on which it only receives, and connects one
DEALER socket to each peer that it sends to, on which it only sends. A message
may be lost at any time; nothing here repeats one. What must arrive is asked
for again by the protocol that needs it.

A peer that is dead, frozen or cut off must cost nothing: IMMEDIATE queues
nothing without a connection, a small high-water mark bounds what a stalled
connection holds, sends never block, LINGER 0 drops the rest on close.
"""

from collections.abc import Callable, Iterable
import time
from typing import Any, NamedTuple

from tornado.ioloop import IOLoop
import zmq

from almondstair import log
from almondstair import messages
from almondstair.core.entry_table import EntryRow
from almondstair.errors import AlmondstairError

SEND_QUEUE_MESSAGES = 32
RECEIVE_QUEUE_MESSAGES = 256
# Messages read in one turn of the loop, so that a flood does not hold it up.
READ_AT_ONCE = 32
RECONNECT_FIRST_MS = 100
RECONNECT_LAST_MS = 2000
# A connection whose other end vanished without a word (power, a cut link) holds
# sent messages in the kernel, which would deliver them minutes later when the
# link heals. Unacknowledged for this long, they end the connection instead.
# ZeroMQ's own probes would do so too, but with a packet a second each way on
# each connection they cost more than all heartbeats.
UNACKNOWLEDGED_LIMIT_MS = 3000
# The receiving end never sends, so only keep-alive shows it a vanished sender,
# whose descriptor would otherwise stay open for ever.
KEEPALIVE_IDLE_S = 60
KEEPALIVE_INTERVAL_S = 10
KEEPALIVE_COUNT = 3
_IDENTITY_SEPARATOR = "/"

UNREADABLE_INTERVAL_S = 60.0

MessageHandler = Callable[[str, int, Any], None]


class PeerCounts(NamedTuple):
    """Traffic of the socket since start, message bytes without TCP and IP.

    Attributes:
      sent_bytes: bytes handed to connections.
      sent_messages: messages handed to connections; what goes together with
        a heartbeat counts as one message with it.
      received_bytes: bytes received.
      received_messages: messages received, counted likewise.
      dropped_messages: messages not sent, for want of a connection or room.
      unreadable_messages: received messages that could not be decoded.
    """

    sent_bytes: int = 0
    sent_messages: int = 0
    received_bytes: int = 0
    received_messages: int = 0
    dropped_messages: int = 0
    unreadable_messages: int = 0


class Peers:
    """Sends and receives control messages; one for each process."""

    def __init__(
        self,
        *,
        context: zmq.Context[Any],
        name: str,
        incarnation: int,
        peer_address: str,
        on_message: MessageHandler,
    ) -> None:
        """Prepares the sockets; nothing is bound before `start`.

        Args:
          context: shared pyzmq context.
          name: name of this entry.
          incarnation: random number of this process. It is part of the
            identity, so that a restarted entry is never mistaken by a ROUTER
            for the old connection of its name.
          peer_address: `ip:port` to bind.
          on_message: called with the sender's name, its incarnation and the
            message, on the loop.
        """
        self._context = context
        self._identity = f"{name}{_IDENTITY_SEPARATOR}{incarnation}".encode()
        self._peer_address = peer_address
        self._on_message = on_message
        self._socket: zmq.Socket[bytes] | None = None
        self._loop: IOLoop
        self._addresses: dict[str, str] = {}
        # By address: two sockets to one peer would share an identity, and its
        # ROUTER drops all that comes over the second without a word.
        self._links: dict[str, zmq.Socket[bytes]] = {}
        self._counts = PeerCounts()
        self._unreadable_told_s = float("-inf")

    @property
    def counts(self) -> PeerCounts:
        """Traffic since start."""
        return self._counts

    @property
    def connected_addresses(self) -> tuple[str, ...]:
        """Addresses of the peers with an open socket."""
        return tuple(self._links)

    def start(self) -> None:
        """Binds the socket and receives on the current loop."""
        socket = self._context.socket(zmq.ROUTER)
        _set_options(socket)
        socket.set(zmq.RCVHWM, RECEIVE_QUEUE_MESSAGES)
        # A peer that was cut off connects again under its identity before the
        # old connection has timed out; without this it would stay unheard
        # until then.
        socket.set(zmq.ROUTER_HANDOVER, 1)
        socket.set(zmq.MAXMSGSIZE, messages.FRAME_LIMIT_BYTES)
        socket.bind(f"tcp://{self._peer_address}")
        self._socket = socket
        self._loop = IOLoop.current()
        # Not a ZMQStream: it spends as much on a heartbeat as its reading does.
        self._loop.add_handler(socket.fileno(), self._on_event, IOLoop.READ)
        self._loop.add_callback(self._read)

    def stop(self) -> None:
        """Closes every socket at once; unsent messages are dropped."""
        if self._socket is not None:
            self._loop.remove_handler(self._socket.fileno())
            self._socket.close(linger=0)
            self._socket = None
        for address in tuple(self._links):
            self._disconnect(address)

    def set_rows(self, rows: Iterable[EntryRow]) -> None:
        """Takes the addresses of the entry table; the rest is disconnected."""
        addresses = {}
        for row in rows:
            addresses[row.name] = row.peer_address
        self._addresses = addresses
        kept = set(addresses.values())
        for address in tuple(self._links):
            if address not in kept:
                self._disconnect(address)

    def send(self, name: str, *parts: NamedTuple) -> bool:
        """Sends to an entry of the table.

        Args:
          name: name of the receiver.
          *parts: messages of registered types. They go as the frames of one
            packet and arrive in this order, or none of them does.

        Returns:
          Whether a connection took them; they may still be lost on the way.
        """
        address = self._addresses.get(name)
        if address is None:
            return False
        frames = []
        for message in parts:
            frames.append(messages.encode(message))
        return self._send_frames(address, frames)

    def send_to_address(self, address: str, message: NamedTuple) -> bool:
        """Sends to an `ip:port` that may not be in the entry table."""
        return self._send_frames(address, [messages.encode(message)])

    def broadcast(self, message: NamedTuple) -> int:
        """Sends to every entry of the table and returns how many took it."""
        frames = [messages.encode(message)]
        taken = 0
        for address in self._addresses.values():
            if self._send_frames(address, frames):
                taken += 1
        return taken

    def connect(self, name: str) -> None:
        """Opens the connection to an entry of the table ahead of need."""
        address = self._addresses.get(name)
        if address is not None:
            self._link(address)

    def _disconnect(self, address: str) -> None:
        link = self._links.pop(address, None)
        if link is not None:
            link.close(linger=0)

    def _link(self, address: str) -> zmq.Socket[bytes]:
        link = self._links.get(address)
        if link is not None:
            return link
        socket = self._context.socket(zmq.DEALER)
        _set_options(socket)
        socket.set(zmq.IDENTITY, self._identity)
        socket.set(zmq.IMMEDIATE, 1)
        socket.set(zmq.SNDHWM, SEND_QUEUE_MESSAGES)
        socket.set(zmq.RECONNECT_IVL, RECONNECT_FIRST_MS)
        socket.set(zmq.RECONNECT_IVL_MAX, RECONNECT_LAST_MS)
        socket.connect(f"tcp://{address}")
        self._links[address] = socket
        return socket

    def _send_frames(self, address: str, frames: list[bytes]) -> bool:
        counts = self._counts
        try:
            self._link(address).send_multipart(frames, zmq.NOBLOCK)
        except zmq.ZMQError:
            # No connection yet, or its queue is full: the peer is dead, slow
            # or cut off. Waiting would stall every other peer. Out of file
            # descriptors: the other peers must still get their messages.
            self._counts = counts._replace(
                dropped_messages=counts.dropped_messages + 1
            )
            return False
        self._counts = counts._replace(
            sent_bytes=counts.sent_bytes + _size_bytes(frames),
            sent_messages=counts.sent_messages + 1,
        )
        return True

    def _on_event(self, descriptor: int, events: int) -> None:
        del descriptor, events
        self._read()

    def _read(self) -> None:
        """Reads what has arrived.

        The descriptor tells of new messages only after all have been read, so
        what is left over is read in the next turn of the loop.
        """
        for _ in range(READ_AT_ONCE):
            if self._socket is None:
                return
            try:
                frames = self._socket.recv_multipart(zmq.NOBLOCK)
            except zmq.Again:
                return
            try:
                self._receive(frames)
            except Exception as error:
                # A fault in one message must not end the reading: this entry
                # would call every peer silent.
                log.event(log.Event.REQUEST_BROKEN, error=error)
        self._loop.add_callback(self._read)

    def _receive(self, frames: list[bytes]) -> None:
        counts = self._counts
        self._counts = counts._replace(
            received_bytes=counts.received_bytes + _size_bytes(frames[1:]),
            received_messages=counts.received_messages + 1,
        )
        try:
            name, incarnation = _sender(frames)
        except ValueError as error:
            self._count_unreadable(error)
            return
        for frame in frames[1:]:
            self._take(name, incarnation, frame)

    def _take(self, name: str, incarnation: int, frame: bytes) -> None:
        try:
            message = messages.decode(frame)
            self._on_message(name, incarnation, message)
        except AlmondstairError as error:
            # The message, or a document inside, is damaged or of another
            # release; the frames beside it may be sound.
            self._count_unreadable(error)

    def _count_unreadable(self, error: Exception) -> None:
        counts = self._counts
        self._counts = counts._replace(
            unreadable_messages=counts.unreadable_messages + 1
        )
        now_s = time.monotonic()
        if now_s - self._unreadable_told_s < UNREADABLE_INTERVAL_S:
            return
        # A peer of another release sends one several times a second.
        self._unreadable_told_s = now_s
        log.event(
            log.Event.PEER_MESSAGE_BAD,
            detail=str(error),
            unreadable_messages=self._counts.unreadable_messages,
        )


def _sender(frames: list[bytes]) -> tuple[str, int]:
    if len(frames) < 2:
        raise ValueError("no message after the identity")
    name, _, incarnation = frames[0].decode().rpartition(_IDENTITY_SEPARATOR)
    return name, int(incarnation)


def _size_bytes(frames: list[bytes]) -> int:
    size_bytes = 0
    for frame in frames:
        size_bytes += len(frame)
    return size_bytes


def _set_options(socket: zmq.Socket[bytes]) -> None:
    socket.set(zmq.LINGER, 0)
    socket.set(zmq.TCP_MAXRT, UNACKNOWLEDGED_LIMIT_MS)
    socket.set(zmq.TCP_KEEPALIVE, 1)
    socket.set(zmq.TCP_KEEPALIVE_IDLE, KEEPALIVE_IDLE_S)
    socket.set(zmq.TCP_KEEPALIVE_INTVL, KEEPALIVE_INTERVAL_S)
    socket.set(zmq.TCP_KEEPALIVE_CNT, KEEPALIVE_COUNT)
