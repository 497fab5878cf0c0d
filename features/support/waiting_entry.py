"""An entry whose calls wait in order, without connections."""

import asyncio
from unittest import mock

from almondstair.clock import now_s
from almondstair.core import wait_queue
from almondstair.core.cold_start_limiter import ColdStartLimiter
from almondstair.core.fleet import Fleet
from almondstair.core.known_places import CachedLocations
from almondstair.core.limit_reports import LimitReports
from almondstair.core.overload_records import OverloadRecords
from almondstair.core.region_reports import RegionReports
from almondstair.core.region_shares import RegionShareLimiter
from almondstair.core.request_placer import RequestPlacer
from almondstair.core.routing import CallerLimits
from almondstair.core.routing import Destination
from almondstair.core.routing import Route
from almondstair.core.routing import RouteKind
from almondstair.core.routing import RoutingConfiguration
from almondstair.core.routing import ServiceRule
from almondstair.core.run_times import RunTimes
from almondstair.core.upstream_limiter import UpstreamLimiter
from almondstair.core.upstream_state import LeavingSource
from almondstair.core.upstream_state import UpstreamRecord
from almondstair.core.upstream_statements import ReportedLoad
from almondstair.errors import AlmondstairError
from almondstair.gateway.forwarded_call import ForwardedCall
from almondstair.gateway.slot_waits import OrderedWaits

_SLOTS = 4
_LIMITS = CallerLimits(16_384, 1 << 20, 3.0, 15.0)


def _configuration(version, name):
    route = Route(
        name=name,
        hostname="h",
        prefix="/",
        kind=RouteKind.UNSAFE,
        target_latency_s=1.0,
        timeout_s=5.0,
        attempts=2,
        priority=2,
        key_affinity=True,
        destinations=(Destination("s", 1),),
        allowed_regions=(),
    )
    rules = {"s": ServiceRule("s", "/", 1000, 0.0, 0.0)}
    return RoutingConfiguration(version, _LIMITS, (route,), rules)


def _request():
    return mock.Mock(
        arrived_s=now_s(),
        body_length=0,
        caller_disconnected=False,
        header=mock.Mock(return_value=None),
    )


class WaitingEntry:
    """Waits of calls for one full upstream, on a loop of its own.

    Attributes:
      tries: attempts to place a call.
      sent: calls that got a slot.
      released: slots that were given back.
      records: counts of the waits.
    """

    def __init__(self):
        """Starts with a full upstream and no calls."""
        self._loop = asyncio.new_event_loop()
        # As for requests below two higher priorities: no queue at upstreams.
        self._no_queue = mock.patch.object(wait_queue, "QUEUE_RUNS", (0.0,))
        self._no_queue.start()
        self.tries = 0
        self.sent = 0
        self.released = 0
        self._sent_at_s = []
        self._tasks = []
        self._calls = []
        self.records = OverloadRecords()
        fleet = Fleet(own_name="e", own_region="r", zones={"z": "r"})
        self._fleet = fleet
        fleet.apply_configuration(_configuration(1, "first"))
        record = UpstreamRecord("u", "s", "a:1", "z", "v", _SLOTS, False, 0.0)
        fleet.apply_upstream(record, now_s=now_s())
        fleet.mark_loaded()
        [self._upstream] = fleet.eligible_upstreams("s")
        self._upstream.in_flight = _SLOTS
        self._placer = self._make_placer()
        self._links = mock.Mock(**{"are_usable.return_value": True})
        self._waits = OrderedWaits(
            fleet=fleet,
            placer=self._placer,
            link_monitor=self._links,
            records=self.records,
        )
        fleet.on_change = self._waits.record_change

    def _make_placer(self):
        limiter = RegionShareLimiter(own_region="r", max_change=0.15)
        reports = RegionReports(own_name="e", limiter=limiter)
        reports.set_regions(self._fleet.regions())
        placer = RequestPlacer(
            fleet=self._fleet,
            run_times=RunTimes(),
            cached_locations=CachedLocations(),
            region_limiter=limiter,
            region_reports=reports,
            cold_start_limiter=ColdStartLimiter(
                own_name="e", rate_factor=1.5, slack=5.0
            ),
            upstream_limiter=UpstreamLimiter(
                fleet=self._fleet,
                reports=LimitReports(own_name="e", fleet=self._fleet),
            ),
            round_trips_s={},
        )
        release = placer.release

        def count_release(choice, *, now_s):
            self.released += 1
            release(choice, now_s=now_s)

        placer.release = count_release
        return placer

    def close(self):
        """Cancels what waits and closes the loop."""
        self.cancel(len(self._tasks))
        self._loop.close()
        self._no_queue.stop()

    def run(self, span_s):
        """Runs the loop for a while; returns the handles that it called."""
        called = 0
        run_handle = asyncio.Handle._run

        def count(handle):
            nonlocal called
            called += 1
            run_handle(handle)

        with mock.patch.object(asyncio.Handle, "_run", count):
            self._loop.run_until_complete(asyncio.sleep(span_s))
        return called

    def _in_loop(self, action):
        """Calls a function as a handle of the loop."""
        self._loop.call_soon(action)
        self.run(0.0)

    def _choose(self, call):
        self.tries += 1
        placed = self._placer.place(call.placement_request(), now_s=now_s())
        call.excluded_regions = placed.excluded_regions
        return placed.choice

    async def _serve(self, call):
        try:
            choice = await self._waits.choose(call, self._choose)
        except (AlmondstairError, ValueError):
            return
        if choice is not None:
            choice.upstream.record_sent(now_s=now_s())
            self._sent_at_s.append(now_s())
            self.sent += 1

    def start_calls(self, count):
        """Starts calls, which wait."""
        assert self._fleet.table is not None
        [route] = self._fleet.table.configuration.routes
        for _ in range(count):
            call = ForwardedCall(request=_request(), route=route, service="s")
            self._calls.append(call)
            task = self._loop.create_task(self._serve(call))
            self._tasks.append(task)
        self.run(0.05)

    def waiting(self):
        """Returns the number of calls that wait."""
        return sum(not task.done() for task in self._tasks)

    def ends(self):
        """Returns why the waits ended."""
        return [call.wait_end for call in self._calls if call.wait_end]

    def cancel(self, count):
        """Lets callers disconnect."""
        pending = [task for task in self._tasks if not task.done()]
        for task in pending[:count]:
            task.cancel()
        self.run(0.0)
        self.run(0.0)

    def free_slots(self, count):
        """Ends requests at the upstream."""
        self._upstream.in_flight -= count
        self._in_loop(lambda: self._waits.record_freed(self._upstream))

    def run_events(self, count):
        """Records events in one handle; returns the handles that were called.

        Each event would schedule its own if it were not seen that none waits.
        """

        def record():
            for _ in range(count):
                self._waits.record_freed(self._upstream)
                self._waits.record_loads()
                self._fleet.on_change()

        self._loop.call_soon(record)
        return self.run(0.01)

    def until_sent(self, count):
        """Runs until calls are sent; returns when the last one was."""
        ends_s = now_s() + 1.0
        while self.sent < count and now_s() < ends_s:
            self.run(0.0)
        assert self.sent >= count, self.ends()
        return self._sent_at_s[count - 1]

    def cancel_as_it_gets_a_slot(self):
        """Cancels a call between getting a slot and being sent."""
        choose = self._choose

        def choose_and_leave(call):
            choice = choose(call)
            if choice is not None:
                self._loop.call_soon(self._cancel_all)
            return choice

        for waiting in self._waits._calls.values():
            waiting.choose_upstream = choose_and_leave
        self.free_slots(1)
        self.run(0.05)

    def cancel_as_a_slot_is_offered(self):
        """Cancels the first call in the turn in which a slot gets free.

        Its task has not run yet when the slot is offered, and its caller has
        not disconnected: the entry's own time for it has ended.
        """

        def free_and_cancel():
            self._waits.record_freed(self._upstream)
            self._tasks[0].cancel()

        self._upstream.in_flight -= 1
        self._in_loop(free_and_cancel)
        self.run(0.05)

    def fail_first_placement(self):
        """Lets the placement of the first call fail with an unknown error."""

        def fail(call):
            raise ValueError("no such thing")

        next(iter(self._waits._calls.values())).choose_upstream = fail

    def fill_by_stated_load(self, requests):
        """Lets a response state that others fill the upstream."""
        self._upstream.in_flight = 0
        self._upstream.apply_load(
            ReportedLoad(
                running=_SLOTS, waiting=requests - _SLOTS, slots=_SLOTS
            ),
            answered_requests=0,
            now_s=now_s(),
        )

    def _cancel_all(self):
        for task in self._tasks:
            task.cancel()

    def set_leaving(self):
        """Lets the upstream say that it leaves."""
        name = self._upstream.name_hash
        source = LeavingSource.RESPONSE
        self._in_loop(lambda: self._fleet.record_leaving(name, source=source))

    def evacuate(self):
        """Evacuates the upstream's zone."""
        self._in_loop(lambda: self._fleet.start_evacuation("z", now_s=now_s()))

    def set_resting(self):
        """Lets the upstream ask for a rest."""
        self._in_loop(
            lambda: self._fleet.record_rest(
                self._upstream, rest_s=3.0, now_s=now_s()
            )
        )

    def replace_route(self):
        """Applies a configuration without the route of the calls."""
        configuration = _configuration(3, "second")
        self._in_loop(lambda: self._fleet.apply_configuration(configuration))

    def cut_links(self):
        """Cuts the entry off from upstreams."""
        self._links.are_usable.return_value = False
        self._in_loop(self._waits.record_change)

    def check_times_and_stop(self):
        """Stops the entry in the turn in which it checked all times."""

        def check_and_stop():
            self._waits._on_timer()
            self._waits.set_end(now_s())

        self._in_loop(check_and_stop)

    def stop(self):
        """Stops the entry at once."""
        self._in_loop(lambda: self._waits.set_end(now_s()))
