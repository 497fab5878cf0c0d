"""Takes a caller's request to an upstream and its answer back."""

import asyncio

from almondstair import log
from almondstair.clock import now_s
from almondstair.core.choosing import Choice
from almondstair.core.crash_suspects import Standing
from almondstair.core.entry_waits import EntryWaits
from almondstair.core.fleet import Fleet
from almondstair.core.placing import NO_ROOM_RETRY_MS
from almondstair.core.placing import Placing
from almondstair.core.routing import CallerLimits
from almondstair.core.routing import WeightedTurns
from almondstair.core.second_tries import SecondTries
from almondstair.errors import AlmondstairError
from almondstair.errors import ErrorKind
from almondstair.errors import Ran
from almondstair.gateway.call_records import CallRecords
from almondstair.gateway.caller_connection import RequestHandler
from almondstair.gateway.calls import Call
from almondstair.gateway.calls import Try
from almondstair.gateway.calls import Verdict
from almondstair.gateway.calls import reply_head
from almondstair.gateway.crash_words import CrashWords
from almondstair.gateway.incoming import BODY_HOLD_BYTES
from almondstair.gateway.incoming import AnswerWait
from almondstair.gateway.incoming import IncomingRequest
from almondstair.gateway.measures import Measures
from almondstair.gateway.tries import Tries
from almondstair.gateway.upstream_connection import Exchange
from almondstair.gateway.upstream_connection import ExchangeEnd

# What callers may send before the first configuration says.
DEFAULT_LIMITS = CallerLimits(
    header_bytes=16 * 1024,
    body_bytes=64 * 1024 * 1024,
    header_timeout_s=3.0,
    idle_timeout_s=15.0,
)
# How long a request waits for the first listing, and until when after the
# start. A listing takes 0.1 s from the farthest region, and one try at the
# store that is cut off 0.4 s; aims of requests begin at 0.4 s.
KNOW_WAIT_S = 1.0
KNOW_SPAN_S = 2.0
KNOW_POLL_S = 0.02
# When a request comes back whose upstreams may have ended: the entry that lost
# its answers knows by then whether they have.
UNSETTLED_RETRY_MS = 200


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
        tries: Tries,
        second_tries: SecondTries,
        placing: Placing,
        suspects: CrashWords,
        measures: Measures,
    ) -> None:
        """Makes a forwarder.

        Args:
          fleet: what is known of the deployment.
          tries: sends to upstreams.
          second_tries: budget for trying again.
          placing: decides where requests go.
          suspects: requests that may crash upstreams.
          measures: counters and histograms.
        """
        self._fleet = fleet
        self._second_tries = second_tries
        self._placing = placing
        self._suspects = suspects
        self._measures = measures
        self._turns = WeightedTurns()
        self._records = CallRecords(fleet=fleet, measures=measures)
        self._tries = tries
        self._waits = EntryWaits()
        self.running: dict[IncomingRequest, Call] = {}
        self.refusing = False
        self._began_s = now_s()

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
        await self._until_known()
        try:
            call = self._open(request)
        except AlmondstairError as error:
            self._records.refused(request, error)
            request.problem(error)
            return
        self.running[request] = call
        try:
            await self._within_deadline(call)
        except AlmondstairError as error:
            self._records.failed(call, error)
            request.problem(error)
        except asyncio.CancelledError:
            self._records.abandoned(call)
            raise
        except Exception as error:
            log.event(
                log.Event.REQUEST_BROKEN, error=error, request=call.text_id
            )
            request.problem(AlmondstairError(kind=ErrorKind.INTERNAL))
        finally:
            self.running.pop(request, None)

    def note_waited(self, wait: AnswerWait) -> None:
        """Records a ready answer that waited for the one before it."""
        self._records.waited(wait)

    async def _until_known(self) -> None:
        """Waits a moment, right after the start, for the first listing.

        What goes wrong without: every process starts at the same time, callers
        find one listening, and are refused in the 0.1 s before it knows where
        to send; they have no other one to go to and their tries are used up.
        Later on no wait helps, and what cannot be served is refused at once.
        """
        ends_s = min(now_s() + KNOW_WAIT_S, self._began_s + KNOW_SPAN_S)
        while not self._fleet.ready and now_s() < ends_s:
            if self.refusing:
                return
            await asyncio.sleep(KNOW_POLL_S)

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
            choice = await self._place(call)
            if choice is None:
                raise self._no_room(call, cause)
            if call.tried and not self._second_try(call):
                raise self._spent(call, cause)
            self._placing.note_sent(call.asked(), choice, now_s=now_s())
            outcome = await self._tries.send(call, choice)
            self._measures.tries.labels(call.service, outcome.verdict).inc()
            if outcome.verdict is Verdict.ANSWERED:
                self._answer(call, choice, outcome.exchange)
                return
            cause = outcome.cause
            if not _orderly(outcome):
                self._placing.note_disturbed(now_s=now_s())
            self._records.try_failed(call, choice, outcome)
            if not self._may_repeat(call, outcome):
                raise self._spent(call, cause)

    async def _place(self, call: Call) -> Choice | None:
        """Returns the upstream for a call, after a wait where that helps.

        A request that was sent before does not wait: its caller has waited for
        that try, and a second one uses the budget of all.
        """
        choice = self._choice(call)
        if choice is not None or call.tried:
            return choice
        held_bytes = call.request.length
        if held_bytes is None:
            held_bytes = BODY_HOLD_BYTES
        if not self._waits.has_room(body_bytes=held_bytes):
            return None
        with self._waits.place(body_bytes=held_bytes):
            while choice is None and self._waits_on(call):
                await asyncio.sleep(self._waits.look_s)
                choice = self._choice(call)
        return choice

    def _choice(self, call: Call) -> Choice | None:
        """Returns the upstream for a call now, None when none has room.

        Raises:
          AlmondstairError: it may end upstreams, and does not run.
        """
        request = call.fingerprint()
        standing = self._suspects.standing(request)
        if standing in (Standing.UNSETTLED, Standing.REFUSED):
            raise self._quarantined(call, standing)
        call.exposed = self._suspects.exposed(request)
        placed = self._placing.place(call.asked(), now_s=now_s())
        if placed.unsettled:
            raise self._quarantined(call, Standing.UNSETTLED)
        call.held_back = placed.held_back
        return placed.choice

    def _waits_on(self, call: Call) -> bool:
        if call.request.caller_gone:
            return False
        return self._placing.waits_on(call.asked(), now_s=now_s())

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

    @staticmethod
    def _quarantined(call: Call, standing: Standing) -> AlmondstairError:
        if call.may_have_run:
            return AlmondstairError(
                kind=ErrorKind.UPSTREAM_LOST, detail="it may end upstreams"
            )
        if standing is Standing.REFUSED:
            return AlmondstairError(kind=ErrorKind.QUARANTINED)
        return AlmondstairError(
            kind=ErrorKind.QUARANTINED,
            detail="whether it ended upstreams is being found out",
            retry_after_ms=UNSETTLED_RETRY_MS,
        )

    def _no_room(self, call: Call, cause: str) -> AlmondstairError:
        if call.may_have_run:
            return self._spent(call, cause)
        if not self._fleet.takers(call.service):
            return AlmondstairError(
                kind=ErrorKind.NO_UPSTREAM, detail=f"service {call.service}"
            )
        return AlmondstairError(
            kind=ErrorKind.NO_SLOT,
            detail=cause or "",
            retry_after_ms=NO_ROOM_RETRY_MS,
        )

    def _spent(self, call: Call, cause: str) -> AlmondstairError:
        if call.may_have_run:
            return AlmondstairError(
                kind=ErrorKind.UPSTREAM_LOST, detail=cause, ran=Ran.UNKNOWN
            )
        return AlmondstairError(kind=ErrorKind.TRIES_SPENT, detail=cause)

    def _answer(self, call: Call, choice: Choice, exchange: Exchange) -> None:
        assert exchange.head is not None
        if exchange.streamed:
            call.request.end_stream()
        else:
            call.request.reply(reply_head(exchange.head), exchange.body)
        self._records.answered(call, choice, exchange)


def _orderly(outcome: Try) -> bool:
    """Whether an upstream that works as it should said that it is full."""
    if outcome.exchange.end is not ExchangeEnd.WHOLE:
        return False
    return outcome.verdict is Verdict.NOT_RUN
