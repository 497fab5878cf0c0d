"""Applies what upstreams say of themselves in the heads of responses."""

from collections import Counter
from collections.abc import Iterable
import math

from almondstair import log
from almondstair.clock import now_s
from almondstair.core.fleet import Fleet
from almondstair.core.statement_reports import ReportedStatements
from almondstair.core.upstream_limits import LimitChange
from almondstair.core.upstream_limits import UpstreamLimits
from almondstair.core.upstream_speed import ServiceSpeeds
from almondstair.core.upstream_state import LeavingSource
from almondstair.core.upstream_state import UpstreamState
from almondstair.core.upstream_statements import ReportedLoad
from almondstair.core.upstream_statements import UnreadableValue
from almondstair.core.upstream_statements import UpstreamStatement
from almondstair.gateway.connection_pool import ConnectionPool
from almondstair.gateway.http_encoding import ResponseHead
from almondstair.platform import headers as names
from almondstair.platform import statements

# Shortest time between two log lines on values that cannot be read.
UNREADABLE_LOG_INTERVAL_S = 30.0
# An upstream with another id than the request names has answered.
_MISDIRECTED = 421
_MS_PER_S = 1000


class StatementRecorder:
    """Applies statements to the view of the fleet and logs their changes.

    Attributes:
      unreadable: number of values that could not be read since the start, by
        header.
    """

    def __init__(
        self,
        *,
        fleet: Fleet,
        pool: ConnectionPool,
        limits: UpstreamLimits,
        speeds: ServiceSpeeds | None = None,
    ) -> None:
        """Creates a recorder.

        Args:
          fleet: the view of the deployment.
          pool: connections to upstreams; those of leaving ones are closed.
          limits: gets the limits that upstreams state.
          speeds: gets the speeds that upstreams state; None if they are not
            kept.
        """
        self._fleet = fleet
        self._pool = pool
        self._limits = limits
        self._speeds = speeds
        self._unreadable_logged_at_s: dict[str, float] = {}
        self.unreadable: Counter[str] = Counter()

    def record_response(
        self, upstream: UpstreamState, head: ResponseHead
    ) -> None:
        """Applies the head of a response to a request for an upstream."""
        if head.status == _MISDIRECTED:
            return
        statement = statements.decode_statement(
            status=head.status, headers=head.headers
        )
        if statement.upstream_id not in ("", upstream.record.upstream_id):
            return
        self._apply(upstream, statement, answered_requests=1)

    def record_probe(self, upstream: UpstreamState, head: ResponseHead) -> None:
        """Applies the head of a response to a health check.

        A health check names no upstream, so that another one may have answered
        at the address.
        """
        statement = statements.decode_statement(
            status=head.status, headers=head.headers
        )
        if statement.upstream_id != upstream.record.upstream_id:
            return
        self._apply(upstream, statement, answered_requests=0)

    def _apply(
        self,
        upstream: UpstreamState,
        statement: UpstreamStatement,
        *,
        answered_requests: int,
    ) -> None:
        """Applies a statement.

        Args:
          upstream: the upstream that made it.
          statement: the statement.
          answered_requests: requests in flight that this response answers.
        """
        now = now_s()
        if statement.load is not None:
            upstream.apply_load(
                statement.load, answered_requests=answered_requests, now_s=now
            )
            self._record_speed(upstream, statement.load, now)
        if statement.states_limit:
            change = self._limits.apply(
                upstream.name_hash, statement.rate_per_s, at_s=now
            )
            if change is not None:
                self.log_limit(change, told=False)
        if statement.is_leaving:
            self._record_leaving(upstream.name_hash, LeavingSource.RESPONSE)
        if statement.rest_s:
            self._record_rest(upstream, statement.rest_s, now)
        for value in statement.unreadable:
            self._log_unreadable(upstream, value, now)

    def _record_speed(
        self, upstream: UpstreamState, load: ReportedLoad, now: float
    ) -> None:
        if self._speeds is None:
            return
        change = self._speeds.record(
            load,
            service=upstream.record.service,
            speed=upstream.speed,
            now_s=now,
        )
        if change is None:
            return
        event = log.Event.SERVICE_RUNS_AS_USUAL
        if change.is_slow:
            event = log.Event.SERVICE_RUNS_SLOWLY
        log.event(
            event,
            service=change.service,
            mean_percent=change.mean_percent,
            before_s=change.for_s,
            upstream=upstream.record.upstream_id,
        )

    def apply_told(self, statements: ReportedStatements) -> None:
        """Applies what upstreams said to another entry."""
        self.record_told_leaving(statements.leaving)

    def record_told_leaving(self, upstreams: Iterable[int]) -> None:
        """Applies that upstreams said to another entry that they leave.

        Args:
          upstreams: hashes of their incarnations.
        """
        for upstream in upstreams:
            self._record_leaving(upstream, LeavingSource.PEER)

    def _record_leaving(self, name: int, source: LeavingSource) -> None:
        upstream = self._fleet.record_leaving(name, source=source)
        if upstream is None:
            return
        self._pool.close_upstream(incarnation=upstream.incarnation)
        log.event(
            log.Event.UPSTREAM_STATES_LEAVING,
            upstream=upstream.record.upstream_id,
            service=upstream.record.service,
            source=str(source),
        )

    def _record_rest(
        self, upstream: UpstreamState, rest_s: float, now: float
    ) -> None:
        if not self._fleet.record_rest(upstream, rest_s=rest_s, now_s=now):
            return
        log.event(
            log.Event.UPSTREAM_STATES_REST,
            upstream=upstream.record.upstream_id,
            service=upstream.record.service,
            rest_s=rest_s,
            kept_ms=round((upstream.rest.resumes_s - now) * 1000),
        )

    def record_relayed_rests(self, rests: Iterable[tuple[int, int]]) -> None:
        """Applies rests that were asked for in answer to relayed requests.

        Another entry got these answers, but the requests were this entry's.

        Args:
          rests: hashes of the upstreams' incarnations, and how long they want
            no requests, in milliseconds.
        """
        for name, rest_ms in rests:
            upstream = self._fleet.upstreams_by_hash.get(name)
            if upstream is not None:
                self._record_rest(upstream, rest_ms / _MS_PER_S, now_s())

    def end_rests(self, *, now: float) -> None:
        """Logs the rests that have ended."""
        for upstream in self._fleet.end_rests(now_s=now):
            log.event(
                log.Event.UPSTREAM_REST_ENDED,
                upstream=upstream.record.upstream_id,
                service=upstream.record.service,
            )

    def _log_unreadable(
        self, upstream: UpstreamState, value: UnreadableValue, now: float
    ) -> None:
        header = value.header
        self.unreadable[header] += 1
        logged_at_s = self._unreadable_logged_at_s.get(header, -math.inf)
        if now - logged_at_s < UNREADABLE_LOG_INTERVAL_S:
            return
        self._unreadable_logged_at_s[header] = now
        event = log.Event.UPSTREAM_STATEMENT_BAD
        if header == names.RATE_LIMIT.decode():
            event = log.Event.UPSTREAM_LIMIT_BAD
        log.event(
            event,
            upstream=upstream.record.upstream_id,
            header=header,
            values=value.values,
            value=value.value,
            unreadable=self.unreadable[header],
        )

    def log_limit(self, change: LimitChange, *, told: bool) -> None:
        """Logs a change of a limit.

        Args:
          change: the change.
          told: whether another entry told of it.
        """
        state = self._fleet.upstreams_by_hash.get(change.upstream)
        log.event(
            log.Event.UPSTREAM_LIMIT_CHANGED,
            upstream=state.record.upstream_id if state else "",
            service=state.record.service if state else "",
            limit_per_s=change.rate_per_s,
            before_per_s=change.before_per_s,
            told=told,
            age_s=round(change.age_s, 3),
        )
