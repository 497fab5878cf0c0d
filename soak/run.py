"""Runs a plan of faults on processes under load and checks the results."""

import asyncio
from collections.abc import Awaitable, Callable, Sequence
import json
from pathlib import Path
import random
import signal
import time
from typing import NamedTuple

from almondstair.platform import headers
from almondstair.platform import statements
from emulator import foreign_values
from emulator import statement_rules
from emulator.deployment import Deployment
from emulator.deployment import Service
from emulator.proxy import FaultProxy
from emulator.proxy import ProxyFault
from emulator.statement_rules import CallerTry
from emulator.world import UpstreamRun
from emulator.world import World
from soak import checks
from soak import plan
from soak.callers import LARGE_BYTES
from soak.callers import LARGE_PREFIX
from soak.callers import Caller
from soak.callers import CallerSendingAhead
from soak.checks import Span
from soak.checks import Violation
from soak.loop_watch import LoopWatch
from soak.loop_watch import Stall
from soak.plan import FaultKind
from soak.plan import Step

# Longest time from the acknowledgement of a change, or the SIGTERM of a drain,
# until it takes effect, with the delay that a disturbance adds: the bounds of
# the emulated platform.
DRAIN_S = 2.0
CONFIGURE_S = 2.0
EVACUATE_S = 5.0
# Time bounds are not checked during a disturbance, nor this long before and
# after it.
DISTURBANCE_MARGIN_S = 4.0
# Faults that suspend the limits of upstreams, as they are for the gateways.
GATEWAY_FAULTS = (
    FaultKind.GATEWAY_KILL,
    FaultKind.GATEWAY_FREEZE,
    FaultKind.KILL_ALL,
    FaultKind.UPSTREAM_PROXY,
)
# Delay before a killed gateway is started again.
RESTART_DELAY_S = 0.5
STOP_LIMIT_S = 4.0
# Shortest time for which a store that is restored from a copy is away; the
# longest is four times as long.
AWAY_S = 0.25
# Time over which the lost writes of upstreams and operators are made again.
WRITTEN_AGAIN_S = 1.0
# Calm span at the end in which most requests must succeed. Its last part is not
# counted, because those responses may still be outstanding.
FINAL_SPAN_S = 3.0
FINAL_MARGIN_S = 0.5
DRAIN_EXIT_S = 3.5
MIN_SERVED_SHARE = 0.9
# How long upstreams are cold after a start.
COLD_S = 1.0
ZONES = {"a1": "east", "a2": "east", "b1": "west"}


class Size(NamedTuple):
    """Holds the numbers of processes and callers to start."""

    upstreams: int = 6
    gateways: int = 3
    callers: int = 8

    def deployment(self) -> Deployment:
        """Returns the deployment of this size, in two regions."""
        return Deployment(
            zones=ZONES,
            gateways=_spread(self.gateways),
            services=[
                Service(
                    name="service",
                    upstreams=_spread(self.upstreams),
                    slots=4,
                    work_ms=40.0,
                    cold_s=COLD_S,
                )
            ],
            routes=[],
        )


def foreign_registration(variant: str) -> str | bytes:
    """Returns an invalid registration, as another writer may store it."""
    record: dict[str, object] = {
        "service": "service",
        "address": "127.0.0.1:9",
        "zone": "a1",
        "version": "v1",
        "slots": 4,
        "state": "ready",
        "coldLeftS": 0,
        "seq": 1,
    }
    if variant in foreign_values.FORMS:
        # No route leads to the service of those that can be decoded.
        return foreign_values.foreign_value(
            variant, {**record, "service": "foreign"}, "zone"
        )
    if variant == "no_text":
        return "\x00{"
    if variant == "no_slots":
        record["slots"] = 0
    if variant == "no_address":
        record["address"] = "nowhere"
    if variant in ("no_state", "own_key"):
        record["state"] = "lost"
    return json.dumps(record)


def _is_near(run: UpstreamRun, span: Span) -> bool:
    from_s = span.from_s - DISTURBANCE_MARGIN_S
    return from_s < run.at_s < span.to_s + DISTURBANCE_MARGIN_S


def _spread(count: int) -> dict[str, int]:
    counts = dict.fromkeys(ZONES, 0)
    for number in range(count):
        counts[list(ZONES)[number % len(ZONES)]] += 1
    return counts


class Outcome(NamedTuple):
    """Describes one kind of result that a caller got from a gateway.

    Attributes:
      caller: index of the caller.
      gateway: name of the gateway.
      status: status of the response, 0 if there was none.
    """

    caller: int
    gateway: str
    status: int


class Report(NamedTuple):
    """Holds the results of a run.

    Attributes:
      seed: seed of the plan.
      sent: number of requests sent.
      served: number of requests answered with status 200.
      steps: the faults of the plan.
      violations: guarantees that were violated.
      outcomes: number of requests in the final calm span by outcome.
      stalls: stalls of the soak's own event loop.
    """

    seed: int
    sent: int
    served: int
    steps: list[Step]
    violations: list[Violation]
    outcomes: dict[Outcome, int]
    stalls: list[Stall]


class Soak:
    """Runs one seed."""

    def __init__(
        self,
        *,
        seed: int,
        seconds: float,
        directory: Path,
        size: Size,
        kinds: Sequence[FaultKind] = plan.DRAWN_KINDS,
        limits: bool = False,
        cuts: bool = False,
        statements: bool = False,
        restores: bool = False,
        endless: bool = False,
        foreign: bool = False,
        ahead: bool = False,
        series: bool = False,
    ) -> None:
        """Makes the plan and starts nothing."""
        self._seed = seed
        self._seconds = seconds
        self._steps = plan.make_plan(seed, seconds=seconds, kinds=kinds)
        if limits:
            self._steps += plan.make_limits(seed, seconds=seconds)
        if cuts:
            self._steps += plan.make_cuts(seed, seconds=seconds)
        if statements:
            self._steps += plan.make_statements(seed, seconds=seconds)
        if restores:
            self._steps += plan.make_restores(seed, seconds=seconds)
        if endless:
            self._steps += plan.make_endless(seed, seconds=seconds)
        if foreign:
            self._steps += plan.make_foreign(seed, seconds=seconds)
        if series:
            self._steps += plan.make_restarts(seed, seconds=seconds)
        self._ahead = ahead
        self._steps.sort()
        self._world = World(
            deployment=size.deployment(),
            directory=directory,
            zone_links=cuts,
        )
        self._callers = [
            Caller(rng=random.Random(seed * 1000 + number))
            for number in range(size.callers)
        ]
        if ahead:
            for number in range(size.callers // 2):
                self._callers.append(
                    CallerSendingAhead(rng=random.Random(f"{seed} {number}"))
                )
        self._prefixes = ["/safe/", "/unsafe/"]
        self._no_traffic_spans: list[Span] = []
        self._cold_spans: list[Span] = []
        self._limit_spans: list[tuple[Span, float]] = []
        self._limits: dict[str, Step] = {}
        self._limit_ends_s: dict[Step, float] = {}
        self._cut_spans: list[Span] = []
        self._route_spans: list[Span] = []
        self._stop_spans: list[Span] = []
        self._disturbance_spans: list[Span] = []
        self._violations: list[Violation] = []
        self._end_s = 0.0
        self._loop_watch = LoopWatch()
        self._claimed: set[str] = set()
        self._exited: set[str] = set()

    async def run(self) -> Report:
        """Starts the processes, runs the plan, stops everything and checks."""
        watching = asyncio.ensure_future(self._loop_watch.run())
        try:
            await self._world.start()
            await self._world.configure(self._prefixes)
            if self._ahead:
                for name in self._world.upstreams:
                    await self._set_upstream_faults(name)
            await self._wait_until_steady()
            began_s = time.monotonic()
            self._end_s = began_s + self._seconds
            work: list[Awaitable[None]] = [self._collect_runs()]
            for caller in self._callers:
                work.append(
                    caller.run(self._world.callers, self._prefixes, self._end_s)
                )
            work.append(self._run_steps(began_s))
            await asyncio.gather(*work)
            for name in self._world.upstreams:
                await self._collect(name)
        finally:
            watching.cancel()
            await self._world.end()
        self._check()
        return self._report()

    async def _wait_until_steady(self) -> None:
        await asyncio.sleep(3.0)

    async def _collect_runs(self) -> None:
        """Collects runs at intervals, since a killed upstream reports none."""
        while time.monotonic() < self._end_s:
            await asyncio.sleep(0.5)
            for name in list(self._world.upstreams):
                if name not in self._claimed:
                    await self._collect(name)
            self._check_alive()

    def _check_alive(self) -> None:
        """Records gateways that exited without a fault applied to them."""
        for name in self._world.gateways:
            code = self._world.procs[name].exit_code
            if code is None or name in self._claimed or name in self._exited:
                continue
            self._exited.add(name)
            self._violations.append(
                Violation("gateways keep running", f"{name} code {code}")
            )

    async def _run_steps(self, began_s: float) -> None:
        tasks = []
        for step in self._steps:
            await asyncio.sleep(max(0, began_s + step.at_s - time.monotonic()))
            tasks.append(asyncio.ensure_future(self._apply_step(step)))
        await asyncio.gather(*tasks)

    async def _apply_step(self, step: Step) -> None:
        actions: dict[FaultKind, Callable[[Step], Awaitable[None]]] = {
            FaultKind.STORE: self._store,
            FaultKind.STORE_PROXY: self._store_proxy,
            FaultKind.UPSTREAM_PROXY: self._upstream_proxy,
            FaultKind.UPSTREAM_FAULT: self._upstream_fault,
            FaultKind.UPSTREAM_KILL: self._upstream_kill,
            FaultKind.UPSTREAM_DRAIN: self._upstream_drain,
            FaultKind.UPSTREAM_FREEZE: self._upstream_freeze,
            FaultKind.GATEWAY_KILL: self._gateway_kill,
            FaultKind.GATEWAY_STOP: self._gateway_stop,
            FaultKind.GATEWAY_FREEZE: self._gateway_freeze,
            FaultKind.GATEWAY_HANGUP: self._gateway_hangup,
            FaultKind.KILL_ALL: self._kill_all,
            FaultKind.CONFIGURE: self._configure,
            FaultKind.EVACUATE: self._evacuate,
            FaultKind.HISTORY: self._history,
            FaultKind.UPSTREAM_RESTART: self._upstream_restart,
            FaultKind.FOREIGN_WRITER: self._foreign_writer,
            FaultKind.UPSTREAM_LIMIT: self._upstream_limit,
            FaultKind.LINKS: self._links,
            FaultKind.UPSTREAM_REST: self._upstream_rest,
            FaultKind.UPSTREAM_LEAVES: self._upstream_leaves,
            FaultKind.STORE_RESTORE: self._store_restore,
            FaultKind.UPSTREAM_ENDLESS: self._upstream_fault,
        }
        began_s = time.monotonic()
        await actions[step.kind](step)
        planned = (
            FaultKind.GATEWAY_STOP,
            FaultKind.CONFIGURE,
            FaultKind.GATEWAY_HANGUP,
            FaultKind.UPSTREAM_LIMIT,
            FaultKind.LINKS,
            FaultKind.UPSTREAM_REST,
            FaultKind.STORE_RESTORE,
        )
        # Nothing has to wait for values of another writer under its own keys.
        if (
            step.kind not in planned
            and step.variant not in foreign_values.FORMS
        ):
            self._disturbance_spans.append(
                Span(str(step.kind), began_s, time.monotonic())
            )

    def _upstream(self, step: Step) -> str:
        return f"u{step.target % len(self._world.upstreams)}"

    def _gateway(self, step: Step) -> str:
        return f"g{step.target % len(self._world.gateways)}"

    # Faults.

    async def _store(self, step: Step) -> None:
        faults: dict[str, object] = {"leases_pause": step.target % 2 == 0}
        if step.variant == "slow":
            faults["delay_s"] = 0.3
        elif step.variant == "lost":
            faults["lose_writes"] = 2
        elif step.variant == "late":
            faults.update(lose_writes=2, late_s=0.8)
        else:
            faults["mode"] = step.variant
        await self._world.set_faults(self._world.store, "/faults", **faults)
        await asyncio.sleep(step.duration_s)
        await self._world.set_faults(self._world.store, "/faults")

    async def _store_restore(self, step: Step) -> None:
        """Restores the store from a copy; what was lost is written again."""
        if not await self._claim("copy of the store"):
            return
        await self._world.copy_store()
        await asyncio.sleep(step.duration_s)
        began_s = time.monotonic()
        await self._world.set_faults(
            self._world.store, "/faults", mode="silent"
        )
        await asyncio.sleep(AWAY_S * (1 + step.target % 4))
        await self._world.restore_store(again_s=WRITTEN_AGAIN_S)
        await self._world.set_faults(self._world.store, "/faults")
        if step.variant == "twice":
            await asyncio.sleep(WRITTEN_AGAIN_S / 2)
            await self._world.restore_store(again_s=WRITTEN_AGAIN_S)
        await asyncio.sleep(WRITTEN_AGAIN_S)
        self._disturbance_spans.append(
            Span(str(step.kind), began_s, time.monotonic())
        )
        self._claimed.discard("copy of the store")

    async def _store_proxy(self, step: Step) -> None:
        proxy = self._world.store_proxies[self._gateway(step)]
        await self._apply_proxy_fault(proxy, step)

    async def _upstream_proxy(self, step: Step) -> None:
        await self._apply_proxy_fault(
            self._world.proxies[self._upstream(step)], step
        )

    async def _apply_proxy_fault(self, proxy: FaultProxy, step: Step) -> None:
        proxy.set_fault(ProxyFault(step.variant), delay_s=0.2)
        await asyncio.sleep(step.duration_s)
        proxy.set_fault(ProxyFault.NONE)
        if step.variant in ("silence", "one_way"):
            # Bytes were dropped, so the connections are unusable.
            proxy.reset_all()

    async def _upstream_fault(self, step: Step) -> None:
        name = self._upstream(step)
        faults: dict[str, object] = {"every": 4, "how": step.variant}
        if step.variant == "slow":
            faults = {"slower": 8.0}
        await self._set_upstream_faults(name, **faults)
        await asyncio.sleep(step.duration_s)
        await self._set_upstream_faults(name)

    async def _set_upstream_faults(self, name: str, **faults: object) -> None:
        """Injects faults into an upstream, which keeps its limit."""
        limit = self._limits.get(name)
        limits = [] if limit is None else [limit.variant]
        await self._world.set_faults(
            self._world.upstreams[name],
            "/emulator/faults",
            limits=limits,
            **self._large_responses(),
            **faults,
        )

    def _large_responses(self) -> dict[str, object]:
        """Returns what makes some responses larger than gateways buffer."""
        if not self._ahead:
            return {}
        return {"large_path": LARGE_PREFIX, "large_bytes": LARGE_BYTES}

    async def _upstream_limit(self, step: Step) -> None:
        name = self._upstream(step)
        if name in self._limits:
            return
        self._limits[name] = step
        began_s = time.monotonic()
        await self._set_upstream_faults(name)
        await asyncio.sleep(step.duration_s)
        ended_s = time.monotonic()
        if self._limits.get(name) is step:
            del self._limits[name]
            await self._set_upstream_faults(name)
        else:
            # The process that stated it has ended.
            ended_s = self._limit_ends_s[step]
        statement = statements.decode_statement(
            status=200, headers=[(headers.RATE_LIMIT, step.variant.encode())]
        )
        if statement.rate_per_s is not None:
            span = Span(name, began_s, ended_s)
            self._limit_spans.append((span, statement.rate_per_s))

    async def _upstream_rest(self, step: Step) -> None:
        """Makes an upstream turn requests away and ask for rest."""
        name = self._upstream(step)
        await self._set_upstream_faults(
            name, every=1, how="shed", rests=[step.variant]
        )
        await asyncio.sleep(step.duration_s)
        await self._set_upstream_faults(name)

    async def _upstream_leaves(self, step: Step) -> None:
        """Makes an upstream say in answers that it leaves, and then end.

        Its registration says ready until a new one runs at its address.
        """
        name = self._upstream(step)
        if not await self._claim(name):
            return
        await self._set_upstream_faults(name, leaving=["1"])
        await asyncio.sleep(max(DRAIN_S, step.duration_s))
        await self._collect(name)
        proc = self._world.procs[name]
        proc.signal(signal.SIGKILL)
        await proc.wait()
        await self._start_upstream(name)

    async def _collect(self, name: str) -> None:
        """Collects what an upstream tells of its runs and answers."""
        await self._world.collect_runs(name)
        await self._world.collect_answers(name)

    async def _links(self, step: Step) -> None:
        """Cuts the links of a zone's gateways to all upstreams."""
        zone = list(ZONES)[step.target % len(ZONES)]
        name = f"links of {zone}"
        if not await self._claim(name):
            return
        began_s = time.monotonic()
        await self._world.cut_links(zone, ProxyFault(step.variant))
        await asyncio.sleep(step.duration_s)
        await self._world.heal_links(zone)
        self._cut_spans.append(Span(zone, began_s, time.monotonic()))
        self._claimed.discard(name)

    async def _claim(self, name: str) -> bool:
        """Claims a process, so that two faults do not both restart it."""
        if name in self._claimed:
            return False
        self._claimed.add(name)
        return True

    async def _upstream_restart(self, step: Step) -> None:
        """Kills an upstream and starts it again under the same id."""
        await self._upstream_kill(step, same_id=True)

    async def _foreign_writer(self, step: Step) -> None:
        """Stores an invalid record among the registrations."""
        name = self._upstream(step)
        key = f"servers/foreign-{step.target}"
        if step.variant == "own_key":
            key = f"servers/{self._world.upstream_ids[name]}"
        await self._world.operate(
            puts={key: foreign_registration(step.variant)}
        )
        await asyncio.sleep(step.duration_s)
        if step.variant != "own_key":
            await self._world.operate(remove=[key])

    async def _upstream_kill(
        self, step: Step, *, same_id: bool = False
    ) -> None:
        name = self._upstream(step)
        if not await self._claim(name):
            return
        await self._collect(name)
        proc = self._world.procs[name]
        proc.signal(signal.SIGKILL)
        await proc.wait()
        await asyncio.sleep(step.duration_s)
        await self._start_upstream(name, same_id=same_id)

    async def _start_upstream(
        self, name: str, *, same_id: bool = False
    ) -> None:
        limit = self._limits.pop(name, None)
        if limit is not None:
            # A new process states no limit.
            self._limit_ends_s[limit] = time.monotonic()
        await self._world.start_upstream(name, same_id=same_id)
        if self._ahead:
            await self._set_upstream_faults(name)
        started_s = time.monotonic()
        self._cold_spans.append(Span(name, started_s, started_s + COLD_S))
        self._claimed.discard(name)

    async def _upstream_drain(self, step: Step) -> None:
        name = self._upstream(step)
        if not await self._claim(name):
            return
        proc = self._world.procs[name]
        proc.signal(signal.SIGTERM)
        signalled_s = time.monotonic()
        await asyncio.sleep(DRAIN_EXIT_S - 1.0)
        await self._collect(name)
        await proc.wait()
        self._no_traffic_spans.append(
            Span(name, signalled_s + DRAIN_S, time.monotonic())
        )
        await self._start_upstream(name)

    async def _upstream_freeze(self, step: Step) -> None:
        await self._freeze(self._upstream(step), step)

    async def _gateway_freeze(self, step: Step) -> None:
        await self._freeze(self._gateway(step), step)

    async def _freeze(self, name: str, step: Step) -> None:
        if not await self._claim(name):
            return
        proc = self._world.procs[name]
        proc.signal(signal.SIGSTOP)
        await asyncio.sleep(step.duration_s)
        proc.signal(signal.SIGCONT)
        self._claimed.discard(name)

    async def _gateway_kill(self, step: Step) -> None:
        await self._kill_gateway(self._gateway(step))

    async def _kill_gateway(self, name: str) -> None:
        if not await self._claim(name):
            return
        proc = self._world.procs[name]
        proc.signal(signal.SIGKILL)
        await proc.wait()
        await asyncio.sleep(RESTART_DELAY_S)
        await self._world.start_gateway(name)
        self._claimed.discard(name)

    async def _gateway_stop(self, step: Step) -> None:
        name = self._gateway(step)
        if not await self._claim(name):
            return
        proc = self._world.procs[name]
        was_ready = await self._world.is_ready(name)
        signalled_s = time.monotonic()
        proc.signal(signal.SIGTERM)
        try:
            code = await asyncio.wait_for(proc.wait(), STOP_LIMIT_S)
            # A process that does not listen yet has no requests to finish; the
            # signal may end it before its handler is installed.
            allowed = (0,) if was_ready else (0, -signal.SIGTERM)
            if code not in allowed:
                self._violations.append(
                    Violation("graceful stops exit with 0", f"{name} {code}")
                )
        except TimeoutError:
            self._violations.append(
                Violation("graceful stops finish in time", name)
            )
            proc.signal(signal.SIGKILL)
            await proc.wait()
        self._stop_spans.append(Span(name, signalled_s, time.monotonic()))
        await self._world.start_gateway(name)
        self._claimed.discard(name)

    async def _gateway_hangup(self, step: Step) -> None:
        name = self._gateway(step)
        if name not in self._claimed:
            self._world.procs[name].signal(signal.SIGHUP)

    async def _kill_all(self, step: Step) -> None:
        names = list(self._world.gateways)
        await asyncio.gather(*(self._kill_gateway(name) for name in names))

    async def _configure(self, step: Step) -> None:
        prefix = f"/added{len(self._prefixes)}/"
        self._prefixes.append(prefix)
        prefixes = list(self._prefixes)
        await self._world.configure(prefixes)
        in_force_s = time.monotonic() + CONFIGURE_S
        self._route_spans.append(Span(prefix, in_force_s, self._end_s))

    async def _evacuate(self, step: Step) -> None:
        zone = self._world.zone_of(self._upstream(step))
        if not await self._claim(zone):
            return
        await self._world.operate(puts={f"op/evacuate/{zone}": "{}"})
        ordered_s = time.monotonic()
        await asyncio.sleep(EVACUATE_S + step.duration_s)
        for name in self._world.upstreams:
            if self._world.zone_of(name) == zone:
                self._no_traffic_spans.append(
                    Span(name, ordered_s + EVACUATE_S, time.monotonic())
                )
        await self._world.operate(remove=[f"op/evacuate/{zone}"])
        self._claimed.discard(zone)

    async def _history(self, step: Step) -> None:
        await self._world.drop_store_history()

    # Checks.

    def _is_disturbed_at(self, at_s: float) -> bool:
        for span in self._disturbance_spans:
            if (
                span.from_s - DISTURBANCE_MARGIN_S
                < at_s
                < span.to_s + DISTURBANCE_MARGIN_S
            ):
                return True
        return False

    def _check(self) -> None:
        sent = [sent for caller in self._callers for sent in caller.sent]
        gateway_of: dict[str, str] = {}
        for caller in self._callers:
            gateway_of.update(caller.gateway_by_request)
        ran = list(self._world.upstream_runs.values())
        self._violations += checks.check_answers(sent)
        self._violations += checks.check_at_most_once(sent, ran)
        self._violations += checks.check_refusals(sent, ran)
        self._violations += checks.check_cold(ran, self._cold_spans)
        self._violations += checks.check_limits(
            [run for run in ran if not self._is_near_restart(run)],
            self._limit_spans,
        )
        self._violations += checks.check_no_traffic(
            [run for run in ran if not self._is_excused(run)],
            self._no_traffic_spans,
        )
        for span in self._stop_spans:
            if self._is_disturbed_at(span.from_s) or self._is_disturbed_at(
                span.to_s
            ):
                continue
            at_gateway = [
                each for each in sent if gateway_of[each.request] == span.name
            ]
            self._violations += checks.check_graceful_stops(
                self._keep_executed(at_gateway, ran), [span]
            )
        self._check_statements(sent, gateway_of)
        self._check_ahead(ran)
        # The others give up some of their requests early.
        patient = [
            each
            for caller in self._callers
            if not isinstance(caller, CallerSendingAhead)
            for each in caller.sent
        ]
        calm = [
            each for each in patient if not self._is_disturbed_at(each.sent_s)
        ]
        self._violations += checks.check_configuration(calm, self._route_spans)
        self._check_cuts(calm, gateway_of)
        final_span = Span(
            "the end", self._end_s - FINAL_SPAN_S, self._end_s - FINAL_MARGIN_S
        )
        self._violations += checks.check_recovery(
            patient, [final_span], min_share=MIN_SERVED_SHARE
        )

    def _check_ahead(self, ran: list[UpstreamRun]) -> None:
        """Checks that no request is lost for one behind it."""
        first = []
        for caller in self._callers:
            if not isinstance(caller, CallerSendingAhead):
                continue
            for each in self._keep_executed(caller.first, ran):
                if not self._is_gateway_disturbed_at(each.sent_s):
                    first.append(each)
        self._violations += checks.check_ahead(first)

    def _check_statements(
        self, sent: list[checks.SentRequest], gateway_of: dict[str, str]
    ) -> None:
        """Checks that upstreams that leave or want rest get nothing new."""
        tries = {
            each.request: CallerTry(
                gateway=gateway_of[each.request],
                sent_s=each.sent_s,
                ended_s=each.ended_s,
                answered=each.status != 0,
            )
            for each in sent
        }
        answers = list(self._world.upstream_answers.values())
        leaving = statement_rules.sent_to_leaving(tries, answers)
        rests = statement_rules.sent_in_rest(tries, answers)
        for guarantee, breaches in (
            ("upstreams that say they leave get no work", leaving),
            ("upstreams that ask for rest get it", rests),
        ):
            for breach in breaches:
                if not self._is_gateway_disturbed_at(breach.at_s):
                    self._violations.append(Violation(guarantee, breach.detail))

    def _is_gateway_disturbed_at(self, at_s: float) -> bool:
        """Returns whether gateways end, freeze or are cut off near a time."""
        spans = [
            span
            for span in self._disturbance_spans
            if span.name in GATEWAY_FAULTS
        ]
        for span in [*spans, *self._stop_spans, *self._cut_spans]:
            from_s = span.from_s - DISTURBANCE_MARGIN_S
            if from_s < at_s < span.to_s + DISTURBANCE_MARGIN_S:
                return True
        return False

    def _check_cuts(
        self, calm: list[checks.SentRequest], gateway_of: dict[str, str]
    ) -> None:
        """Checks that gateways without upstreams serve through others."""
        for span in self._cut_spans:
            overlapping = [
                other
                for other in self._cut_spans
                if other.name != span.name
                and other.from_s < span.to_s
                and span.from_s < other.to_s
            ]
            if len(overlapping) == len(ZONES) - 1:
                # There may be a moment in which no gateway has an upstream.
                continue
            at_zone = [
                each
                for each in calm
                if self._world.zone_of(gateway_of[each.request]) == span.name
            ]
            self._violations += checks.check_cut(at_zone, span)

    def _is_excused(self, run: UpstreamRun) -> bool:
        """Returns whether a disturbance near a run suspends the time bounds."""
        for span in self._disturbance_spans:
            if span.name in (FaultKind.UPSTREAM_DRAIN, FaultKind.EVACUATE):
                continue
            if _is_near(run, span):
                return True
        return False

    def _is_near_restart(self, run: UpstreamRun) -> bool:
        """Returns whether a gateway ends, freezes or is cut off near a run."""
        for span in self._disturbance_spans:
            if span.name in GATEWAY_FAULTS and _is_near(run, span):
                return True
        return False

    @staticmethod
    def _keep_executed(
        sent: list[checks.SentRequest], ran: list[UpstreamRun]
    ) -> list[checks.SentRequest]:
        """Keeps requests that an upstream ran, since those were surely read."""
        ran_ids = {run.request for run in ran}
        return [each for each in sent if each.request in ran_ids]

    def _report(self) -> Report:
        sent = 0
        served = 0
        outcomes: dict[Outcome, int] = {}
        for number, caller in enumerate(self._callers):
            sent += len(caller.sent)
            served += sum(1 for each in caller.sent if each.status == 200)
            for each in caller.sent:
                if each.sent_s < self._end_s - FINAL_SPAN_S:
                    continue
                gateway = caller.gateway_by_request[each.request]
                outcome = Outcome(number, gateway, each.status)
                outcomes[outcome] = outcomes.get(outcome, 0) + 1
        return Report(
            seed=self._seed,
            sent=sent,
            served=served,
            steps=self._steps,
            violations=self._violations,
            outcomes=outcomes,
            stalls=self._loop_watch.stalls,
        )
