"""Forwards requests to upstreams, with retries, and returns the responses."""

import asyncio
import math

from almondstair import log
from almondstair.clock import now_s
from almondstair.core.caller_ages import has_returned
from almondstair.core.choosing import Choice
from almondstair.core.crash_suspects import CrashVerdict
from almondstair.core.fair_shares import ShareRequest
from almondstair.core.fleet import Fleet
from almondstair.core.organisations import Organisation
from almondstair.core.overload_parts import OverloadPart
from almondstair.core.rate_reports import EntryQuotas
from almondstair.core.request_placer import RequestPlacer
from almondstair.core.return_times import ReturnRequest
from almondstair.core.routing import CallerLimits
from almondstair.core.routing import Route
from almondstair.core.routing import WeightedRoundRobin
from almondstair.core.shared_retry_budget import SharedRetryBudget
from almondstair.errors import AlmondstairError
from almondstair.errors import ErrorKind
from almondstair.errors import Ran
from almondstair.gateway.call_recorder import CallRecorder
from almondstair.gateway.caller_access import find_access
from almondstair.gateway.caller_access import find_relayed_access
from almondstair.gateway.caller_connection import RequestHandler
from almondstair.gateway.caller_request import CallerRequest
from almondstair.gateway.caller_request import ResponseWait
from almondstair.gateway.crash_reports import CrashReports
from almondstair.gateway.forwarded_call import AttemptResult
from almondstair.gateway.forwarded_call import AttemptVerdict
from almondstair.gateway.forwarded_call import ForwardedCall
from almondstair.gateway.forwarded_call import caller_response_head
from almondstair.gateway.gateway_metrics import GatewayMetrics
from almondstair.gateway.link_monitor import LinkMonitor
from almondstair.gateway.memory_guard import MemoryGuard
from almondstair.gateway.overload_control import OverloadControl
from almondstair.gateway.relay_forwarder import RelayForwarder
from almondstair.gateway.relay_messages import RelayedRequest
from almondstair.gateway.slot_waits import PolledWaits
from almondstair.gateway.slot_waits import SlotWaits
from almondstair.gateway.upstream_connection import ExchangeEnd
from almondstair.gateway.upstream_connection import UpstreamExchange
from almondstair.gateway.upstream_sender import UpstreamSender

# Limits on callers' requests before the first configuration.
DEFAULT_LIMITS = CallerLimits(
    header_bytes=16 * 1024,
    body_bytes=64 * 1024 * 1024,
    header_timeout_s=3.0,
    idle_timeout_s=15.0,
)
# How long a request waits for the first listing, and how long after the start
# of the process requests wait at all. A listing takes 0.1 s from the farthest
# region, and an attempt at an unreachable store 0.4 s; latency targets begin at
# 0.4 s.
READY_WAIT_S = 1.0
STARTUP_WINDOW_S = 2.0
READY_POLL_S = 0.02
# Retry-After of a request that may have crashed upstreams: by then, the entry
# that lost its responses knows whether they are gone.
SUSPECT_RETRY_AFTER_MS = 200


class Forwarder(RequestHandler):
    """Chooses an upstream for each request and retries where allowed.

    Attributes:
      in_flight: calls in flight.
      rejecting: whether new requests are rejected, near the end of a stop.
    """

    def __init__(
        self,
        *,
        fleet: Fleet,
        sender: UpstreamSender,
        retry_budget: SharedRetryBudget,
        quotas: EntryQuotas,
        placer: RequestPlacer,
        crash_reports: CrashReports,
        link_monitor: LinkMonitor,
        relay_forwarder: RelayForwarder,
        recorder: CallRecorder,
        metrics: GatewayMetrics,
        overload: OverloadControl,
        memory_guard: MemoryGuard | None = None,
    ) -> None:
        """Creates a forwarder.

        Args:
          fleet: the view of the deployment.
          sender: sends requests to upstreams.
          retry_budget: limits retries.
          quotas: limits the requests of organisations.
          placer: chooses upstreams.
          crash_reports: requests that may crash upstreams.
          link_monitor: watches the links to upstreams.
          relay_forwarder: sends requests through other entries.
          recorder: logs and counts calls.
          metrics: counters and histograms.
          overload: the parts of the scheduling under overload.
          memory_guard: bounds what connections hold; None if nothing does.
        """
        self._memory_guard = memory_guard
        self._fleet = fleet
        self._retry_budget = retry_budget
        self._quotas = quotas
        self._placer = placer
        self._crash_reports = crash_reports
        self._metrics = metrics
        self._service_turns = WeightedRoundRobin()
        self._link_monitor = link_monitor
        self._relay_forwarder = relay_forwarder
        self._recorder = recorder
        self._sender = sender
        self._overload = overload
        self._polled_waits = PolledWaits(
            placer=placer, link_monitor=link_monitor
        )
        self.in_flight: dict[CallerRequest, ForwardedCall] = {}
        self.rejecting = False
        self._started_s = now_s()

    def limits(self) -> CallerLimits:
        """Returns the limits on callers' requests."""
        if self._fleet.table is None:
            return DEFAULT_LIMITS
        return self._fleet.table.configuration.limits

    def is_cancellable(self, request: CallerRequest) -> bool:
        """Returns whether to cancel a request whose caller disconnected.

        A request that is not idempotent and may have started runs to its end.
        """
        call = self.in_flight.get(request)
        if call is None or call.route.kind.idempotent:
            return True
        return not call.may_have_run or not request.fully_read

    async def handle(
        self, request: CallerRequest, relayed: RelayedRequest | None = None
    ) -> None:
        """Responds to a request.

        Args:
          request: the request.
          relayed: what the entry tells that relays it; None if its caller
            reached this entry.
        """
        await self._wait_until_ready()
        try:
            call = self._create_call(request, relayed)
        except AlmondstairError as error:
            self._recorder.record_refused(request, error)
            request.respond_with_problem(error)
            return
        self.in_flight[request] = call
        try:
            await self._within_deadline(call)
        except AlmondstairError as error:
            # The entry that relays a request records its refusal.
            if error.kind is ErrorKind.NO_SLOT and call.relayed is None:
                self._overload.record_no_slot(call.service)
            self._recorder.record_failed(call, error)
            request.respond_with_problem(error)
        except asyncio.CancelledError:
            self._recorder.record_abandoned(call)
            raise
        except Exception as error:
            log.event(
                log.Event.REQUEST_BROKEN, error=error, request=call.log_id
            )
            request.respond_with_problem(
                AlmondstairError(kind=ErrorKind.INTERNAL)
            )
        finally:
            self.in_flight.pop(request, None)
            self._release_quota(call)

    def _release_quota(self, call: ForwardedCall) -> None:
        """Gives back the quota of a request that has not run.

        The quota of a relayed request is held where its caller reached.
        """
        if call.organisation is None or call.relayed is not None:
            return
        if not call.may_have_run:
            self._quotas.release(call.organisation, now_s=now_s())

    def record_wait(self, wait: ResponseWait) -> None:
        """Records a ready response that waited for the preceding one."""
        self._recorder.record_wait(wait)

    def refusal(self, request: CallerRequest) -> AlmondstairError | None:
        """Returns why to refuse a request before its body is read, if so."""
        if self._memory_guard is None:
            return None
        error = self._memory_guard.refusal(request.body_length)
        if error is not None:
            route = self._find_route(request)
            self._recorder.record_refused(request, error, route=route)
        return error

    def record_closed(self, request: CallerRequest) -> None:
        """Records a request whose connection this entry closed."""
        self._recorder.record_closed(request)

    def _find_route(self, request: CallerRequest) -> Route | None:
        table = self._fleet.table
        if table is None:
            return None
        host = (request.header(b"host") or b"").decode("latin-1")
        return table.match(host=host, path=request.target.partition("?")[0])

    async def _wait_until_ready(self) -> None:
        """Waits briefly for the first listing, only just after the start.

        When all processes start at the same time, callers would otherwise be
        rejected in the 0.1 s between listening and the first listing, have no
        other entry to use, and exhaust their attempts. Later, waiting does not
        help, and requests that cannot be served are rejected immediately.
        """
        ends_s = min(now_s() + READY_WAIT_S, self._started_s + STARTUP_WINDOW_S)
        while not self._fleet.ready and now_s() < ends_s:
            if self.rejecting:
                return
            await asyncio.sleep(READY_POLL_S)

    def _create_call(
        self, request: CallerRequest, relayed: RelayedRequest | None
    ) -> ForwardedCall:
        if self.rejecting:
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
        if relayed is None:
            access = find_access(table, route, request.headers)
            if access.organisation is not None:
                self._acquire_quota(access.organisation)
        else:
            access = find_relayed_access(table, route, relayed.organisation)
        service = self._service(access.route, relayed)
        call = ForwardedCall(
            request=request,
            route=access.route,
            service=service,
            organisation=access.organisation,
            hides_key=bool(table.configuration.organisations),
            relayed=relayed,
        )
        call.leaves_regions = self._overload.is_active(OverloadPart.REGIONS)
        if self._overload.recognises_callers():
            self._overload.recognise_caller(call)
        return call

    def _service(self, route: Route, relayed: RelayedRequest | None) -> str:
        """Returns the service for a request, chosen where its caller reached.

        An entry with another version of the configuration may have chosen a
        service that the route does not go to here.
        """
        if relayed is not None:
            for destination in route.destinations:
                if destination.service == relayed.service:
                    return relayed.service
        return self._service_turns.next_service(route=route)

    def _acquire_quota(self, organisation: Organisation) -> None:
        now = now_s()
        decision = self._quotas.acquire(
            organisation,
            membership=self._fleet.membership(now_s=now),
            now_s=now,
        )
        if not decision.granted:
            raise AlmondstairError(
                kind=ErrorKind.OVER_QUOTA,
                detail=f"{organisation.name} {decision.reason}",
                retry_after_ms=round(decision.retry_after_s * 1000),
            )

    async def _within_deadline(self, call: ForwardedCall) -> None:
        if call.remaining_s() <= 0:
            raise AlmondstairError(kind=ErrorKind.DEADLINE_PASSED)
        try:
            async with asyncio.timeout(max(0.0, call.remaining_s())):
                await self._serve(call)
        except TimeoutError as error:
            if call.may_have_run:
                raise AlmondstairError(
                    kind=ErrorKind.UPSTREAM_TIMEOUT
                ) from error
            raise self._no_answer_error(call) from error

    async def _serve(self, call: ForwardedCall) -> None:
        if call.relayed is None:
            self._record_request(call)
            self._check_share(call)
        cause = ""
        while True:
            if self._needs_relay(call):
                cause = await self._relay(call, cause)
            else:
                cause = await self._send_directly(call, cause)
            if not cause:
                return

    async def _send_directly(self, call: ForwardedCall, cause: str) -> str:
        """Sends a call to an upstream over this entry's own link.

        Args:
          call: the call.
          cause: why its last attempt failed.

        Returns:
          Why the call may be sent again; empty if its caller has a response.
        """
        choice = await self._waits().choose(call, self._choose_upstream)
        if choice is None:
            if self._needs_relay(call):
                return cause or "no upstream is reachable"
            raise self._no_capacity_error(call, cause)
        if call.is_retry and not self._acquire_retry(call):
            self._placer.release(choice, now_s=now_s())
            self._overload.waits.record_freed(choice.upstream)
            raise self._attempts_spent_error(call, cause)
        self._placer.record_sent(
            call.placement_request(), choice, now_s=now_s()
        )
        try:
            outcome = await self._sender.send(call, choice)
        finally:
            self._overload.waits.record_freed(choice.upstream)
        self._metrics.attempts.labels(call.service, outcome.verdict).inc()
        if outcome.verdict is AttemptVerdict.ANSWERED:
            self._overload.record_answered(call.service)
            self._send_response(call, choice, outcome.exchange)
            return ""
        call.request.withdraw_response()
        if not _is_orderly_refusal(outcome):
            self._placer.record_disruption(now_s=now_s())
        self._recorder.record_failed_attempt(call, choice, outcome)
        if not self._may_retry(call, outcome.verdict):
            raise self._attempts_spent_error(call, outcome.cause)
        await self._link_monitor.settle()
        if not _is_orderly_refusal(outcome):
            self._overload.waits.record_change()
        return outcome.cause

    def _record_request(self, call: ForwardedCall) -> None:
        now = now_s()
        self._retry_budget.record_request(
            service=call.service,
            membership=self._fleet.membership(now_s=now),
            now_s=now,
        )

    def _needs_relay(self, call: ForwardedCall) -> bool:
        """Returns whether only another entry can send a call to an upstream.

        Raises:
          AlmondstairError: it was relayed to this entry, which has no upstream.
        """
        if self._link_monitor.are_usable() and not self._fleet.needs_relay(
            call.service,
            allowed_regions=call.route.allowed_regions,
            now_s=now_s(),
        ):
            return False
        if call.relayed is None:
            return True
        if call.is_retry:
            raise self._attempts_spent_error(call, "no upstream is reachable")
        raise AlmondstairError(kind=ErrorKind.ENTRY_CUT_OFF)

    async def _relay(self, call: ForwardedCall, cause: str) -> str:
        """Sends a call through another entry.

        Returns:
          Why the call may be sent again; empty if its caller has a response.
        """
        if call.is_retry and not self._acquire_retry(call):
            raise self._attempts_spent_error(call, cause)
        if await self._relay_forwarder.serve(call):
            return ""
        if not self._may_retry(call, AttemptVerdict.UNKNOWN):
            raise self._attempts_spent_error(call, "relayed response lost")
        return "relayed response lost"

    def _waits(self) -> SlotWaits:
        """Returns the waits that the configuration calls for."""
        if self._overload.is_active(OverloadPart.WAITING):
            return self._overload.waits
        return self._polled_waits

    def _check_share(self, call: ForwardedCall) -> None:
        """Refuses a call whose organisation uses more than its share.

        Raises:
          AlmondstairError: `over_fair_share`.
        """
        if not self._overload.is_active(OverloadPart.SHARES):
            return
        organisation = call.organisation
        decision = self._overload.shares.acquire(
            ShareRequest(
                service=call.service,
                organisation="" if organisation is None else organisation.name,
                priority=call.route.priority,
                has_returned=has_returned(call.caller_age_s),
            ),
            now_s=now_s(),
        )
        if not decision.admitted:
            raise AlmondstairError(
                kind=ErrorKind.OVER_FAIR_SHARE,
                detail=decision.reason,
                retry_after_ms=self._retry_after_ms(call),
                uses_default_retry=False,
            )

    def _retry_after_ms(self, call: ForwardedCall) -> int | None:
        """Returns when the caller of a refused call should return."""
        decision = self._overload.returns().decide(
            ReturnRequest(
                service=call.service,
                route=call.route.name,
                priority=call.route.priority,
                target_latency_s=call.route.target_latency_s,
                caller_left_s=call.caller_left_s(),
                has_returned=call.has_returned,
            ),
            now_s=now_s(),
        )
        call.return_basis = str(decision.basis)
        self._overload.log_turns()
        return decision.retry_after_ms

    def _choose_upstream(self, call: ForwardedCall) -> Choice | None:
        """Returns the upstream for a call, None when none has capacity.

        Raises:
          AlmondstairError: the request may crash upstreams and is not run.
        """
        request = call.fingerprint()
        standing = self._crash_reports.verdict(request)
        if standing in (CrashVerdict.PENDING, CrashVerdict.REFUSED):
            raise self._quarantine_error(call, standing)
        call.possibly_crashed = self._crash_reports.possibly_crashed(request)
        placed = self._placer.place(call.placement_request(), now_s=now_s())
        if placed.pending:
            raise self._quarantine_error(call, CrashVerdict.PENDING)
        call.excluded_regions = placed.excluded_regions
        return placed.choice

    def _acquire_retry(self, call: ForwardedCall) -> bool:
        now = now_s()
        allowed = self._retry_budget.try_acquire(
            service=call.service,
            membership=self._fleet.membership(now_s=now),
            now_s=now,
        )
        self._metrics.retries.labels(call.service, str(allowed).lower()).inc()
        return allowed

    def _may_retry(self, call: ForwardedCall, verdict: AttemptVerdict) -> bool:
        if call.request.response_fixed or call.request.caller_disconnected:
            return False
        if call.attempts >= call.route.attempts:
            return False
        body = call.request.body
        if body.consumed:
            return False
        if verdict is AttemptVerdict.UNKNOWN:
            return call.route.kind.idempotent
        return True

    @staticmethod
    def _quarantine_error(
        call: ForwardedCall, standing: CrashVerdict
    ) -> AlmondstairError:
        if call.may_have_run:
            return AlmondstairError(
                kind=ErrorKind.UPSTREAM_LOST,
                detail="it may end upstreams",
            )
        if standing is CrashVerdict.REFUSED:
            return AlmondstairError(kind=ErrorKind.QUARANTINED)
        return AlmondstairError(
            kind=ErrorKind.QUARANTINED,
            detail="whether it ended upstreams is being found out",
            retry_after_ms=SUSPECT_RETRY_AFTER_MS,
        )

    def _no_capacity_error(
        self, call: ForwardedCall, cause: str
    ) -> AlmondstairError:
        if call.may_have_run:
            return self._attempts_spent_error(call, cause)
        if not self._fleet.eligible_upstreams(call.service):
            leaving = self._fleet.leaving_count(call.service)
            return AlmondstairError(
                kind=ErrorKind.NO_UPSTREAM,
                detail=f"service {call.service}, {leaving} are leaving",
            )
        request = call.placement_request()
        opens_s = self._placer.rest_ends_s(request, now_s=now_s())
        if opens_s is not None:
            returns_s = self._placer.assign_return_s(request, opens_s=opens_s)
            return AlmondstairError(
                kind=ErrorKind.UPSTREAMS_RESTING,
                detail=cause,
                retry_after_ms=math.ceil((returns_s - now_s()) * 1000),
            )
        if self._placer.limits_refuse(
            request, excluded_regions=call.excluded_regions
        ):
            refusals = call.limit_refusals
            return AlmondstairError(
                kind=ErrorKind.UPSTREAMS_LIMITED,
                detail=f"{len(refusals.upstreams)} upstreams",
                retry_after_ms=round(refusals.retry_after_s * 1000),
            )
        return AlmondstairError(
            kind=ErrorKind.NO_SLOT,
            detail=cause or call.wait_end,
            retry_after_ms=self._retry_after_ms(call),
            uses_default_retry=False,
        )

    def _no_answer_error(self, call: ForwardedCall) -> AlmondstairError:
        """Returns the refusal of a call that has not run in its time."""
        detail = "no answer in time"
        if not self._overload.is_active(OverloadPart.RETURNS):
            return AlmondstairError(kind=ErrorKind.NO_SLOT, detail=detail)
        return AlmondstairError(
            kind=ErrorKind.NO_SLOT,
            detail=detail,
            retry_after_ms=self._retry_after_ms(call),
            uses_default_retry=False,
        )

    def _attempts_spent_error(
        self, call: ForwardedCall, cause: str
    ) -> AlmondstairError:
        if call.may_have_run:
            return AlmondstairError(
                kind=ErrorKind.UPSTREAM_LOST, detail=cause, ran=Ran.UNKNOWN
            )
        return AlmondstairError(kind=ErrorKind.TRIES_SPENT, detail=cause)

    def _send_response(
        self, call: ForwardedCall, choice: Choice, exchange: UpstreamExchange
    ) -> None:
        assert exchange.head is not None
        if exchange.streamed:
            call.request.end_stream()
        else:
            call.request.respond(
                caller_response_head(exchange.head), exchange.body
            )
        self._recorder.record_response(call, choice, exchange)


def _is_orderly_refusal(outcome: AttemptResult) -> bool:
    """Returns whether a working upstream rejected the request as full."""
    if outcome.exchange.end is not ExchangeEnd.COMPLETE:
        return False
    return outcome.verdict is AttemptVerdict.NOT_RUN
