"""Takes a caller's request to an upstream and its answer back."""

import asyncio
from collections.abc import Collection
import enum
from typing import NamedTuple

from almondstair import log
from almondstair.clock import now_s
from almondstair.core.choosing import Choice
from almondstair.core.choosing import Wanted
from almondstair.core.choosing import choose
from almondstair.core.cold_starts import ColdStarts
from almondstair.core.fleet import Fleet
from almondstair.core.routing import CallerLimits
from almondstair.core.routing import Route
from almondstair.core.routing import WeightedTurns
from almondstair.core.run_times import RunTimes
from almondstair.core.second_tries import SecondTries
from almondstair.errors import AlmondstairError
from almondstair.errors import ErrorKind
from almondstair.errors import Ran
from almondstair.gateway.caller_connection import IncomingRequest
from almondstair.gateway.caller_connection import RequestHandler
from almondstair.gateway.http_wire import Headers
from almondstair.gateway.http_wire import ReplyHead
from almondstair.gateway.http_wire import find
from almondstair.gateway.http_wire import passed_on
from almondstair.gateway.http_wire import write_head
from almondstair.gateway.measures import Measures
from almondstair.gateway.upstream_connection import Exchange
from almondstair.gateway.upstream_connection import ExchangeEnd
from almondstair.gateway.upstream_connection import ReplySink
from almondstair.gateway.upstream_connection import UpstreamConnection
from almondstair.gateway.upstream_pool import UpstreamPool
from almondstair.platform import headers as names

# Longest time for a new connection. A round trip between the farthest regions
# is 0.11 s; an upstream that needs longer than twice that is not there.
CONNECT_TIMEOUT_S = 0.3
# Round trip to another region before the first connection to it.
FIRST_ROUND_TRIP_S = 0.05
# What callers may send before the first configuration says.
DEFAULT_LIMITS = CallerLimits(
    header_bytes=16 * 1024,
    body_bytes=64 * 1024 * 1024,
    header_timeout_s=3.0,
    idle_timeout_s=15.0,
)
# Deadline where a caller states none, in seconds.
DEFAULT_DEADLINE_S = 30.0
# Statuses that promise that a request has not run. Only an upstream's certain
# word makes them true; without it they are answered as an unknown outcome.
_PROMISES = frozenset((408, 421, 429, 503))
_MISDIRECTED = 421
_SUCCESS = range(200, 300)
_SERVER_ERROR = 500
_OWN_REQUEST_HEADERS = frozenset((names.DEADLINE, names.EXPECTED_UPSTREAM))
_OWN_REPLY_HEADERS = frozenset((names.LOAD, names.COLD_LEFT, names.NOT_RUN))


class Verdict(enum.StrEnum):
    """What a try at an upstream came to.

    Attributes:
      ANSWERED: its answer goes to the caller.
      NOT_RUN: it certainly did not run the request.
      UNKNOWN: it may have run it, and there is no whole answer.
    """

    ANSWERED = "answered"
    NOT_RUN = "not_run"
    UNKNOWN = "unknown"


class Try(NamedTuple):
    """One try at an upstream.

    Attributes:
      verdict: what it came to.
      exchange: what came back.
      cause: why there is no answer, for logs and errors.
    """

    verdict: Verdict
    exchange: Exchange
    cause: str = ""


class Call:
    """A request under way.

    Attributes:
      request: the caller's request.
      request_id: its id.
      route: its route.
      service: the service that takes it.
      deadline_s: when its caller or the operator gives up on it.
      tried: upstreams that were asked.
      attempts: upstreams that had it; another incarnation at an upstream's
        address had it not.
      may_have_run: whether an upstream may have run it.
    """

    def __init__(
        self, *, request: IncomingRequest, route: Route, service: str
    ) -> None:
        """Makes a call from a request whose head has been read."""
        self.request = request
        self.route = route
        self.service = service
        self.request_id = request.header(names.REQUEST_ID) or b""
        caller_s = DEFAULT_DEADLINE_S
        stated = request.header(names.DEADLINE)
        if stated is not None:
            caller_s = names.read_milliseconds(stated) or DEFAULT_DEADLINE_S
        self.deadline_s = request.arrived_s + min(caller_s, route.timeout_s)
        self.tried: list[str] = []
        self.attempts = 0
        self.may_have_run = False

    @property
    def key(self) -> str:
        """Returns the key by which the request is placed."""
        key = self.request.header(names.KEY)
        if key is None or not self.route.by_key:
            return self.request_id.decode("latin-1")
        return key.decode("latin-1")

    @property
    def text_id(self) -> str:
        """Returns the request's id for logs."""
        return self.request_id.decode("latin-1", "replace")

    def left_s(self) -> float:
        """Returns the time left, in seconds."""
        return self.deadline_s - now_s()


class Forwarder(RequestHandler):
    """Finds an upstream for each request and tries again where it may.

    Attributes:
      running: calls under way.
      refusing: whether new requests are refused, near the end of a stop.
    """

    def __init__(
        self,
        *,
        fleet: Fleet,
        pool: UpstreamPool,
        second_tries: SecondTries,
        cold_starts: ColdStarts,
        measures: Measures,
        own_region: str,
        regions: Collection[str],
    ) -> None:
        """Makes a forwarder.

        Args:
          fleet: what is known of the deployment.
          pool: connections to upstreams.
          second_tries: budget for trying again.
          cold_starts: bound on requests to cold upstreams.
          measures: counters and histograms.
          own_region: region of this entry.
          regions: every region.
        """
        self._fleet = fleet
        self._pool = pool
        self._second_tries = second_tries
        self._cold_starts = cold_starts
        self._measures = measures
        self._turns = WeightedTurns()
        self._run_times = RunTimes()
        self._round_trips_s: dict[str, float] = {}
        for region in regions:
            if region != own_region:
                self._round_trips_s[region] = FIRST_ROUND_TRIP_S
        self.running: dict[IncomingRequest, Call] = {}
        self.refusing = False

    def limits(self) -> CallerLimits:
        """Returns what callers may send."""
        if self._fleet.table is None:
            return DEFAULT_LIMITS
        return self._fleet.table.configuration.limits

    def cancellable(self, request: IncomingRequest) -> bool:
        """Whether work for a caller that is gone should stop.

        Work that must not repeat and may have started goes on to its end.
        """
        call = self.running.get(request)
        if call is None or call.route.kind.idempotent:
            return True
        return not call.may_have_run or not request.read

    async def handle(self, request: IncomingRequest) -> None:
        """Answers a request."""
        try:
            call = self._open(request)
        except AlmondstairError as error:
            self._log_refusal(request, error)
            request.problem(error)
            return
        self.running[request] = call
        try:
            await self._within_deadline(call)
        except AlmondstairError as error:
            self._log_failure(call, error)
            request.problem(error)
        except asyncio.CancelledError:
            self._log_abandoned(call)
            raise
        except Exception as error:
            log.event(
                log.Event.REQUEST_BROKEN, error=error, request=call.text_id
            )
            request.problem(AlmondstairError(kind=ErrorKind.INTERNAL))
        finally:
            self.running.pop(request, None)

    def _open(self, request: IncomingRequest) -> Call:
        if self.refusing:
            raise AlmondstairError(kind=ErrorKind.ENTRY_LEAVING)
        table = self._fleet.table
        if table is None or not self._fleet.ready:
            raise AlmondstairError(kind=ErrorKind.ENTRY_NOT_READY)
        host = (request.header(b"host") or b"").decode("latin-1")
        path = request.target.partition("?")[0]
        route = table.match(host=host, path=path)
        if route is None:
            raise AlmondstairError(
                kind=ErrorKind.UNKNOWN_PATH,
                detail=f"no route for {host}{path} in version {table.version}",
            )
        service = self._turns.next_service(route=route)
        return Call(request=request, route=route, service=service)

    async def _within_deadline(self, call: Call) -> None:
        try:
            async with asyncio.timeout(max(0.0, call.left_s())):
                await self._serve(call)
        except TimeoutError as error:
            if call.may_have_run:
                raise AlmondstairError(
                    kind=ErrorKind.UPSTREAM_TIMEOUT
                ) from error
            raise AlmondstairError(
                kind=ErrorKind.NO_SLOT, detail="no answer in time"
            ) from error

    async def _serve(self, call: Call) -> None:
        self._second_tries.note_request(service=call.service, now_s=now_s())
        cause = ""
        while True:
            choice = self._choose(call)
            if choice is None:
                raise self._no_room(call, cause)
            if call.tried and not self._second_try(call):
                raise self._spent(call, cause)
            outcome = await self._try(call, choice)
            self._measures.tries.labels(call.service, outcome.verdict).inc()
            if outcome.verdict is Verdict.ANSWERED:
                self._answer(call, choice, outcome.exchange)
                return
            cause = outcome.cause
            self._log_try(call, choice, outcome)
            if not self._may_repeat(call, outcome):
                raise self._spent(call, cause)

    def _choose(self, call: Call) -> Choice | None:
        assert self._fleet.table is not None
        services = self._fleet.table.configuration.services
        now = now_s()
        route = call.route
        times = self._run_times
        aim_s = route.aim_s
        wanted = Wanted(
            route=route,
            service=services.get(call.service),
            tried=call.tried,
            warm_places=times.warm_places(
                service=call.service, key=call.key, now_s=now
            ),
            expected=times.expected(route=route.name, aim_s=aim_s),
            service_s=times.service_s(service=call.service, default_s=aim_s),
            use=self._fleet.use(call.service, now_s=now),
            aim_left_s=call.request.arrived_s + aim_s - now,
            left_s=call.left_s(),
            round_trips_s=self._round_trips_s,
            entry_names=self._fleet.entry_names,
            joined=self._fleet.joined(now_s=now),
            peers_heard=self._fleet.peers_heard,
            now_s=now,
        )
        return choose(
            order=self._fleet.order(service=call.service, key=call.key),
            wanted=wanted,
            cold_starts=self._cold_starts,
        )

    def _second_try(self, call: Call) -> bool:
        now = now_s()
        return self._second_tries.take(
            service=call.service,
            entries=len(self._fleet.entry_names),
            joined=self._fleet.joined(now_s=now),
            now_s=now,
        )

    def _may_repeat(self, call: Call, outcome: Try) -> bool:
        if call.request.answered or call.request.caller_gone:
            return False
        if call.attempts >= call.route.attempts:
            return False
        body = call.request.body
        if body.consumed:
            return False
        if outcome.verdict is Verdict.UNKNOWN:
            return call.route.kind.idempotent
        return True

    def _no_room(self, call: Call, cause: str) -> AlmondstairError:
        if call.may_have_run:
            return self._spent(call, cause)
        if not self._fleet.takers(call.service):
            return AlmondstairError(
                kind=ErrorKind.NO_UPSTREAM, detail=f"service {call.service}"
            )
        return AlmondstairError(
            kind=ErrorKind.NO_SLOT, detail=cause or "", retry_after_ms=150
        )

    def _spent(self, call: Call, cause: str) -> AlmondstairError:
        if call.may_have_run:
            return AlmondstairError(
                kind=ErrorKind.UPSTREAM_LOST, detail=cause, ran=Ran.UNKNOWN
            )
        return AlmondstairError(kind=ErrorKind.TRIES_SPENT, detail=cause)

    # One try.

    async def _try(self, call: Call, choice: Choice) -> Try:
        upstream = choice.upstream
        call.tried.append(upstream.record.upstream_id)
        now = now_s()
        if upstream.cold(now_s=now):
            self._cold_starts.note_sent(
                upstream_id=upstream.record.upstream_id, now_s=now
            )
        upstream.note_sent()
        try:
            connection = await self._connection(call, choice)
            if connection is None:
                # Nothing was sent, so the upstream did not have it.
                call.tried.pop()
                return Try(
                    Verdict.NOT_RUN,
                    Exchange(end=ExchangeEnd.NOT_SENT),
                    "upstream unreachable",
                )
            call.attempts += 1
            ran_before = call.may_have_run
            call.may_have_run = True
            exchange = await self._timed_exchange(call, choice, connection)
        finally:
            upstream.note_ended()
        outcome = self._judge(call, choice, exchange)
        if outcome.verdict is Verdict.NOT_RUN:
            call.may_have_run = ran_before
        return outcome

    async def _connection(
        self, call: Call, choice: Choice
    ) -> UpstreamConnection | None:
        record = choice.upstream.record
        connection = self._pool.take_idle(
            upstream_id=record.upstream_id,
            repeatable=call.route.kind.idempotent,
        )
        if connection is not None:
            return connection
        began_s = now_s()
        try:
            connection = await self._pool.connect(
                address=record.address, timeout_s=CONNECT_TIMEOUT_S
            )
            self._note_round_trip(choice.upstream.region, now_s() - began_s)
            return connection
        except (OSError, TimeoutError) as error:
            choice.upstream.note_unreachable(now_s=now_s())
            log.event(
                log.Event.UPSTREAM_UNREACHABLE,
                upstream=record.upstream_id,
                address=record.address,
                detail=str(error) or "no answer to a connection",
            )
            return None

    async def _timed_exchange(
        self, call: Call, choice: Choice, connection: UpstreamConnection
    ) -> Exchange:
        """Sends the request and learns from how long it took."""
        began_s = now_s()
        answered = False
        try:
            exchange = await self._exchange(call, choice, connection)
            head = exchange.head
            answered = head is not None and head.status in _SUCCESS
            return exchange
        except asyncio.CancelledError:
            answered = True
            raise
        finally:
            self._measures.run_s.labels(call.service).observe(now_s() - began_s)
            if answered:
                self._note_run(call, choice, now_s() - began_s)

    def _note_run(self, call: Call, choice: Choice, took_s: float) -> None:
        upstream = choice.upstream
        now = now_s()
        way_s = self._round_trips_s.get(upstream.region, 0.0)
        wait_s = choice.expected_s - choice.run_s - way_s
        run_s = max(0.001, took_s - way_s)
        upstream.note_run(
            run_s=run_s, expected_s=choice.run_s + wait_s, now_s=now
        )
        if call.route.by_key:
            self._run_times.note_served(
                service=call.service,
                key=call.key,
                upstream_id=upstream.record.upstream_id,
                now_s=now,
            )
        if choice.waits:
            # How much of it was the wait is a guess, and would spoil the mean.
            return
        self._run_times.note_run(
            service=call.service,
            route=call.route.name,
            warm=choice.warm,
            run_s=run_s,
        )

    def _note_round_trip(self, region: str, sample_s: float) -> None:
        before_s = self._round_trips_s.get(region, sample_s)
        self._round_trips_s[region] = before_s + 0.2 * (sample_s - before_s)

    async def _exchange(
        self, call: Call, choice: Choice, connection: UpstreamConnection
    ) -> Exchange:
        request = call.request
        upstream_id = choice.upstream.record.upstream_id
        chunked = request.length is None and not request.body.replayable
        exchange = await connection.exchange(
            head=self._head(call, upstream_id, chunked),
            body=request.body if request.length != 0 else None,
            chunked=chunked,
            request_id=call.request_id,
            without_body=request.method == "HEAD",
            sink=_Passing(request),
        )
        self._pool.give_back(connection, upstream_id=upstream_id)
        return exchange

    def _head(self, call: Call, upstream_id: str, chunked: bool) -> bytes:
        request = call.request
        headers: Headers = passed_on(
            request.headers, without=_OWN_REQUEST_HEADERS
        )
        left_ms = max(1, int(call.left_s() * 1000))
        headers.append((names.DEADLINE, b"%d" % left_ms))
        headers.append((names.EXPECTED_UPSTREAM, upstream_id.encode()))
        if chunked:
            headers.append((b"transfer-encoding", b"chunked"))
        elif request.length != 0:
            size_bytes = request.length
            if request.body.replayable:
                size_bytes = request.body.size_bytes
            headers.append((b"content-length", b"%d" % (size_bytes or 0)))
        elif request.header(b"content-length") is not None:
            headers.append((b"content-length", b"0"))
        first_line = f"{request.method} {request.target} HTTP/1.1"
        return write_head(first_line.encode("latin-1"), headers)

    def _judge(self, call: Call, choice: Choice, exchange: Exchange) -> Try:
        upstream = choice.upstream
        head = exchange.head
        if exchange.end is ExchangeEnd.NOT_SENT:
            return Try(Verdict.NOT_RUN, exchange, "connection closed")
        if exchange.end is not ExchangeEnd.WHOLE or head is None:
            # Whether it is gone shows at the next connection; an upstream that
            # merely loses answers goes on to be used, but less.
            upstream.note_answer(good=False, now_s=now_s())
            return Try(
                Verdict.UNKNOWN, exchange, f"answer {exchange.end.value}"
            )
        self._note_load(upstream_headers=head.headers, choice=choice)
        cause = _doubt(head)
        if head.status == _MISDIRECTED:
            self._misdirected(choice)
            call.attempts -= 1
            return Try(Verdict.NOT_RUN, exchange, "upstream replaced")
        if find(head.headers, names.NOT_RUN) is not None:
            upstream.note_answer(good=False, now_s=now_s())
            return Try(Verdict.NOT_RUN, exchange, f"refused {head.status}")
        if cause:
            return Try(Verdict.UNKNOWN, exchange, cause)
        upstream.note_answer(good=head.status < _SERVER_ERROR, now_s=now_s())
        return Try(Verdict.ANSWERED, exchange)

    def _note_load(self, *, upstream_headers: Headers, choice: Choice) -> None:
        value = find(upstream_headers, names.LOAD)
        if value is None:
            return
        told = names.read_load(value)
        if told is not None:
            choice.upstream.take_load(told, now_s=now_s())

    def _misdirected(self, choice: Choice) -> None:
        upstream_id = choice.upstream.record.upstream_id
        self._fleet.misdirected(upstream_id, now_s=now_s())
        self._pool.forget(upstream_id=upstream_id)
        log.event(log.Event.UPSTREAM_GONE, upstream=upstream_id)

    def _answer(self, call: Call, choice: Choice, exchange: Exchange) -> None:
        assert exchange.head is not None
        if exchange.streamed:
            call.request.end_stream()
        else:
            call.request.reply(_reply_head(exchange.head), exchange.body)
        record = choice.upstream.record
        self._count(call, f"status_{exchange.head.status}")
        log.event(
            log.Event.REQUEST_ANSWERED,
            request=call.text_id,
            route=call.route.name,
            version=self._version(),
            upstream=record.upstream_id,
            availability_zone=record.availability_zone,
            key=call.key if call.route.by_key else "",
            tries=len(call.tried),
            place=choice.place,
            busy=round(choice.busy, 1),
            warm=choice.warm,
            expected_ms=round(choice.expected_s * 1000),
            status=exchange.head.status,
            took_ms=self._age_ms(call),
        )

    def _version(self) -> int:
        return self._fleet.table.version if self._fleet.table else 0

    # Logs.

    def _log_try(self, call: Call, choice: Choice, outcome: Try) -> None:
        log.event(
            log.Event.TRY_FAILED,
            request=call.text_id,
            upstream=choice.upstream.record.upstream_id,
            verdict=str(outcome.verdict),
            cause=outcome.cause,
            left_ms=round(call.left_s() * 1000),
        )

    def _count(self, call: Call, outcome: str) -> None:
        took_s = now_s() - call.request.arrived_s
        self._measures.requests.labels(call.route.name, outcome).inc()
        self._measures.latency_s.labels(outcome).observe(took_s)

    def _log_failure(self, call: Call, error: AlmondstairError) -> None:
        self._count(call, str(error.kind))
        what = log.Event.GATEWAY_REFUSED
        if call.may_have_run:
            what = log.Event.REQUEST_FAILED
        log.event(
            what,
            request=call.text_id,
            route=call.route.name,
            service=call.service,
            version=self._version(),
            kind=str(error.kind),
            detail=error.detail,
            tried=call.tried,
            use=round(self._fleet.use(call.service, now_s=now_s()), 2),
            upstreams=len(self._fleet.takers(call.service)),
            after_ms=self._age_ms(call),
            left_ms=round(call.left_s() * 1000),
        )

    def _log_abandoned(self, call: Call) -> None:
        self._count(call, "abandoned")
        log.event(
            log.Event.REQUEST_ABANDONED,
            request=call.text_id,
            route=call.route.name,
            service=call.service,
            tried=call.tried,
            after_ms=self._age_ms(call),
        )

    @staticmethod
    def _age_ms(call: Call) -> int:
        return round((now_s() - call.request.arrived_s) * 1000)

    def _log_refusal(
        self, request: IncomingRequest, error: AlmondstairError
    ) -> None:
        request_id = request.header(names.REQUEST_ID) or b""
        log.event(
            log.Event.GATEWAY_REFUSED,
            request=request_id.decode("latin-1"),
            kind=str(error.kind),
            detail=error.detail,
            version=self._version(),
        )


def _doubt(head: ReplyHead) -> str:
    """Returns why an answer must not reach the caller, empty if it may."""
    if head.status in _PROMISES:
        # The upstream does not say that it did not run the request, and the
        # caller would take the status for just that.
        return f"status {head.status}"
    if head.status in _SUCCESS and find(head.headers, names.SEAL) is None:
        return "answer without signature"
    return ""


def _reply_head(head: ReplyHead) -> ReplyHead:
    return ReplyHead(
        status=head.status,
        headers=passed_on(head.headers, without=_OWN_REPLY_HEADERS),
    )


class _Passing(ReplySink):
    """Passes a long answer on, without the headers of one hop."""

    def __init__(self, request: IncomingRequest) -> None:
        self._request = request

    def begin(self, head: ReplyHead) -> None:
        self._request.begin(_reply_head(head))

    async def write(self, data: bytes) -> None:
        await self._request.write(data)
