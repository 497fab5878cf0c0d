"""Control messages between entries over pyzmq.

Each entry binds one ROUTER socket, on which it only receives, and connects one
DEALER socket to each peer that it sends to, on which it only sends. Messages
may be lost and are not resent here; a protocol that needs delivery repeats its
request.

A dead, frozen or partitioned peer must not affect the others: IMMEDIATE queues
nothing without a connection, a small high-water mark bounds the queue of a
stalled connection, sends never block, and LINGER 0 drops the rest on close.
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
# Messages read per iteration of the loop, so that a flood does not block it.
MESSAGES_PER_READ = 32
RECONNECT_MIN_MS = 100
RECONNECT_MAX_MS = 2000
# When the other end disappears without closing (power loss, broken link), the
# kernel buffers sent messages and would deliver them minutes later when the
# link recovers. Messages unacknowledged for this long end the connection.
# ZeroMQ's own heartbeats would do so too, but at one packet per second in each
# direction of each connection they cost more than all heartbeats of entries.
UNACKNOWLEDGED_LIMIT_MS = 3000
# The receiving end never sends, so only TCP keep-alive detects a lost sender,
# whose descriptor would otherwise stay open forever.
KEEPALIVE_IDLE_S = 60
# `UNACKNOWLEDGED_LIMIT_MS` ends the connection at the first of these that is
# not answered in time, whatever their count.
KEEPALIVE_INTERVAL_S = 10
KEEPALIVE_COUNT = 3
_IDENTITY_SEPARATOR = "/"

UNREADABLE_LOG_INTERVAL_S = 60.0

MessageHandler = Callable[[str, int, Any], None]


class PeerCounts(NamedTuple):
    """Counts traffic since start; bytes exclude TCP and IP headers.

    Attributes:
      sent_bytes: bytes handed to connections.
      sent_messages: messages handed to connections; a heartbeat and the
        messages sent with it count as one.
      received_bytes: bytes received.
      received_messages: messages received, counted likewise.
      dropped_messages: messages not sent because there was no connection or its
        queue was full.
      unreadable_messages: received messages that could not be decoded.
    """

    sent_bytes: int = 0
    sent_messages: int = 0
    received_bytes: int = 0
    received_messages: int = 0
    dropped_messages: int = 0
    unreadable_messages: int = 0


class Peers:
    """Sends and receives control messages; one instance per process."""

    def __init__(
        self,
        *,
        context: zmq.Context[Any],
        name: str,
        incarnation: int,
        peer_address: str,
        on_message: MessageHandler,
    ) -> None:
        """Stores the parameters; nothing is bound before `start`.

        Args:
          context: shared pyzmq context.
          name: name of this entry.
          incarnation: random number of this process. It is part of the
            identity, so that a ROUTER never takes a restarted entry for the
            old connection of the same name.
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
        # ROUTER silently drops everything that arrives over the second.
        self._connections: dict[str, zmq.Socket[bytes]] = {}
        self._counts = PeerCounts()
        self._unreadable_logged_s = float("-inf")

    @property
    def counts(self) -> PeerCounts:
        """Returns the traffic since start."""
        return self._counts

    @property
    def connected_addresses(self) -> tuple[str, ...]:
        """Returns the addresses of the peers with an open socket."""
        return tuple(self._connections)

    def start(self) -> None:
        """Binds the socket and receives on the current loop."""
        socket = self._context.socket(zmq.ROUTER)
        _set_options(socket)
        socket.set(zmq.RCVHWM, RECEIVE_QUEUE_MESSAGES)
        # After a partition a peer reconnects under its identity before the old
        # connection has timed out; without handover its messages would be
        # dropped until then.
        socket.set(zmq.ROUTER_HANDOVER, 1)
        socket.set(zmq.MAXMSGSIZE, messages.FRAME_LIMIT_BYTES)
        socket.bind(f"tcp://{self._peer_address}")
        self._socket = socket
        self._loop = IOLoop.current()
        # Not a ZMQStream, which doubles the cost of reading a heartbeat.
        self._loop.add_handler(socket.fileno(), self._on_readable, IOLoop.READ)
        self._loop.add_callback(self._read)

    def stop(self) -> None:
        """Closes every socket at once; unsent messages are dropped."""
        if self._socket is not None:
            self._loop.remove_handler(self._socket.fileno())
            self._socket.close(linger=0)
            self._socket = None
        for address in tuple(self._connections):
            self._disconnect(address)

    def set_rows(self, rows: Iterable[EntryRow]) -> None:
        """Sets the addresses of the entry table and disconnects all others."""
        addresses = {}
        for row in rows:
            addresses[row.name] = row.peer_address
        self._addresses = addresses
        current = set(addresses.values())
        for address in tuple(self._connections):
            if address not in current:
                self._disconnect(address)

    def send(self, name: str, *parts: NamedTuple) -> bool:
        """Sends to an entry of the table.

        Args:
          name: name of the receiver.
          *parts: messages of registered types. They are the frames of one
            packet and arrive in this order or not at all.

        Returns:
          Whether a connection accepted them; they may still be lost in transit.
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
        """Sends to every entry of the table.

        Returns:
          The number of connections that accepted the message.
        """
        frames = [messages.encode(message)]
        accepted = 0
        for address in self._addresses.values():
            if self._send_frames(address, frames):
                accepted += 1
        return accepted

    def connect(self, name: str) -> None:
        """Opens the connection to an entry of the table before a send."""
        address = self._addresses.get(name)
        if address is not None:
            self._connection(address)

    def _disconnect(self, address: str) -> None:
        connection = self._connections.pop(address, None)
        if connection is not None:
            connection.close(linger=0)

    def _connection(self, address: str) -> zmq.Socket[bytes]:
        connection = self._connections.get(address)
        if connection is not None:
            return connection
        socket = self._context.socket(zmq.DEALER)
        _set_options(socket)
        socket.set(zmq.IDENTITY, self._identity)
        socket.set(zmq.IMMEDIATE, 1)
        socket.set(zmq.SNDHWM, SEND_QUEUE_MESSAGES)
        socket.set(zmq.RECONNECT_IVL, RECONNECT_MIN_MS)
        socket.set(zmq.RECONNECT_IVL_MAX, RECONNECT_MAX_MS)
        socket.connect(f"tcp://{address}")
        self._connections[address] = socket
        return socket

    def _send_frames(self, address: str, frames: list[bytes]) -> bool:
        counts = self._counts
        try:
            self._connection(address).send_multipart(frames, zmq.NOBLOCK)
        except zmq.ZMQError:
            # There is no connection yet, or its queue is full because the peer
            # is dead, slow or partitioned; waiting would stall all other peers.
            # When file descriptors run out, the other peers must still get
            # their messages.
            self._counts = counts._replace(
                dropped_messages=counts.dropped_messages + 1
            )
            return False
        self._counts = counts._replace(
            sent_bytes=counts.sent_bytes + _size_bytes(frames),
            sent_messages=counts.sent_messages + 1,
        )
        return True

    def _on_readable(self, descriptor: int, events: int) -> None:
        del descriptor, events
        self._read()

    def _read(self) -> None:
        """Reads the messages that have arrived.

        The descriptor is edge-triggered: it becomes readable again only after
        all messages have been read. The remaining ones are therefore read in
        the next iteration of the loop.
        """
        for _ in range(MESSAGES_PER_READ):
            if self._socket is None:
                return
            try:
                frames = self._socket.recv_multipart(zmq.NOBLOCK)
            except zmq.Again:
                return
            try:
                self._receive(frames)
            except Exception as error:
                # An error in one message must not stop the reader: this entry
                # would consider every peer silent.
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
            self._handle_frame(name, incarnation, frame)

    def _handle_frame(self, name: str, incarnation: int, frame: bytes) -> None:
        try:
            message = messages.decode(frame)
            self._on_message(name, incarnation, message)
        except AlmondstairError as error:
            # The message or a document in it is corrupt or of another release;
            # the other frames of the packet may be valid.
            self._count_unreadable(error)

    def _count_unreadable(self, error: Exception) -> None:
        counts = self._counts
        self._counts = counts._replace(
            unreadable_messages=counts.unreadable_messages + 1
        )
        now_s = time.monotonic()
        if now_s - self._unreadable_logged_s < UNREADABLE_LOG_INTERVAL_S:
            return
        # A peer of another release sends such messages several times a second.
        self._unreadable_logged_s = now_s
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
