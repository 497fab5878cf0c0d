"""One kept connection to an upstream or to the store, as a client.

Parsing is httptools'. tornado's client takes the next answer on a connection
for the answer to the next request; upstreams here sometimes send a second
answer late, and only the request id that they echo tells whose it is.
"""

import abc
import asyncio
from collections.abc import Callable
import enum
from typing import NamedTuple

import httptools

from almondstair.body import BodyAbortedError
from almondstair.body import RequestBody
from almondstair.clock import now_s
from almondstair.gateway.http_wire import LAST_CHUNK
from almondstair.gateway.http_wire import Headers
from almondstair.gateway.http_wire import ReplyHead
from almondstair.gateway.http_wire import as_chunk
from almondstair.gateway.http_wire import find
from almondstair.gateway.http_wire import has_no_body

# Answers up to this size are held until they are whole, so that a cut or
# spoiled one can still be tried again; longer ones stream.
HOLD_BYTES = 256 * 1024
# A head beyond this size is no answer.
HEAD_LIMIT_BYTES = 64 * 1024
# How often a full write buffer is looked at while a long body is sent.
WRITE_POLL_S = 0.005
# Idle time after which a connection is not used again where the other side
# states none. Shorter than the usual 5 s of servers.
IDLE_LIMIT_S = 4.0
# Part of a stated idle time that is used: the other side's clock started
# earlier, and a request that crosses its close is lost.
IDLE_USED_SHARE = 0.6


class ExchangeEnd(enum.Enum):
    """How an exchange ended.

    Attributes:
      WHOLE: with a whole answer.
      NOT_SENT: no byte of the request was written.
      LOST: the connection ended before an answer began.
      CUT: the answer began and did not end, or was no HTTP.
      CALLER_GONE: the sender of the body went away.
    """

    WHOLE = "whole"
    NOT_SENT = "not_sent"
    LOST = "lost"
    CUT = "cut"
    CALLER_GONE = "caller_gone"


class Exchange(NamedTuple):
    """What became of one request.

    Attributes:
      end: how it ended.
      head: head of the answer, if one came.
      body: its body, empty where it went to the sink.
      streamed: whether the body went to the sink.
    """

    end: ExchangeEnd
    head: ReplyHead | None = None
    body: bytes = b""
    streamed: bool = False


class ReplySink(abc.ABC):
    """Where an answer goes that is too long to be held."""

    @abc.abstractmethod
    def begin(self, head: ReplyHead) -> None:
        """Takes the head of the answer."""

    @abc.abstractmethod
    async def write(self, data: bytes) -> None:
        """Takes a piece of the body; returns when there is room for more."""


class UpstreamConnection(asyncio.Protocol):
    """Sends one request at a time and reads its answer.

    Attributes:
      address: where it leads.
      usable: whether another request may be sent on it.
      on_progress: called with each piece of an answer, if it is set.
    """

    def __init__(self, *, address: str, id_header: bytes = b"") -> None:
        """Makes the protocol of a connection to `address`.

        Args:
          address: `ip:port`.
          id_header: header in which the other side echoes the request's id;
            empty if it does not.
        """
        self.address = address
        self.usable = False
        self.on_progress: Callable[[], None] | None = None
        self._id_header = id_header
        self._transport: asyncio.Transport | None = None
        self._parser = httptools.HttpResponseParser(self)
        self._idle_since_s = 0.0
        self._idle_limit_s = IDLE_LIMIT_S
        self._wait: asyncio.Future[ExchangeEnd] | None = None
        self._request_id = b""
        self._without_body = False
        self._sink: ReplySink | None = None
        self._pump: asyncio.Task[None] | None = None
        self._sink_task: asyncio.Task[None] | None = None
        self._sending = False
        self._caller_gone = False
        self._exchanges = 0
        self._reset_reply()

    def _reset_reply(self) -> None:
        self._headers: Headers = []
        self._head_bytes = 0
        self._head: ReplyHead | None = None
        self._mine = True
        self._in_message = False
        self._until_close = False
        self._held: list[bytes] = []
        self._held_bytes = 0
        self._streamed = False
        self._to_sink: list[bytes] = []

    # Protocol callbacks.

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Takes the open connection."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        self.usable = True
        self._idle_since_s = now_s()

    def data_received(self, data: bytes) -> None:
        """Feeds the parser; bytes that nobody asked for end the connection."""
        if self._wait is None or self._wait.done():
            self.close()
            return
        if self.on_progress is not None:
            self.on_progress()
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError:
            self._broken()

    def eof_received(self) -> bool:
        """The other side ended the connection in order."""
        self.usable = False
        if self._until_close and self._head is not None:
            self._finish(ExchangeEnd.WHOLE)
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """The connection is gone."""
        self.usable = False
        if self._pump is not None:
            self._pump.cancel()
        self._broken()

    def _broken(self) -> None:
        self.close()
        if self._head is not None or self._in_message:
            self._finish(ExchangeEnd.CUT)
            return
        self._finish(ExchangeEnd.LOST)

    # Parser callbacks.

    def on_message_begin(self) -> None:
        """An answer begins."""
        if self._wait is None or self._wait.done():
            # A second answer right behind the first one.
            self.usable = False
            return
        self._reset_reply()
        self._in_message = True

    def on_header(self, name: bytes, value: bytes) -> None:
        """Takes a header; those of a second answer are not the first one's."""
        if not self._waiting():
            return
        self._head_bytes += len(name) + len(value)
        if self._head_bytes > HEAD_LIMIT_BYTES:
            raise httptools.HttpParserError("head too long")
        self._headers.append((name.lower(), value))

    def on_headers_complete(self) -> None:
        """Decides whose answer this is and how it ends."""
        if not self._waiting():
            return
        status = self._parser.get_status_code()
        if status < 200:
            self._mine = False
            return
        if not self._is_mine():
            self._mine = False
            return
        self._mine = True
        self._head = ReplyHead(status=status, headers=self._headers)
        framed = (
            find(self._headers, b"content-length") is not None
            or find(self._headers, b"transfer-encoding") is not None
            or has_no_body(status)
        )
        self._until_close = not framed
        self._read_idle_limit()
        if self._without_body:
            self.usable = False
            self._finish(ExchangeEnd.WHOLE)

    def _is_mine(self) -> bool:
        """Whether an answer belongs to the request that waits.

        What goes wrong without: an upstream sends a second answer to an
        earlier request, late, and the caller of this request gets it. Its id
        tells; one without an id is believed only on a connection that has
        carried no other request.
        """
        if not self._id_header:
            return True
        echoed = find(self._headers, self._id_header)
        if echoed is None:
            return self._exchanges <= 1
        return echoed == self._request_id

    def on_body(self, data: bytes) -> None:
        """Holds a piece of the body, or passes it on."""
        if not self._waiting() or not self._mine:
            return
        self._held_bytes += len(data)
        if self._sink is None or self._held_bytes <= HOLD_BYTES:
            self._held.append(data)
            return
        self._stream(data)

    def on_message_complete(self) -> None:
        """An answer has ended by its own framing."""
        if not self._waiting():
            return
        self._in_message = False
        if not self._mine:
            self._headers = []
            self._head_bytes = 0
            self._head = None
            return
        if not self._parser.should_keep_alive():
            self.usable = False
        self._finish(ExchangeEnd.WHOLE)

    def _waiting(self) -> bool:
        return self._wait is not None and not self._wait.done()

    def _read_idle_limit(self) -> None:
        value = find(self._headers, b"keep-alive")
        if value is None:
            return
        for part in value.split(b","):
            name, _, text = part.strip().partition(b"=")
            if name.lower() == b"timeout" and text.isdigit():
                self._idle_limit_s = int(text) * IDLE_USED_SHARE

    # Streaming of long answers.

    def _stream(self, data: bytes) -> None:
        assert self._sink is not None
        assert self._head is not None
        assert self._transport is not None
        if not self._streamed:
            self._streamed = True
            self._sink.begin(self._head)
            self._to_sink.extend(self._held)
            self._held.clear()
        self._to_sink.append(data)
        if self._sink_task is None or self._sink_task.done():
            self._transport.pause_reading()
            self._sink_task = asyncio.ensure_future(self._drain_to_sink())

    async def _drain_to_sink(self) -> None:
        assert self._sink is not None
        while self._to_sink:
            await self._sink.write(self._to_sink.pop(0))
        if self._transport is not None and not self._transport.is_closing():
            self._transport.resume_reading()

    def _finish(self, end: ExchangeEnd) -> None:
        if self._wait is not None and not self._wait.done():
            self._wait.set_result(end)

    # For the owner of the connection.

    def close(self) -> None:
        """Closes at once; what still arrives is dropped."""
        self.usable = False
        if self._transport is not None:
            self._transport.abort()

    def idle_too_long(self, *, used_share: float = 1.0) -> bool:
        """Whether the other side may be about to close it.

        Args:
          used_share: part of the idle time that may have passed.
        """
        idle_s = now_s() - self._idle_since_s
        return idle_s > self._idle_limit_s * used_share

    async def exchange(
        self,
        *,
        head: bytes,
        body: RequestBody | None = None,
        chunked: bool = False,
        request_id: bytes = b"",
        without_body: bool = False,
        sink: ReplySink | None = None,
    ) -> Exchange:
        """Sends one request and returns what became of it.

        A cancelled call closes the connection, which makes the upstream drop
        the request.

        Args:
          head: the encoded head.
          body: the body, whole or still arriving.
          chunked: whether a body that still arrives is sent in chunks.
          request_id: id that the answer must echo, if it echoes one.
          without_body: whether the answer has no body whatever its head says.
          sink: takes an answer that is too long to be held.
        """
        if not self.usable or self._transport is None:
            return Exchange(end=ExchangeEnd.NOT_SENT)
        self._parser = httptools.HttpResponseParser(self)
        self._exchanges += 1
        self._reset_reply()
        self._request_id = request_id
        self._without_body = without_body
        self._sink = sink
        self._caller_gone = False
        self._wait = asyncio.get_running_loop().create_future()
        try:
            self._send(head, body, chunked)
            end = await self._wait
            if self._sink_task is not None and end is ExchangeEnd.WHOLE:
                await self._sink_task
        except BaseException:
            self.close()
            raise
        finally:
            self._stop_pump()
        if self._sending:
            # The rest of the body is due here before any other request.
            self.close()
        if not self.usable:
            self.close()
        self._idle_since_s = now_s()
        return self._result(end)

    def _result(self, end: ExchangeEnd) -> Exchange:
        if self._caller_gone:
            return Exchange(end=ExchangeEnd.CALLER_GONE)
        return Exchange(
            end=end,
            head=self._head,
            body=b"".join(self._held),
            streamed=self._streamed,
        )

    def _send(
        self, head: bytes, body: RequestBody | None, chunked: bool
    ) -> None:
        assert self._transport is not None
        if body is None:
            self._transport.write(head)
            return
        if body.replayable:
            self._transport.write(head + body.replay())
            return
        self._transport.write(head)
        self._sending = True
        self._pump = asyncio.ensure_future(self._pump_body(body, chunked))

    async def _pump_body(self, body: RequestBody, chunked: bool) -> None:
        assert self._transport is not None
        try:
            while data := await body.read():
                self._transport.write(as_chunk(data) if chunked else data)
                while self._transport.get_write_buffer_size() > HOLD_BYTES:
                    await asyncio.sleep(WRITE_POLL_S)
            if chunked:
                self._transport.write(LAST_CHUNK)
            self._sending = False
        except BodyAbortedError:
            self._caller_gone = True
            self.close()

    def _stop_pump(self) -> None:
        if self._pump is not None and not self._pump.done():
            self._pump.cancel()
        self._pump = None
