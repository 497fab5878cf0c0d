"""Steps of features/admission.feature."""

from behave import given
from behave import then
from behave import when

from almondstair.core.admission import SlotTable
from almondstair.core.admission_queue import AdmissionQueue
from almondstair.core.admission_queue import QueuedRequest
from almondstair.core.admission_records import Admission
from almondstair.core.admission_records import Outcome
from almondstair.core.admission_records import Refusal
from almondstair.core.admission_records import UpstreamReport
from almondstair.core.entry_table import EntryRow
from almondstair.core.entry_table import EntryTable
from almondstair.core.handover_records import NO_SOURCE
from almondstair.core.handover_records import HandoverOffer
from almondstair.core.home_records import HomedUpstream
from almondstair.core.homes import Homes
from almondstair.core.model import Configuration
from almondstair.core.model import PolicyName
from almondstair.core.model import Priority
from almondstair.core.model import Profile
from almondstair.core.model import Region
from almondstair.core.model import RequestClass
from almondstair.core.model import Service
from almondstair.core.model import Upstream
from almondstair.core.slot_tracker import SlotTracker
from almondstair.errors import ErrorKind
from features.support.homes_simulation import Counts
from features.support.homes_simulation import HomesSimulation

LONG_DEADLINE_S = 10.0
SHORT_DEADLINE_S = 1.0
SLOTS = 3
NO_ADDRESSES = ("", "", "", "")
NO_PREVIOUS_HOME = HandoverOffer(NO_SOURCE, ())


class WithoutT1(Homes):
    """The home always uses the reserve."""

    def _may_use_reserve(self, *, upstream, now_s):
        return True


class WithShortT2(Homes):
    """The successor does not wait for the home's reserve work to end."""

    def __init__(self, **arguments):
        """Forwards all arguments."""
        super().__init__(**arguments)
        self._t2_s = 0.0


class WithoutWait(Homes):
    """A new home starts before the last holder reports what it runs."""

    def _previous_home(self, *, upstream):
        return super()._previous_home(upstream=upstream) or NO_PREVIOUS_HOME


class WithoutHeldSlots(Homes):
    """No slots are held for a lost entry."""

    def _rules_out_lost_holder(self, *, holder):
        return True


HOMES_WITHOUT = {
    "the T1 check": WithoutT1,
    "T2 over the longest deadline": WithShortT2,
    "the wait for the last holder": WithoutWait,
    "the slots held for a lost entry": WithoutHeldSlots,
}


class Bench:
    """Simulates two entries that share an upstream, in virtual time."""

    def __init__(self, *, slots=SLOTS):
        """Starts with one entry, the home of the upstream."""
        self.now_s = 0.0
        self.upstream = _upstream_that_moves()
        self.slots = slots
        self.entries = {}
        self.tables = {}
        self.table = EntryTable()
        self.add("a", "a-1")
        self.apply("a")

    def add(self, name, incarnation):
        tracker = SlotTracker(margin_s=0.0)
        homes = Homes(
            entry_name=name,
            incarnation=incarnation,
            t1_s=0.5,
            reserve_deadline_s=SHORT_DEADLINE_S,
            margin_s=0.1,
            tracker=tracker,
        )
        homes.set_upstreams(
            upstreams=(
                HomedUpstream(self.upstream, "r", self.slots, LONG_DEADLINE_S),
            )
        )
        table = SlotTable(homes=homes, tracker=tracker)
        table.set_configuration(configuration=self._configuration())
        self.entries[name] = homes
        self.tables[name] = table
        row = EntryRow(name, "r-a", "r", *NO_ADDRESSES, incarnation=incarnation)
        self.table = self.table.with_entry(row=row)

    def _configuration(self):
        request_class = RequestClass(
            "c", ("GET",), "/*", True, Priority.INTERACTIVE, 10_000
        )
        upstream = Upstream(("s",), "127.0.0.1:1", "r-a", self.slots, 9)
        return Configuration(
            regions={"r": Region(("r-a",))},
            services={"s": Service("p", (request_class,))},
            upstreams={self.upstream: upstream},
            profiles={"p": Profile(PolicyName.LOCAL)},
        )

    def apply(self, name):
        self.entries[name].update_table(table=self.table, now_s=self.now_s)

    def report(self, sender, receiver):
        report = self.entries[sender].report_to(peer=receiver, now_s=self.now_s)
        self.entries[receiver].record_report(report=report, now_s=self.now_s)

    def dispatch_rights(self, name):
        return self.entries[name].dispatch_rights(
            upstream=self.upstream, now_s=self.now_s
        )

    def acquire(
        self, *, priority=Priority.INTERACTIVE, remaining_s=SHORT_DEADLINE_S
    ):
        return self.tables["a"].acquire(
            service="s",
            priority=priority,
            deadline_s=self.now_s + remaining_s,
            now_s=self.now_s,
        )

    def answer(self, admission, *, after_s):
        self.now_s += after_s
        self.tables["a"].release(
            admission=admission, outcome=Outcome.ANSWERED, now_s=self.now_s
        )

    def answer_many(self, *, times, after_s):
        for _ in range(times):
            self.answer(self.acquire(), after_s=after_s)

    def free_slots(self):
        return self.tables["a"].free_slots(service="s", now_s=self.now_s)

    def usable_slots(self):
        return self.tables["a"].usable_slots(service="s", now_s=self.now_s)


def _upstream_that_moves():
    """Returns the name of an upstream whose home moves when b joins a."""
    for number in range(100):
        name = f"u{number}"
        homes = Homes(
            entry_name="a",
            incarnation="",
            t1_s=1.0,
            reserve_deadline_s=1.0,
            margin_s=0.0,
            tracker=SlotTracker(margin_s=0.0),
        )
        homes.set_upstreams(upstreams=(HomedUpstream(name, "r", 1, 1.0),))
        table = EntryTable()
        for entry in ("a", "b"):
            row = EntryRow(entry, "r-a", "r", *NO_ADDRESSES)
            table = table.with_entry(row=row)
        homes.update_table(table=table, now_s=0.0)
        if homes.home_of(upstream=name) == "b":
            return name
    raise AssertionError("no name whose home moves when b joins")


@when("entries run for {seconds:d} s from seed {seed:d}")
def run_from_seed(context, seconds, seed):
    context.counts = HomesSimulation(seed=seed).run(seconds=seconds)


@when(
    "entries without {guard} run for {seconds:d} s from any of seeds "
    "{first:d} to {last:d}"
)
def run_without(context, guard, seconds, first, last):
    context.counts = Counts()
    for seed in range(first, last + 1):
        simulation = HomesSimulation(
            seed=seed, homes_class=HOMES_WITHOUT[guard]
        )
        context.counts = simulation.run(seconds=seconds)
        if context.counts.max_over_slots > 0:
            return


@then("no upstream had more in flight than its slots")
def none_over(context):
    assert context.counts.max_over_slots == 0, context.counts


@then("some upstream had more in flight than its slots")
def some_over(context):
    assert context.counts.max_over_slots > 0, context.counts


@then("nothing was written after its deadline")
def nothing_late(context):
    assert context.counts.written_late == 0, context.counts


@then("there were deaths, freezes, new tables and work in the reserve")
def faults_happened(context):
    counts = context.counts
    assert counts.deaths > 0, counts
    assert counts.freezes > 0, counts
    assert counts.epochs > 5, counts
    assert counts.in_reserve > 0, counts
    assert counts.dispatched > 100, counts


@given("an entry that is home of an upstream")
def home(context):
    context.bench = Bench()


@given("an entry that is home of an upstream of {slots:d} slots")
def cold_home(context, slots):
    context.bench = Bench(slots=slots)


@given("an entry that is home of an upstream of {slots:d} slots, all warm")
def warm_home(context, slots):
    context.bench = Bench(slots=slots)
    context.bench.answer_many(times=40, after_s=0.1)
    assert context.bench.usable_slots() == slots


@given("an entry that is home of an upstream and fills its slots")
def full_home(context):
    bench = Bench()
    bench.answer_many(times=40, after_s=0.1)
    for remaining_s in (LONG_DEADLINE_S, LONG_DEADLINE_S, SHORT_DEADLINE_S):
        assert isinstance(bench.acquire(remaining_s=remaining_s), Admission)
    context.bench = bench


@given("a second entry joins that becomes its home")
def second_joins(context):
    context.bench.add("b", "b-1")


@when("the first entry applies the table and reports before the second does")
def early_report(context):
    bench = context.bench
    bench.entries["b"].update_table(
        table=bench.table._replace(epoch=bench.table.epoch - 1),
        now_s=bench.now_s,
    )
    bench.apply("a")
    bench.report("a", "b")


@when("the second entry applies the table")
def second_applies(context):
    context.bench.apply("b")


@then("the second entry counts the first one's requests as taken")
def counted(context):
    rights = context.bench.dispatch_rights("b")
    assert len(rights.busy_until_s) == SLOTS, rights


@given("both apply the table and report")
@when("both apply the table and report")
def both_apply(context):
    bench = context.bench
    for name in ("a", "b"):
        bench.apply(name)
    for _ in range(2):
        bench.now_s += 0.1
        bench.report("a", "b")
        bench.report("b", "a")


@when("the second entry dies and its successor of the same name joins")
def second_restarts(context):
    context.bench.add("b", "b-2")


@then("every slot counts as taken until the longest deadline has passed")
def all_taken(context):
    bench = context.bench
    bench.now_s += SHORT_DEADLINE_S + LONG_DEADLINE_S / 2
    bench.report("a", "b")
    assert len(bench.dispatch_rights("b").busy_until_s) == SLOTS - 1, (
        bench.dispatch_rights("b")
    )
    bench.now_s += LONG_DEADLINE_S / 2
    assert not bench.dispatch_rights("b").busy_until_s, bench.dispatch_rights(
        "b"
    )


@then("the second entry dispatches and the first does not")
def home_moved(context):
    assert context.bench.dispatch_rights("b").allowed_slots == SLOTS
    assert context.bench.dispatch_rights("a").allowed_slots == 0


@then("nothing counts as taken")
def nothing_taken(context):
    assert not context.bench.dispatch_rights("b").busy_until_s


@then("it has no successor and the home uses every slot")
def no_successor(context):
    bench = context.bench
    assert bench.entries["a"].successor_of(upstream=bench.upstream) is None
    assert bench.dispatch_rights("a").allowed_slots == SLOTS


@when("batch work takes all it may")
def batch_takes(context):
    result = None
    while not isinstance(result, Refusal):
        result = context.bench.acquire(priority=Priority.BATCH)
    context.result = result


@then("{count:d} slots are left to interactive work")
@then("{count:d} slots are free")
def slots_free(context, count):
    assert context.bench.free_slots() == count, context.bench.free_slots()


@then("batch work is refused with a time to come back")
def batch_refused(context):
    assert context.result.kind is ErrorKind.NO_SLOT
    assert context.result.retry_after_ms > 0


@then("{count:d} slot is usable")
@then("{count:d} slots are usable")
def slots_usable(context, count):
    assert context.bench.usable_slots() == count, context.bench.usable_slots()


@when("it answers {times:d} requests in the usual time")
def answers(context, times):
    context.bench.answer_many(times=times, after_s=0.1)


@when("its answers take {factor:d} times as long")
def slow_answers(context, factor):
    context.bench.answer_many(times=10, after_s=0.1 * factor)


@then("fewer than {count:d} slots are usable")
def fewer_usable(context, count):
    assert context.bench.usable_slots() < count, context.bench.usable_slots()


@when("a request runs on it for {running_s:f} s")
def request_runs(context, running_s):
    bench = context.bench
    if not bench.tables["a"].status(now_s=bench.now_s)[0].in_flight:
        context.began_s = bench.now_s
        bench.acquire(remaining_s=LONG_DEADLINE_S)
    bench.now_s = context.began_s + running_s


@when("the upstream reports that it drains")
def drains(context):
    _record_upstream_report(
        context.bench, UpstreamReport(slots=4, busy=0, draining=True)
    )


@when("the upstream reports {busy:d} busy slots though nothing runs")
def claims_full(context, busy):
    _record_upstream_report(
        context.bench, UpstreamReport(slots=4, busy=busy, draining=False)
    )


def _record_upstream_report(bench, report):
    bench.tables["a"].record_upstream_report(
        upstream=bench.upstream, report=report, now_s=bench.now_s
    )


@when("{seconds:d} s pass without a word from it")
def time_passes(context, seconds):
    context.bench.now_s += seconds


@then("work is refused since no upstream takes it")
def no_upstream(context):
    result = context.bench.acquire()
    assert isinstance(result, Refusal)
    assert result.kind is ErrorKind.NO_UPSTREAM


@when("a request is cancelled with its connection {how}")
def cancelled(context, how):
    bench = context.bench
    bench.tables["a"].release(
        admission=bench.acquire(),
        outcome=Outcome.CANCELLED,
        now_s=bench.now_s,
        connection_closed=how == "closed",
    )


@when("its deadline passes")
def deadline_passes(context):
    context.bench.now_s += SHORT_DEADLINE_S


@given("requests take {milliseconds:d} ms")
def service_time(context, milliseconds):
    bench = context.bench
    bench.answer_many(times=60, after_s=milliseconds / 1000)


@when("{running:d} requests run and {more:d} more come")
def burst(context, running, more):
    bench = context.bench
    context.queue = AdmissionQueue(service="s", slots=bench.tables["a"])
    context.admissions = []
    for _ in range(running):
        result = _request(context, Priority.INTERACTIVE)
        assert isinstance(result, Admission), result
        context.admissions.append(result)
    context.queued = []
    context.refused = []
    for number in range(more):
        priority = (Priority.BATCH, Priority.INTERACTIVE)[number % 2]
        result = _request(context, priority)
        if isinstance(result, QueuedRequest):
            context.queued.append(result)
        else:
            context.refused.append(result)


def _request(context, priority):
    bench = context.bench
    return context.queue.submit(
        priority=priority,
        deadline_s=bench.now_s + SHORT_DEADLINE_S,
        now_s=bench.now_s,
    )


@then("some wait and the others are refused at once with a time to come back")
def some_wait(context):
    assert context.queued
    assert context.refused
    for refusal in context.refused:
        assert isinstance(refusal, Refusal), refusal
        assert refusal.kind is ErrorKind.NO_SLOT
        assert refusal.retry_after_ms > 0


@when("a slot is given back")
def given_back(context):
    context.bench.answer(context.admissions.pop(), after_s=0.05)


@then("the first of the highest priority gets it")
def first_gets_it(context):
    decisions = context.queue.advance(now_s=context.bench.now_s)
    first = None
    for queued in context.queued:
        if first is None and queued.priority is Priority.INTERACTIVE:
            first = queued
    assert len(decisions) == 1, decisions
    assert decisions[0].number == first.number
    assert isinstance(decisions[0].result, Admission)


@when("the queue has waited for {milliseconds:d} ms")
def some_time(context, milliseconds):
    context.bench.now_s += milliseconds / 1000


@then("all that waited are refused")
def all_refused(context):
    decisions = context.queue.advance(now_s=context.bench.now_s)
    assert len(decisions) == len(context.queued) - 1, decisions
    for decision in decisions:
        assert isinstance(decision.result, Refusal), decision
