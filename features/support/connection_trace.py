"""What connections do with their transports in one scripted exchange."""

import asyncio
import hashlib

from almondstair.body import RequestBody
from almondstair.core.routing import CallerLimits
from almondstair.gateway.caller_connection import CallerConnection
from almondstair.gateway.caller_connection import RequestHandler
from almondstair.gateway.http_encoding import ResponseHead
from almondstair.gateway.upstream_connection import WRITE_POLL_S
from almondstair.gateway.upstream_connection import UpstreamConnection
from almondstair.gateway.upstream_connection import UpstreamResponseSink

LIMITS = CallerLimits(16_384, 1 << 24, 3.0, 15.0)
_HEAD = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n"
_BODY_SIZES_BYTES = (0, 1000, 65_537, 400_000, 600_000)
_CHUNK_BYTES = 50_000


class ScriptedTransport(asyncio.Transport):
    """Records what a protocol calls; its other side reads in steps."""

    def __init__(self, trace):
        """Creates a transport that is open; `trace` gets what is called."""
        super().__init__()
        self._trace = trace
        self._unread_bytes = 0
        self.closing = False

    def set_protocol(self, protocol):
        """Leaves the protocol as it is: a scenario feeds it directly."""

    def is_closing(self):
        return self.closing

    def write(self, data):
        digest = hashlib.sha256(data).hexdigest()[:8]
        self._trace.append(f"write {len(data)} {digest}")
        self._unread_bytes += len(data)

    def read_all(self):
        self._unread_bytes = 0

    def get_write_buffer_size(self):
        return self._unread_bytes

    def set_write_buffer_limits(self, high=None, low=None):
        self._trace.append(f"limits {high} {low}")

    def pause_reading(self):
        self._trace.append("pause")

    def resume_reading(self):
        self._trace.append("resume")

    def close(self):
        self._trace.append("close")

    def abort(self):
        self._trace.append("abort")


class _Handler(RequestHandler):
    """Reads streamed bodies and echoes how requests arrived."""

    def __init__(self, trace):
        self._trace = trace

    def limits(self):
        return LIMITS

    def is_cancellable(self, request):
        del request
        return True

    def record_wait(self, wait):
        del wait

    def refusal(self, request):
        del request

    def record_closed(self, request):
        self._trace.append(f"closed {request.target}")

    async def handle(self, request):
        body = request.body
        self._trace.append(f"handle {body.replayable} {body.digest()}")
        while not body.replayable and (data := await body.read()):
            self._trace.append(f"body {len(data)}")
        size = b"%d" % body.size_bytes
        request.respond(ResponseHead(status=200, headers=[]), size)


class _Sink(UpstreamResponseSink):
    def __init__(self, trace):
        self._trace = trace

    def begin(self, head):
        self._trace.append(f"begin {head.status}")

    async def write(self, data):
        self._trace.append(f"sink {len(data)}")
        await asyncio.sleep(0)


async def settle():
    for _ in range(20):
        await asyncio.sleep(0)


async def _call(trace, **options):
    connection = CallerConnection(
        handler=_Handler(trace), connections=set(), **options
    )
    transport = ScriptedTransport(trace)
    connection.connection_made(transport)
    for size_bytes in _BODY_SIZES_BYTES:
        connection.data_received(
            b"POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n"
            % size_bytes
        )
        for start in range(0, size_bytes, _CHUNK_BYTES):
            connection.data_received(
                b"x" * min(_CHUNK_BYTES, size_bytes - start)
            )
            if start % (3 * _CHUNK_BYTES) == 0:
                await settle()
        await settle()
        transport.read_all()
    connection.connection_lost(None)


async def _exchange(trace, response_bytes, memory, **options):
    connection = UpstreamConnection(address="a:1", **options)
    transport = ScriptedTransport(trace)
    connection.connection_made(transport)
    body = RequestBody(limit_bytes=512 * 1024)
    body.put(b"y" * 400_000)
    body.end()
    exchanging = asyncio.ensure_future(
        connection.exchange(
            head=b"POST /x HTTP/1.1\r\n\r\n",
            body=body,
            sink=_Sink(trace),
            **({} if memory is None else {"memory": memory}),
        )
    )
    await settle()
    transport.read_all()
    connection.data_received(_HEAD % response_bytes)
    for start in range(0, response_bytes, _CHUNK_BYTES):
        connection.data_received(
            b"z" * min(_CHUNK_BYTES, response_bytes - start)
        )
        if start % (3 * _CHUNK_BYTES) == 0:
            await settle()
    result = await exchanging
    trace.append(f"{result.end} {len(result.body)} {result.streamed}")


class _Unjoined(RequestBody):
    def content(self):
        raise AssertionError("the body is copied")


async def _send_buffered(guard, chunk_bytes):
    trace = []
    connection = UpstreamConnection(address="a:1", memory_guard=guard)
    transport = ScriptedTransport(trace)
    connection.connection_made(transport)
    body = _Unjoined(limit_bytes=512 * 1024)
    for size_bytes in chunk_bytes:
        body.put(b"y" * size_bytes)
    body.end()
    exchanging = asyncio.ensure_future(
        connection.exchange(
            head=b"POST /x HTTP/1.1\r\n\r\n",
            body=body,
            memory=guard.open_caller(None).open_exchange(),
        )
    )
    await settle()
    transport.read_all()
    await asyncio.sleep(4 * WRITE_POLL_S)
    connection.data_received(_HEAD % 0)
    await exchanging
    return trace


def send_buffered(guard, chunk_bytes):
    """Sends a buffered body to an upstream that reads it.

    Args:
      guard: bounds what is held.
      chunk_bytes: sizes of the parts in which the body has arrived.

    Returns:
      What the connection to the upstream did.
    """
    return asyncio.run(_send_buffered(guard, chunk_bytes))


async def _run(guard):
    trace = []
    options = {} if guard is None else {"memory_guard": guard}
    await _call(trace, **options)
    for response_bytes in (10, 65_537, 250_000, 1_000_000):
        memory = None
        if guard is not None:
            memory = guard.open_caller(None).open_exchange()
        await _exchange(trace, response_bytes, memory, **options)
    return trace


def run(guard=None):
    """Returns what a caller's and an upstream's connection did.

    Args:
      guard: bounds what they hold; None if the part is off.
    """
    return asyncio.run(_run(guard))


def digest(trace):
    """Returns a digest of a trace."""
    return hashlib.sha256("\n".join(trace).encode()).hexdigest()[:16]
