"""Log lines and metrics of each call."""

from typing import Any

from almondstair import log
from almondstair.clock import now_s
from almondstair.core.choosing import Choice
from almondstair.core.fleet import Fleet
from almondstair.core.overload_records import OverloadRecords
from almondstair.core.overload_records import RequestClass
from almondstair.core.registered_entries import Entry
from almondstair.core.routing import Route
from almondstair.errors import AlmondstairError
from almondstair.errors import ErrorKind
from almondstair.gateway.caller_request import CallerRequest
from almondstair.gateway.caller_request import ResponseWait
from almondstair.gateway.caller_request import WriteWait
from almondstair.gateway.forwarded_call import AttemptResult
from almondstair.gateway.forwarded_call import ForwardedCall
from almondstair.gateway.gateway_metrics import GatewayMetrics
from almondstair.gateway.upstream_connection import UpstreamExchange
from almondstair.platform import headers as names

# Upstreams in a log line whose limits refused a request.
_MAX_LOGGED_REFUSALS = 8
# Errors of requests that were refused for lack of capacity.
_OVERLOAD_KINDS = frozenset(
    (ErrorKind.NO_SLOT, ErrorKind.TRIES_SPENT, ErrorKind.OVER_FAIR_SHARE)
)


class CallRecorder:
    """Logs and counts calls, with the inputs of each routing decision."""

    def __init__(
        self,
        *,
        fleet: Fleet,
        metrics: GatewayMetrics,
        records: OverloadRecords,
    ) -> None:
        """Creates the recorder of one entry.

        Args:
          fleet: supplies the configuration version and the slot utilisation.
          metrics: counters and histograms.
          records: counts of requests under overload.
        """
        self._fleet = fleet
        self._metrics = metrics
        self._records = records

    def record_response(
        self, call: ForwardedCall, choice: Choice, exchange: UpstreamExchange
    ) -> None:
        """Records an upstream's response."""
        assert exchange.head is not None
        record = choice.upstream.record
        self._count(call, f"status_{exchange.head.status}")
        log.event(
            log.Event.REQUEST_ANSWERED,
            request=call.log_id,
            route=call.route.name,
            version=self._configuration_version(),
            upstream=record.upstream_id,
            availability_zone=record.availability_zone,
            key=call.key if call.route.key_affinity else "",
            tries=len(call.tried),
            place=choice.position,
            busy=round(choice.load, 1),
            warm=choice.warm,
            limited=_refusing_upstreams(call),
            relayed_by=_relaying_entry(call),
            expected_ms=round(choice.expected_s * 1000),
            queue_ms=round(choice.wait_s * 1000),
            way_ms=round(choice.round_trip_s * 1000),
            aim_ms=round(call.route.target_latency_s * 1000),
            status=exchange.head.status,
            took_ms=call.age_ms(),
        )

    def record_relayed(
        self, call: ForwardedCall, entry: Entry, status: int
    ) -> None:
        """Records the response of an upstream that another entry reached.

        The other entry logs which upstream it was, and why.
        """
        self._count(call, f"status_{status}")
        log.event(
            log.Event.REQUEST_ANSWERED,
            request=call.log_id,
            route=call.route.name,
            version=self._configuration_version(),
            through=entry.name,
            key=call.key if call.route.key_affinity else "",
            tries=1 + len(call.tried) + call.lost_relays,
            aim_ms=round(call.route.target_latency_s * 1000),
            status=status,
            took_ms=call.age_ms(),
        )

    def record_failed_relay(
        self, call: ForwardedCall, entry: Entry, error: AlmondstairError
    ) -> None:
        """Records that another entry returned no upstream's response."""
        log.event(
            log.Event.TRY_FAILED,
            request=call.log_id,
            through=entry.name,
            verdict=str(error.ran),
            cause=f"{error.kind}: {error.detail}",
            left_ms=round(call.remaining_s() * 1000),
        )

    def _configuration_version(self) -> int:
        return self._fleet.table.version if self._fleet.table else 0

    def record_failed_attempt(
        self, call: ForwardedCall, choice: Choice, outcome: AttemptResult
    ) -> None:
        """Records an attempt without a response that can be passed on."""
        log.event(
            log.Event.TRY_FAILED,
            request=call.log_id,
            upstream=choice.upstream.record.upstream_id,
            verdict=str(outcome.verdict),
            cause=outcome.cause,
            relayed_by=_relaying_entry(call),
            left_ms=round(call.remaining_s() * 1000),
        )

    def _count(self, call: ForwardedCall, outcome: str) -> None:
        took_s = now_s() - call.request.arrived_s
        self._metrics.requests.labels(call.route.name, outcome).inc()
        self._metrics.latency_s.labels(outcome).observe(took_s)
        refusals = len(call.limit_refusals.upstreams)
        if refusals:
            self._metrics.limit_refusals.labels(call.service).inc(refusals)

    def record_failed(
        self, call: ForwardedCall, error: AlmondstairError
    ) -> None:
        """Records a call that ends with an error of the gateway."""
        self._count(call, str(error.kind))
        if error.kind in _OVERLOAD_KINDS and not call.may_have_run:
            requests = RequestClass(call.service, call.route.priority)
            self._records.record_refused(requests, reason=str(error.kind))
        event = log.Event.GATEWAY_REFUSED
        if call.may_have_run:
            event = log.Event.REQUEST_FAILED
        log.event(
            event,
            request=call.log_id,
            route=call.route.name,
            service=call.service,
            version=self._configuration_version(),
            kind=str(error.kind),
            detail=error.detail,
            tried=call.tried,
            held_back=sorted(call.excluded_regions),
            limited=_refusing_upstreams(call),
            relayed_by=_relaying_entry(call),
            use=round(self._fleet.utilisation(call.service, now_s=now_s()), 2),
            upstreams=len(self._fleet.eligible_upstreams(call.service)),
            priority=call.route.priority,
            retry_after_ms=error.retry_after_ms,
            return_basis=call.return_basis,
            after_ms=call.age_ms(),
            left_ms=round(call.remaining_s() * 1000),
            **_write_wait(call.request),
        )

    def record_abandoned(self, call: ForwardedCall) -> None:
        """Records a call whose caller disconnected."""
        self._count(call, "abandoned")
        log.event(
            log.Event.REQUEST_ABANDONED,
            request=call.log_id,
            route=call.route.name,
            service=call.service,
            tried=call.tried,
            relayed_by=_relaying_entry(call),
            after_ms=call.age_ms(),
            **_write_wait(call.request),
            **_closing_cause(call.request),
        )

    def record_closed(self, request: CallerRequest) -> None:
        """Records a request whose connection this entry closed.

        It is not a call yet, or its response was complete but not read.
        """
        log.event(
            log.Event.REQUEST_ABANDONED,
            request=_request_id(request),
            after_ms=round((now_s() - request.arrived_s) * 1000),
            **_closing_cause(request),
        )

    def record_wait(self, wait: ResponseWait) -> None:
        """Records a ready response that waited for the preceding one."""
        delivered = str(wait.delivered).lower()
        self._metrics.response_wait_s.labels(delivered).observe(wait.waited_s)
        log.event(
            log.Event.ANSWER_WAITED,
            request=_request_id(wait.request),
            behind=_request_id(wait.behind),
            waited_ms=round(wait.waited_s * 1000),
            delivered=wait.delivered,
        )

    def record_refused(
        self,
        request: CallerRequest,
        error: AlmondstairError,
        *,
        route: Route | None = None,
    ) -> None:
        """Records a request that was rejected before it became a call.

        Args:
          request: the request.
          error: why it was rejected.
          route: its route, if it was rejected for lack of capacity.
        """
        if route is not None:
            requests = RequestClass(
                route.destinations[0].service, route.priority
            )
            self._records.record_refused(requests, reason=str(error.kind))
            self._metrics.requests.labels(route.name, str(error.kind)).inc()
        log.event(
            log.Event.GATEWAY_REFUSED,
            request=_request_id(request),
            kind=str(error.kind),
            detail=error.detail,
            version=self._configuration_version(),
        )


def _refusing_upstreams(call: ForwardedCall) -> list[str]:
    """Returns the upstreams whose limits refused a call."""
    return sorted(call.limit_refusals.upstreams)[:_MAX_LOGGED_REFUSALS]


def _relaying_entry(call: ForwardedCall) -> str:
    """Returns the entry that relays a call, empty if its caller came here."""
    return "" if call.relayed is None else call.relayed.entry


def _write_wait(request: CallerRequest) -> dict[str, Any]:
    """Returns log fields on what the writing of a response waited for."""
    if request.write_wait is WriteWait.NOTHING:
        return {}
    return {
        "write_wait": str(request.write_wait),
        "unsent_bytes": request.unsent_bytes(),
        "written_bytes": request.written_bytes,
    }


def _closing_cause(request: CallerRequest) -> dict[str, Any]:
    """Returns why this entry closed the connection, empty if it did not."""
    if not request.closed_by_entry:
        return {}
    return {"cause": request.closed_by_entry}


def _request_id(request: CallerRequest) -> str:
    return (request.header(names.REQUEST_ID) or b"").decode("latin-1")
