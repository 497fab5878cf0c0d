"""Steps of links.feature: link shares in simulated time."""

from behave import given
from behave import then
from behave import when

from features.support.simulated_zone import Faults
from features.support.simulated_zone import SimulatedZone

WARM_UP_S = 3.0
# Allowances and loans are whole bytes per second and add up exactly; this
# covers only the rounding of floating-point sums.
ROUNDING_BYTES = 1

FAULTS = {
    "loss, delay and reorder": Faults(loss=0.2, duplicate=0.2, late=0.2),
    "freezes": Faults(late=0.05, freeze_mean_s=1.0),
    "restarts, deaths and new entries": Faults(
        late=0.05, change_mean_s=2.0, platform_s=4.0
    ),
    "everything at once": Faults(
        loss=0.1,
        duplicate=0.1,
        late=0.1,
        freeze_mean_s=2.0,
        change_mean_s=2.0,
        platform_s=4.0,
    ),
}


@given("a link of {cap:d} bytes/s shared by {entries:d} entries")
def link_shared(context, cap, entries):
    context.cap = cap
    context.entries = entries
    context.zone = SimulatedZone(
        seed=1, entries=entries, cap_bytes_per_s=cap, faults=Faults()
    )
    context.zone.run(until_s=WARM_UP_S)


def _processes(context):
    processes = context.zone.processes
    return [processes[name] for name in sorted(processes)]


def _run_for(context, duration_s):
    context.started_s = context.zone.now_s
    context.zone.run(until_s=context.zone.now_s + duration_s)


@when("one entry is busy for {length_s:d} s and the other idle")
def one_busy(context, length_s):
    _processes(context)[0].demand_bytes_per_s = 2.0 * context.cap
    _run_for(context, length_s)


@when("the other becomes busy as well for {length_s:d} s")
def other_busy(context, length_s):
    _processes(context)[1].demand_bytes_per_s = 2.0 * context.cap
    _run_for(context, length_s)


@when("two entries are busy for {length_s:d} s and the third idle")
def two_busy(context, length_s):
    for process in _processes(context)[:2]:
        process.demand_bytes_per_s = 2.0 * context.cap
    _run_for(context, length_s)


@when("the other is restarted and busy at once for {length_s:d} s")
def other_restarted(context, length_s):
    name = _processes(context)[1].name
    context.zone.restart(name)
    other_busy(context, length_s)


@when("the busy entry freezes for {length_s:d} s while the other becomes busy")
def busy_freezes(context, length_s):
    context.zone.freeze(_processes(context)[0].name, length_s=length_s)
    other_busy(context, 2 * length_s)


@when("the busy entry gets no timer while the other becomes busy")
def busy_without_timers(context):
    _processes(context)[0].timers_late = True
    other_busy(context, 5)


@when("{runs:d} random runs of {length_s:d} s suffer {faults}")
def random_runs(context, runs, length_s, faults):
    context.busiest = []
    for seed in range(runs):
        zone = SimulatedZone(
            seed=seed,
            entries=context.entries,
            cap_bytes_per_s=context.cap,
            faults=FAULTS[faults],
        )
        zone.vary_demand()
        zone.run(until_s=float(length_s))
        moved_bytes = zone.moved_since(since_s=0.0)
        assert moved_bytes > 0, f"seed {seed}: nothing moved"
        context.busiest.append((zone.busiest_second_bytes(), seed))


@then("the busy entry moved at least {percent:d}% of the cap")
def busy_moved(context, percent):
    length_s = context.zone.now_s - context.started_s
    moved_bytes = context.zone.moved_since(since_s=context.started_s)
    fraction = moved_bytes / (context.cap * length_s)
    assert fraction * 100 >= percent, f"only {fraction:.1%}"


@then(
    "each of the two moved at least {percent:d}% of the cap in the last"
    " {length_s:d} s"
)
def each_moved(context, percent, length_s):
    since_s = context.zone.now_s - length_s
    for process in _processes(context)[:2]:
        moved_bytes = context.zone.moved_since(
            since_s=since_s, name=process.name
        )
        fraction = moved_bytes / (context.cap * length_s)
        assert fraction * 100 >= percent, f"{process.name} {fraction:.1%}"


@then("no window of one second is over the cap")
def window_within_cap(context):
    busiest = context.zone.busiest_second_bytes()
    assert busiest <= context.cap + ROUNDING_BYTES, busiest


@then("no window of one second is over the cap in any run")
def windows_within_cap(context):
    busiest, seed = max(context.busiest)
    assert busiest <= context.cap + ROUNDING_BYTES, f"{busiest}, seed {seed}"
