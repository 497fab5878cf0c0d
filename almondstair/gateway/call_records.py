"""What is logged and counted of each call."""

from almondstair import log
from almondstair.clock import now_s
from almondstair.core.choosing import Choice
from almondstair.core.fleet import Fleet
from almondstair.errors import AlmondstairError
from almondstair.gateway.calls import Call
from almondstair.gateway.calls import Try
from almondstair.gateway.incoming import AnswerWait
from almondstair.gateway.incoming import IncomingRequest
from almondstair.gateway.measures import Measures
from almondstair.gateway.upstream_connection import Exchange
from almondstair.platform import headers as names


class CallRecords:
    """Logs and counts calls, with the inputs that decided."""

    def __init__(self, *, fleet: Fleet, measures: Measures) -> None:
        """Makes the records of one entry.

        Args:
          fleet: whose version and use belong to each line.
          measures: counters and histograms.
        """
        self._fleet = fleet
        self._measures = measures

    def answered(self, call: Call, choice: Choice, exchange: Exchange) -> None:
        """Tells of an upstream's answer."""
        assert exchange.head is not None
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
            queue_ms=round(choice.wait_s * 1000),
            way_ms=round(choice.way_s * 1000),
            aim_ms=round(call.route.aim_s * 1000),
            status=exchange.head.status,
            took_ms=call.age_ms(),
        )

    def _version(self) -> int:
        return self._fleet.table.version if self._fleet.table else 0

    def try_failed(self, call: Call, choice: Choice, outcome: Try) -> None:
        """Tells of a try without an answer to pass on."""
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

    def failed(self, call: Call, error: AlmondstairError) -> None:
        """Tells of a call that ends with an error of the system's own."""
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
            held_back=sorted(call.held_back),
            use=round(self._fleet.use(call.service, now_s=now_s()), 2),
            upstreams=len(self._fleet.takers(call.service)),
            after_ms=call.age_ms(),
            left_ms=round(call.left_s() * 1000),
        )

    def abandoned(self, call: Call) -> None:
        """Tells of a caller that left."""
        self._count(call, "abandoned")
        log.event(
            log.Event.REQUEST_ABANDONED,
            request=call.text_id,
            route=call.route.name,
            service=call.service,
            tried=call.tried,
            after_ms=call.age_ms(),
        )

    def waited(self, wait: AnswerWait) -> None:
        """Tells of a ready answer that waited for the one before it."""
        delivered = str(wait.delivered).lower()
        self._measures.waited_s.labels(delivered).observe(wait.waited_s)
        log.event(
            log.Event.ANSWER_WAITED,
            request=_request_id(wait.request),
            behind=_request_id(wait.behind),
            waited_ms=round(wait.waited_s * 1000),
            delivered=wait.delivered,
        )

    def refused(
        self, request: IncomingRequest, error: AlmondstairError
    ) -> None:
        """Tells of a request that did not become a call."""
        log.event(
            log.Event.GATEWAY_REFUSED,
            request=_request_id(request),
            kind=str(error.kind),
            detail=error.detail,
            version=self._version(),
        )


def _request_id(request: IncomingRequest) -> str:
    return (request.header(names.REQUEST_ID) or b"").decode("latin-1")
