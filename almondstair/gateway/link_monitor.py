"""Watches the links of this entry to upstreams, and probes them.

`core/upstream_links.py` decides what the results mean.
"""

import asyncio
from collections.abc import Callable, Iterator
import contextlib
import math
import random
from typing import NamedTuple

from almondstair import log
from almondstair.clock import now_s
from almondstair.core import upstream_links
from almondstair.core.fleet import Fleet
from almondstair.core.upstream_links import LinkState
from almondstair.core.upstream_links import Partition
from almondstair.core.upstream_links import UpstreamLinks
from almondstair.core.upstream_state import UpstreamState
from almondstair.gateway.connection_pool import ConnectionPool
from almondstair.gateway.http_encoding import encode_head
from almondstair.gateway.statement_recorder import StatementRecorder
from almondstair.gateway.upstream_connection import UpstreamConnection

# Longest time for a connection to open, and then for a response to a probe. A
# round trip between the farthest regions takes 0.11 s.
PROBE_CONNECT_S = 0.3
PROBE_RESPONSE_S = 0.5
# Upstreams that are probed at a time.
PROBED_UPSTREAMS = 3
# How often a running check looks for responses to requests.
CHECK_POLL_S = 0.01
# How often the links are watched, and probed during a partition.
WATCH_INTERVAL_S = 0.1
PARTITION_PROBE_S = 0.5
# Links are checked if nothing arrives for this long while several requests are
# in flight, or for longer than expected for a single one.
SILENCE_S = 0.4
OVERDUE_FACTOR = 3.0
# Pause after a check that found silent links to work.
SILENCE_CHECK_PAUSE_S = 2.0
# Links on which nothing has arrived for this long are not trusted with requests
# that must not be sent twice.
QUIET_S = 0.25


class DirectExchange(NamedTuple):
    """A request in flight on a link of this entry.

    Attributes:
      connection: its connection.
      upstream: the upstream that has it.
      repeatable: whether it may be sent again.
      began_s: when it was sent, on the entry's clock, in seconds.
      expected_s: expected time until its response, in seconds.
    """

    connection: UpstreamConnection
    upstream: UpstreamState
    repeatable: bool
    began_s: float
    expected_s: float


class LinkMonitor:
    """Finds out whether this entry reaches upstreams."""

    def __init__(
        self,
        *,
        fleet: Fleet,
        pool: ConnectionPool,
        links: UpstreamLinks,
        statement_recorder: StatementRecorder,
    ) -> None:
        """Creates the monitor of one entry.

        Args:
          fleet: the view of the deployment.
          pool: connections to upstreams.
          links: gets the results.
          statement_recorder: applies what upstreams say of themselves.
        """
        self._fleet = fleet
        self._pool = pool
        self._statement_recorder = statement_recorder
        self.links = links
        self._exchanges: set[DirectExchange] = set()
        self._check: asyncio.Task[None] | None = None
        self._unconfirmed: list[Callable[[], None]] = []
        self._dismissals: list[Callable[[], None]] = []
        self._next_silence_check_s = 0.0

    # What requests show.

    @contextlib.contextmanager
    def tracking(self, exchange: DirectExchange) -> Iterator[None]:
        """Watches a request while it is in flight."""
        upstream_hash = exchange.upstream.name_hash

        def record_received() -> None:
            self.links.record_received(upstream_hash, now_s=now_s())

        exchange.connection.on_progress = record_received
        self._exchanges.add(exchange)
        try:
            yield
        finally:
            exchange.connection.on_progress = None
            self._exchanges.discard(exchange)

    def confirm_failure(
        self,
        upstream: UpstreamState,
        *,
        cause: str,
        since_s: float,
        is_new: bool,
        confirm: Callable[[], None],
        dismiss: Callable[[], None],
    ) -> None:
        """Finds out whether a failure shows more than a failed link.

        Args:
          upstream: the upstream at which something failed.
          cause: what failed, for logs.
          since_s: when the failure began, on the entry's clock, in seconds.
          is_new: whether the upstream was reachable before.
          confirm: called if other upstreams are reachable, so that the failure
            is the upstream's.
          dismiss: called if the entry is partitioned from all upstreams.
        """
        if self.links.is_partitioned:
            dismiss()
            return
        if not is_new and self.links.state is LinkState.WORKING:
            confirm()
            return
        self._unconfirmed.append(confirm)
        self._dismissals.append(dismiss)
        self._begin_check(upstream, cause=cause, since_s=since_s)

    async def settle(self) -> None:
        """Waits until a running check is over, or lasts too long."""
        check = self._check
        if check is None or check.done():
            return
        await asyncio.wait((check,), timeout=upstream_links.SETTLE_S)

    def are_usable(self) -> bool:
        """Returns whether requests should be sent over the own links."""
        return self.links.are_usable(now_s=now_s())

    def are_quiet(self) -> bool:
        """Returns whether requests in flight have got nothing for a while."""
        waiting_since_s = self._waiting_since_s()
        return now_s() - waiting_since_s > QUIET_S

    def _waiting_since_s(self) -> float:
        """Returns since when requests in flight have got nothing."""
        last_received_s = self.links.last_received_s
        since_s = math.inf
        for exchange in self._exchanges:
            if exchange.began_s > last_received_s:
                since_s = min(since_s, exchange.began_s)
        return since_s

    # Checks.

    def _begin_check(
        self, upstream: UpstreamState | None, *, cause: str, since_s: float
    ) -> None:
        if self._check is not None and not self._check.done():
            return
        suspect = 0 if upstream is None else upstream.name_hash
        if not self.links.begin_check(
            suspect=suspect, cause=cause, since_s=since_s, now_s=now_s()
        ):
            return
        self._check = asyncio.ensure_future(self._check_links(suspect))

    async def _check_links(self, suspect: int) -> None:
        sample = self._sample(suspect)
        reachable = True
        try:
            reachable = not sample or await self._any_reachable(sample)
        except Exception as error:
            # Without an end, requests would be kept from the links for good.
            log.event(
                log.Event.ROUND_FAILED, error=error, detail="check of links"
            )
        probed = tuple(upstream.record.upstream_id for upstream in sample)
        if self.links.end_check(reachable=reachable, probed=probed):
            self._start_partition()
        else:
            self._confirm_failures()

    async def _any_reachable(self, sample: list[UpstreamState]) -> bool:
        """Probes one upstream, then a few more, until one answers.

        If time has passed already, all are probed at once.
        """
        if now_s() - self.links.failed_since_s > CHECK_POLL_S:
            return await self._any_answers(sample)
        if await self._any_answers(sample[:1]):
            return True
        return await self._any_answers(sample[1:])

    def _sample(self, suspect: int) -> list[UpstreamState]:
        """Returns upstreams to probe, the nearest one first.

        They are those that were reachable so far; with none left, there is
        nothing to tell a partition from upstreams that have ended.
        """
        candidates = []
        for upstream in self._wanting_requests():
            if upstream.name_hash == suspect:
                continue
            if not upstream.is_unreachable:
                candidates.append(upstream)
        candidates = _without_cold(candidates)
        own_region = self._fleet.own_region
        near = [each for each in candidates if each.region == own_region]
        first = random.sample(near or candidates, min(1, len(candidates)))
        others = [each for each in candidates if each not in first]
        count = min(PROBED_UPSTREAMS - 1, len(others))
        return first + random.sample(others, count)

    def _wanting_requests(self) -> list[UpstreamState]:
        """Returns the upstreams that neither leave nor rest.

        A health check is a request too.
        """
        now = now_s()
        found = []
        for upstream in self._fleet.upstreams():
            if upstream.is_leaving or upstream.rest.is_running(now_s=now):
                continue
            found.append(upstream)
        return found

    async def _any_answers(self, sample: list[UpstreamState]) -> bool:
        """Returns whether one answers a probe, or links prove to work."""
        probes = {asyncio.ensure_future(self._probe(each)) for each in sample}
        try:
            while probes:
                done, probes = await asyncio.wait(
                    probes,
                    timeout=CHECK_POLL_S,
                    return_when=asyncio.FIRST_COMPLETED,
                )
                if any(probe.result() for probe in done):
                    return True
                if self.links.state is LinkState.WORKING:
                    return True
            return False
        finally:
            for probe in probes:
                probe.cancel()

    async def _probe(self, upstream: UpstreamState) -> bool:
        """Returns whether an upstream answers on a new connection."""
        try:
            connection = await self._pool.connect(
                address=upstream.record.address, timeout_s=PROBE_CONNECT_S
            )
        except (OSError, TimeoutError):
            # Event 437 lists the upstreams that no probe has reached.
            return False
        try:
            async with asyncio.timeout(PROBE_RESPONSE_S):
                exchange = await connection.exchange(
                    head=self._probe_head(upstream),
                    on_head=lambda head: self._statement_recorder.record_probe(
                        upstream, head
                    ),
                )
        except TimeoutError:
            # As above; `exchange` has closed the connection.
            return False
        self._pool.release(connection, incarnation=upstream.incarnation)
        return exchange.head is not None

    def _probe_head(self, upstream: UpstreamState) -> bytes:
        path = "/"
        table = self._fleet.table
        if table is not None:
            rule = table.configuration.services.get(upstream.record.service)
            path = rule.health_path if rule is not None else path
        return encode_head(
            f"GET {path} HTTP/1.1".encode("latin-1"),
            [(b"host", upstream.record.address.encode())],
        )

    def _confirm_failures(self) -> None:
        waiting = self._unconfirmed
        self._unconfirmed = []
        self._dismissals = []
        for confirm in waiting:
            confirm()

    # Partitions.

    def _start_partition(self) -> None:
        partition = self.links.partition
        assert partition is not None
        waiting = self._dismissals
        self._unconfirmed = []
        self._dismissals = []
        for dismiss in waiting:
            dismiss()
        log.event(
            log.Event.UPSTREAMS_PARTITIONED,
            upstreams=len(list(self._fleet.upstreams())),
            since_ms=round((now_s() - partition.since_s) * 1000),
            cause=partition.cause,
            probed=list(partition.probed),
            open_silent=partition.is_silent,
        )
        if partition.is_silent:
            self._abandon_exchanges()

    def _abandon_exchanges(self) -> None:
        """Ends requests that may be sent again, as no response will arrive."""
        for exchange in list(self._exchanges):
            if exchange.repeatable:
                exchange.connection.abandon()

    def _end_partition(self) -> None:
        partition: Partition | None = self.links.end_partition()
        if partition is None:
            return
        # Connections that were open during a partition may be silent for good.
        self._pool.close()
        self._fleet.restore_reachability()
        log.event(
            log.Event.UPSTREAMS_REACHABLE,
            lasted_ms=round((now_s() - partition.since_s) * 1000),
        )

    async def run(self) -> None:
        """Watches the links until it is cancelled."""
        while True:
            if self.links.is_partitioned:
                await self._probe_during_partition()
                continue
            await asyncio.sleep(WATCH_INTERVAL_S)
            self._watch_silence(now_s())

    async def _probe_during_partition(self) -> None:
        began_s = now_s()
        candidates = self._registered_lately()
        count = min(PROBED_UPSTREAMS, len(candidates))
        if await self._any_answers(random.sample(candidates, count)):
            self._end_partition()
            return
        left_s = began_s + PARTITION_PROBE_S - now_s()
        await asyncio.sleep(max(WATCH_INTERVAL_S, left_s))

    def _registered_lately(self) -> list[UpstreamState]:
        """Returns the upstreams whose registrations are renewed, or all."""
        upstreams = self._wanting_requests()
        now = now_s()
        renewed = [each for each in upstreams if each.is_renewed(now_s=now)]
        return _without_cold(renewed or upstreams)

    def _watch_silence(self, now: float) -> None:
        """Checks the links if requests in flight get no responses."""
        if now < self._next_silence_check_s:
            return
        since_s = self._waiting_since_s()
        if now - since_s < SILENCE_S:
            return
        waiting = [
            exchange
            for exchange in self._exchanges
            if exchange.began_s >= since_s
        ]
        upstreams = {exchange.upstream.name_hash for exchange in waiting}
        overdue = any(
            now - exchange.began_s > OVERDUE_FACTOR * exchange.expected_s
            for exchange in waiting
        )
        if len(upstreams) < 2 and not overdue:
            return
        self._next_silence_check_s = now + SILENCE_CHECK_PAUSE_S
        self._begin_check(None, cause="no response", since_s=since_s)


def _without_cold(upstreams: list[UpstreamState]) -> list[UpstreamState]:
    """Returns the warm upstreams, or all if there are none."""
    now = now_s()
    warm = [each for each in upstreams if not each.is_cold(now_s=now)]
    return warm or upstreams
