"""A caller's connection whose requests a scenario answers by itself."""

import asyncio

from almondstair.gateway.caller_connection import CallerConnection
from almondstair.gateway.caller_connection import RequestHandler
from almondstair.gateway.caller_request import ResponseProgress
from features.support import connection_trace

_PIECE_BYTES = 1000


class _Handler(RequestHandler):
    """Leaves each request to the scenario."""

    # Whether requests end with their callers; then they run until answered.
    cancellable = False

    def __init__(self):
        self.requests = []

    def limits(self):
        return connection_trace.LIMITS

    def is_cancellable(self, request):
        del request
        return self.cancellable

    def record_wait(self, wait):
        del wait

    def refusal(self, request):
        del request

    def record_closed(self, request):
        del request

    async def handle(self, request):
        self.requests.append(request)
        while self.cancellable and request.state is not ResponseProgress.ENDED:
            await asyncio.sleep(0.01)


class _Transport(connection_trace.ScriptedTransport):
    """Knows whether it reads, what it sent and how it ended."""

    reads = True
    sent = b""
    aborted = False
    ended_output = False

    def write(self, data):
        super().write(data)
        self.sent += data

    def write_eof(self):
        self.ended_output = True

    def abort(self):
        super().abort()
        self.aborted = True

    def pause_reading(self):
        self.reads = False

    def resume_reading(self):
        self.reads = True


class CallerRig:
    """A connection in an event loop of its own."""

    def __init__(self, **options):
        """Opens the connection with some options of its own."""
        self.loop = asyncio.new_event_loop()
        self.handler = _Handler()
        self.transport = _Transport([])
        self.run(self._open(options))

    def run(self, work):
        return self.loop.run_until_complete(work)

    async def _open(self, options):
        self.connection = CallerConnection(
            handler=self.handler, connections=set(), **options
        )
        self.connection.connection_made(self.transport)

    def receive(self, data):
        async def feed():
            self.connection.data_received(data)
            await connection_trace.settle()

        self.run(feed())

    def send(self, size_bytes=0):
        """Sends a request and its whole body."""
        self.receive(
            b"POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n"
            % size_bytes
            + b"x" * size_bytes
        )

    def write(self, request):
        """Begins to write a piece of a response; returns the writer."""

        async def begin():
            writer = asyncio.ensure_future(request.write(b"x" * _PIECE_BYTES))
            await connection_trace.settle()
            return writer

        return self.run(begin())

    def timers(self):
        """Returns the timers that have been set and not run."""
        return [
            timer for timer in self.loop._scheduled if not timer.cancelled()
        ]

    def settle(self):
        self.run(connection_trace.settle())

    def close(self):
        async def lose():
            self.connection.connection_lost(None)
            await connection_trace.settle()

        self.run(lose())
        self.loop.close()
