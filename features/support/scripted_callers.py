"""Connections of callers whose requests end when a scenario says so."""

import asyncio

from almondstair.errors import AlmondstairError
from almondstair.errors import ErrorKind
from almondstair.gateway import caller_connection
from almondstair.gateway.caller_connection import CallerConnection
from almondstair.gateway.caller_connection import RequestHandler
from almondstair.gateway.http_encoding import ResponseHead
from features.support import connection_trace

_STREAMED_BYTES = 100_000
_OK = ResponseHead(status=200, headers=[])


class ScriptedHandler(RequestHandler):
    """Responds to each request once it is released."""

    def __init__(self, trace):
        """Starts without requests; `trace` gets what is recorded."""
        self._trace = trace
        self.released = asyncio.Event()
        self.refuses_large = False

    def limits(self):
        return connection_trace.LIMITS

    def is_cancellable(self, request):
        del request
        return False

    def record_wait(self, wait):
        del wait

    def refusal(self, request):
        if self.refuses_large and request.body_length:
            return AlmondstairError(kind=ErrorKind.ENTRY_MEMORY_FULL)
        return None

    def record_closed(self, request):
        self._trace.append(f"closed {request.target}")

    async def handle(self, request):
        if request.target == "/streamed":
            request.begin(_OK)
            await request.write(b"x" * _STREAMED_BYTES)
            return
        await self.released.wait()
        request.respond(_OK, b"body")


class ScriptedCaller:
    """One connection of a caller."""

    def __init__(self, guard):
        """Opens the connection.

        Args:
          guard: bounds what it holds.
        """
        self.trace = []
        self.handler = ScriptedHandler(self.trace)
        self.transport = connection_trace.ScriptedTransport(self.trace)
        self.connection = CallerConnection(
            handler=self.handler, connections=set(), memory_guard=guard
        )
        self.connection.connection_made(self.transport)

    async def send(self, path, *, length_bytes=0, sent_bytes=0):
        """Sends a request, or the first bytes of one."""
        self.connection.data_received(
            f"POST {path} HTTP/1.1\r\nHost: h\r\n"
            f"Content-Length: {length_bytes}\r\n\r\n".encode()
        )
        if sent_bytes:
            self.connection.data_received(b"x" * sent_bytes)
        await connection_trace.settle()

    async def release(self):
        """Lets the handler respond."""
        self.handler.released.set()
        await connection_trace.settle()


async def _disconnect(guard):
    caller = ScriptedCaller(guard)
    await caller.send("/x", length_bytes=1_000_000, sent_bytes=600_000)
    caller.transport.closing = True
    caller.connection.connection_lost(None)
    await caller.release()


def disconnect(guard):
    """Ends a request after its caller has disconnected in its body."""
    asyncio.run(_disconnect(guard))


async def _close_unread(guard):
    caller = ScriptedCaller(guard)
    await caller.release()
    await caller.send("/read")
    caller.transport.read_all()
    await caller.send("/streamed")
    caller.connection.close_for_memory("cause")
    return caller.trace


def close_unread(guard):
    """Closes a connection whose second response is not read.

    Returns:
      What the connection did.
    """
    return asyncio.run(_close_unread(guard))


async def _refuse_behind(guard):
    caller = ScriptedCaller(guard)
    await caller.send("/first")
    caller.handler.refuses_large = True
    await caller.send("/large", length_bytes=100_000)
    await asyncio.sleep(2 * caller_connection.DISCARD_TIMEOUT_S)
    caller.trace.append("release")
    await caller.release()
    await asyncio.sleep(2 * caller_connection.DISCARD_TIMEOUT_S)
    return caller.trace


def refuse_behind(guard):
    """Refuses a request behind one that runs.

    Returns:
      What the connection did.
    """
    return asyncio.run(_refuse_behind(guard))
