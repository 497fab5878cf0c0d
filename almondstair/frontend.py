"""The two HTTP listeners of an entry: for callers and for other entries."""

import asyncio
from collections.abc import Awaitable
import time

import msgspec
from tornado import httpserver
from tornado import httputil
from tornado import netutil

from almondstair import log
from almondstair.body import RequestBody
from almondstair.calls import Call
from almondstair.calls import CallHandler
from almondstair.core.requests import Progress
from almondstair.core.requests import RequestHead
from almondstair.core.requests import RequestProgress
from almondstair.core.requests import find_request_class
from almondstair.core.requests import parse_deadline_s
from almondstair.core.requests import split_path
from almondstair.core.requests import validate_key
from almondstair.errors import AlmondstairError
from almondstair.errors import ErrorKind
from almondstair.errors import Ran
from almondstair.http_client import CHUNK_BYTES
from almondstair.http_client import MAX_BODY_BYTES
from almondstair.http_client import MAX_BUFFER_BYTES
from almondstair.http_messages import ALONE_HEADER
from almondstair.http_messages import CALLER_ZONE_HEADER
from almondstair.http_messages import DEADLINE_HEADER
from almondstair.http_messages import KEY_HEADER
from almondstair.http_messages import TRACE_HEADER
from almondstair.http_messages import check_request_framing
from almondstair.http_messages import end_to_end_headers
from almondstair.responses import ConnectionResponse

LOOKUP_PATH = "/v1/entries"
# Headers over MAX_HEADER_BYTES get an error response; over this limit the
# connection is closed without one.
HARD_HEADER_LIMIT_BYTES = 512 * 1024
IDLE_CONNECTION_LIMIT_S = 60.0
# How long and how much of a refused body is still read, so that a reset of the
# connection does not reach the caller before it has read the refusal.
DISCARD_LIMIT_S = 2.0
DISCARD_LIMIT_BYTES = 4 << 20
_STREAMING_METHODS = frozenset(("POST", "PUT", "PATCH"))


class RequestListener(httputil.HTTPServerConnectionDelegate):
    """Creates an `IncomingRequest` for each request of each connection.

    Attributes:
      handler: handles the requests.
      own_zone: availability zone of this entry.
      for_entries: whether other entries connect here.
      running_calls: tasks of the calls in flight.
    """

    def __init__(
        self, *, handler: CallHandler, own_zone: str, for_entries: bool
    ) -> None:
        """Creates a listener that is not bound yet.

        Args:
          handler: handles the requests.
          own_zone: availability zone of this entry.
          for_entries: whether other entries connect here.
        """
        self.handler = handler
        self.own_zone = own_zone
        self.for_entries = for_entries
        self.running_calls: set[asyncio.Task[None]] = set()
        self._server: httpserver.HTTPServer | None = None

    def listen(self, address: str) -> None:
        """Binds `ip:port` and starts to serve.

        Raises:
          OSError: the address cannot be bound.
        """
        ip, _, port = address.rpartition(":")
        sockets = netutil.bind_sockets(int(port), address=ip)
        self._server = httpserver.HTTPServer(
            self,
            chunk_size=CHUNK_BYTES,
            max_header_size=HARD_HEADER_LIMIT_BYTES,
            max_body_size=MAX_BODY_BYTES,
            max_buffer_size=MAX_BUFFER_BYTES,
            idle_connection_timeout=IDLE_CONNECTION_LIMIT_S,
        )
        self._server.add_sockets(sockets)

    def end_keep_alive(self) -> None:
        """Sends `Connection: close` with each connection's next response."""
        if self._server is not None:
            self._server.conn_params.no_keep_alive = True

    def stop_listening(self) -> None:
        """Stops accepting connections; open ones stay open."""
        if self._server is not None:
            self._server.stop()

    async def close(self) -> None:
        """Closes all open connections."""
        if self._server is not None:
            await self._server.close_all_connections()

    def start_request(
        self,
        server_conn: object,
        request_conn: httputil.HTTPConnection,
    ) -> httputil.HTTPMessageDelegate:
        """Returns the receiver of a connection's next request."""
        return IncomingRequest(listener=self, connection=request_conn)


class IncomingRequest(httputil.HTTPMessageDelegate):
    """Reads one request and passes it to the handler."""

    def __init__(
        self, *, listener: RequestListener, connection: httputil.HTTPConnection
    ) -> None:
        """Creates the receiver of one request.

        Args:
          listener: the listener that accepted the connection.
          connection: the connection of the request.
        """
        self._listener = listener
        self._connection = connection
        self._response = ConnectionResponse(
            connection=connection, for_entry=listener.for_entries
        )
        self._response.end_connection = self._end_response
        self._body = RequestBody()
        self._call: Call | None = None
        self._task: asyncio.Task[None] | None = None
        self._lookup_service: str | None = None
        self._expects_continue = False
        self._started = False
        self._request_read = False
        self._response_ended = False
        self._body_limit_bytes = 0
        self._discard_timer: asyncio.TimerHandle | None = None
        self._body_timer: asyncio.TimerHandle | None = None

    def headers_received(
        self,
        start_line: httputil.RequestStartLine | httputil.ResponseStartLine,
        headers: httputil.HTTPHeaders,
    ) -> Awaitable[None] | None:
        """Checks the head and starts a call that can start before its body."""
        assert isinstance(start_line, httputil.RequestStartLine)
        self._expects_continue = "Expect" in headers
        if self._expects_continue:
            # tornado recognizes only the lower-case value.
            headers["Expect"] = headers["Expect"].lower()
        self._response.method = start_line.method
        self._response.close_after = self._listener.handler.is_leaving()
        try:
            length = check_request_framing(
                start_line=start_line, headers=headers
            )
        except AlmondstairError as error:
            self._refuse_and_close(error)
            return None
        try:
            self._open_call(start_line, headers, length)
        except AlmondstairError as error:
            self._refuse(error)
            return None
        return self._start_before_body()

    def _open_call(
        self,
        start_line: httputil.RequestStartLine,
        headers: httputil.HTTPHeaders,
        length: int | None,
    ) -> None:
        path, _, query = start_line.path.partition("?")
        if path == LOOKUP_PATH and not self._listener.for_entries:
            self._lookup_service = _service_argument(start_line, query)
            return
        service, service_path = split_path(path=start_line.path)
        request_class = find_request_class(
            configuration=self._listener.handler.configuration(),
            service=service,
            method=start_line.method,
            path=service_path,
        )
        if self._listener.handler.is_refusing():
            raise AlmondstairError(kind=ErrorKind.ENTRY_LEAVING)
        self._body_limit_bytes = request_class.body_limit_bytes
        if length is not None and length > self._body_limit_bytes:
            raise _body_too_large(self._body_limit_bytes)
        if length is None and start_line.method not in _STREAMING_METHODS:
            raise AlmondstairError(
                kind=ErrorKind.BAD_REQUEST,
                detail=f"a {start_line.method} body needs a Content-Length",
            )
        key = headers.get(KEY_HEADER, "")
        head = RequestHead(
            service=service,
            request_class=request_class,
            method=start_line.method,
            path=service_path,
            key=validate_key(request_class=request_class, key=key),
            deadline_s=parse_deadline_s(
                request_class=request_class,
                header=headers.get(DEADLINE_HEADER, ""),
                now_s=time.monotonic(),
            ),
        )
        zone = self._listener.own_zone
        if self._listener.for_entries:
            zone = headers.get(CALLER_ZONE_HEADER, zone)
        from_entry = self._listener.for_entries
        self._call = Call(
            head=head,
            headers=end_to_end_headers(headers=headers),
            body=self._body,
            response=self._response,
            progress=RequestProgress(),
            traceparent=headers.get(TRACE_HEADER, ""),
            caller_zone=zone,
            from_entry=from_entry,
            body_bytes=length or 0,
            isolated=from_entry and ALONE_HEADER in headers,
        )
        if length == 0:
            self._body.end()
            return
        self._body_timer = asyncio.get_running_loop().call_later(
            max(0.0, head.deadline_s - time.monotonic()), self._on_body_timeout
        )

    def _start_before_body(self) -> Awaitable[None] | None:
        """Starts a call whose body waits for `100 Continue`.

        Another entry sends `Expect: 100-continue` before a long body. The call
        is admitted first, so that a refused body does not cross a link.
        """
        if not self._expects_continue or self._call is None:
            return None
        if not self._listener.for_entries:
            return None
        self._body.streaming = True
        self._start()
        assert self._task is not None
        return self._wait_until_admitted()

    async def _wait_until_admitted(self) -> None:
        assert self._call is not None
        assert self._task is not None
        admitted = self._call.response.admitted
        waiter = asyncio.ensure_future(admitted.wait())
        await asyncio.wait(
            (waiter, self._task), return_when=asyncio.FIRST_COMPLETED
        )
        waiter.cancel()

    def data_received(self, chunk: bytes) -> Awaitable[None] | None:
        """Receives a chunk of the body."""
        if self._call is None or self._response_ended:
            self._discard(chunk)
            return None
        size_bytes = self._body.size_bytes + len(chunk)
        if size_bytes > self._body_limit_bytes:
            self._refuse_oversized_body()
            return None
        wait = self._body.put(chunk)
        if not self._started and self._body.exceeds_buffer():
            self._body.streaming = True
            self._start()
        return wait

    def _on_body_timeout(self) -> None:
        """Refuses a request whose body did not arrive before its deadline.

        A call, and with it the check of its deadline, starts when its body is
        complete or larger than the buffer. Without this timer a sender that
        stops before that would keep its connection open forever.
        """
        if self._started or self._response_ended:
            return
        self._body.abort()
        self._call = None
        self._refuse_and_close(
            AlmondstairError(
                kind=ErrorKind.DEADLINE_PASSED,
                detail="the body did not arrive before the deadline",
            )
        )

    def _refuse_oversized_body(self) -> None:
        assert self._call is not None
        error = _body_too_large(self._body_limit_bytes)
        if self._call.progress.may_have_run:
            error = AlmondstairError(
                kind=error.kind, detail=error.detail, ran=Ran.UNKNOWN
            )
        self._body.abort()
        if self._task is not None:
            self._task.cancel()
        self._refuse(error)

    def _discard(self, chunk: bytes) -> None:
        self._body.size_bytes += len(chunk)
        over = self._body.size_bytes > DISCARD_LIMIT_BYTES
        if over and self._discard_timer is not None:
            self._finish_connection()

    def finish(self) -> None:
        """Handles the end of the request."""
        self._request_read = True
        if self._response_ended:
            if self._discard_timer is not None:
                self._finish_connection()
            return
        self._body.end()
        if self._lookup_service is not None:
            self._respond_to_lookup(self._lookup_service)
            return
        if self._call is None:
            return
        self._watch_caller()
        if not self._started:
            self._start()

    def _watch_caller(self) -> None:
        set_close_callback = getattr(
            self._connection, "set_close_callback", None
        )
        if set_close_callback is not None:
            set_close_callback(self._on_caller_disconnect)

    def on_connection_close(self) -> None:
        """Handles a connection closed before the end of its request."""
        if self._body_timer is not None:
            self._body_timer.cancel()
        self._body.abort()
        self._on_caller_disconnect()

    def _on_caller_disconnect(self) -> None:
        """Cancels the call after its caller disconnected.

        A request with an idempotency key that may have started is not cancelled
        if its body is complete: its outcome is recorded and returned to the
        caller's repeat.
        """
        self._response.caller_disconnected = True
        if self._call is None or self._task is None:
            return
        if not self._call.head.key:
            self._task.cancel()
            return
        if self._call.progress.state is not Progress.DISPATCHED:
            self._task.cancel()
            return
        if not self._body.complete:
            self._task.cancel()

    def _start(self) -> None:
        assert self._call is not None
        self._started = True
        if self._body_timer is not None:
            self._body_timer.cancel()
        self._task = asyncio.ensure_future(self._run(self._call))
        self._listener.running_calls.add(self._task)
        self._task.add_done_callback(self._listener.running_calls.discard)

    async def _run(self, call: Call) -> None:
        try:
            await self._listener.handler.handle(call)
        except asyncio.CancelledError:
            raise
        except Exception as error:
            log.event(log.Event.REQUEST_BROKEN, error=error)
            if not call.progress.try_answer():
                self._response.abort()
                return
            ran = Ran.NO
            if call.progress.may_have_run:
                ran = Ran.UNKNOWN
            self._response.send_problem(
                AlmondstairError(kind=ErrorKind.INTERNAL, ran=ran)
            )

    def _respond_to_lookup(self, service: str) -> None:
        context = getattr(self._connection, "context", None)
        caller_ip = getattr(context, "remote_ip", "") or ""
        try:
            body = self._listener.handler.lookup(
                service=service, caller_ip=caller_ip
            )
        except AlmondstairError as error:
            self._refuse(error)
            return
        content = msgspec.json.encode(body)
        headers = httputil.HTTPHeaders(
            {
                "Content-Type": "application/json",
                "Content-Length": str(len(content)),
                "Cache-Control": f"max-age={body['ttl_s']}",
            }
        )
        if self._response.close_after:
            headers["Connection"] = "close"
        start_line = httputil.ResponseStartLine("HTTP/1.1", 200, "OK")
        self._connection.write_headers(start_line, headers, content)
        self._finish_connection()

    def _refuse_and_close(self, error: AlmondstairError) -> None:
        self._response.close_after = True
        self._request_read = True
        self._write_problem(error)

    def _refuse(self, error: AlmondstairError) -> None:
        """Sends an error instead of starting the call or sending its response.

        A body that is still arriving is read and discarded for a while. Closing
        at once would reset the connection, and the caller would see the reset
        instead of the refusal.
        """
        self._call = None
        if not self._response.nothing_sent:
            self._response.abort()
            return
        if self._expects_continue and not self._request_read:
            self._refuse_and_close(error)
            return
        self._write_problem(error)

    def _write_problem(self, error: AlmondstairError) -> None:
        log.event(
            log.Event.REQUEST_REFUSED, kind=str(error.kind), detail=error.detail
        )
        self._response.send_problem(error)

    def _end_response(self) -> None:
        """Ends the exchange, or first discards the rest of the request."""
        self._response_ended = True
        self._body.abort()
        # A sender that still waits for 100 Continue has sent no body.
        awaits_continue = self._expects_continue and self._body.size_bytes == 0
        if self._request_read or awaits_continue:
            self._finish_connection()
            return
        if self._discard_timer is None:
            self._discard_timer = asyncio.get_running_loop().call_later(
                DISCARD_LIMIT_S, self._finish_connection
            )

    def _finish_connection(self) -> None:
        if self._discard_timer is not None:
            self._discard_timer.cancel()
            self._discard_timer = None
        self._connection.finish()


def _service_argument(start_line: httputil.RequestStartLine, query: str) -> str:
    if start_line.method not in ("GET", "HEAD"):
        raise AlmondstairError(
            kind=ErrorKind.BAD_REQUEST, detail="a look-up is a GET"
        )
    arguments = httputil.parse_qs_bytes(query)
    values = arguments.get("service", [])
    if len(values) != 1:
        raise AlmondstairError(
            kind=ErrorKind.BAD_REQUEST,
            detail="give the service once: /v1/entries?service=NAME",
        )
    return values[0].decode("utf-8", "replace")


def _body_too_large(limit_bytes: int) -> AlmondstairError:
    return AlmondstairError(
        kind=ErrorKind.BODY_TOO_LARGE,
        detail=f"the body may have {limit_bytes} bytes",
    )
