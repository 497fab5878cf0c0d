"""Steps of links_path.feature."""

from collections import Counter
import time

from behave import given
from behave import then
from behave import when

from features.support.bounded import WINDOW_BINS
from features.support.bounded import BoundedDeployment
from features.support.bounded import largest_window
from features.support.closed_loop import BIN_S
from features.support.closed_loop import ClosedLoop
from features.support.closed_loop import LoadRequest
from features.support.deployment import Shape
from features.support.harness import Processes
from features.support.harness import wait_until

MB = 1_000_000
CAP_BYTES_PER_S = 4 * MB
# Framing and headers, which the stand-ins do not count, are part of the cap.
FRAMING = 1.05
BODY_BYTES = MB // 2
CALLERS = 6
# Look-ups go first; more of them would leave uploads no slot.
FEW_CALLERS = 2
LONG_MS = 20000
ZONE = "bkk-1"
SETTLE_S = 1.0
WARM_SLOTS = 6
LOADS = {
    "uploads": LoadRequest(
        path="/matching/batches/1",
        method="PUT",
        body_bytes=BODY_BYTES,
        deadline_ms=LONG_MS,
    ),
    "downloads": LoadRequest(
        path=f"/matching/statements/1?answer_bytes={BODY_BYTES}",
        deadline_ms=LONG_MS,
    ),
    # Interactive, as the upload class goes first where a link is full.
    "look-ups": LoadRequest(
        path=f"/matching/orders/1?answer_bytes={BODY_BYTES // 2}"
    ),
}
UPLOAD = 0


@given("two entries of bkk-1 with links of 4 MB/s")
def step_entries(context):
    deployment = getattr(context, "links_deployment", None)
    if deployment is None:
        deployment = BoundedDeployment(
            processes=Processes(),
            shape=Shape(
                entries={"bkk": 2, "cnx": 1},
                upstreams={"bkk": 1, "cnx": 1},
                slots=40,
                cap_bytes_per_s=CAP_BYTES_PER_S,
            ),
            long_ms=LONG_MS,
        )
        context._set_root_attribute("links_deployment", deployment)
        context.add_cleanup(deployment.processes.end, layer="feature")
        deployment.start()
    context.deployment = deployment
    context.load = ClosedLoop(zone=ZONE)
    context.add_cleanup(_leave_idle, context)
    wait_until(lambda: _share_is_whole(context), what="shares")
    _warm(context)
    context.first_bin = int(time.monotonic() / BIN_S)


def _warm(context):
    """Works until slow start lets the upstreams use enough of their slots."""
    load = ClosedLoop(zone="elsewhere")
    for entry in ("bkk-e0", "bkk-e1", "cnx-e0"):
        address = context.deployment.entries[entry]["caller"]
        request = LoadRequest(path="/matching/orders/1?work_ms=50")
        load.add(entry=entry, address=address, request=request, callers=12)

    def warm():
        for upstream in context.deployment.upstreams:
            if context.deployment.journal(upstream)["busy"] < WARM_SLOTS:
                return False
        return True

    wait_until(warm, limit_s=10.0, what="warm upstreams")
    load.stop()


def _share_is_whole(context):
    """Says whether both entries of the zone have their shares again."""
    for name in ("bkk-e0", "bkk-e1"):
        status = context.deployment.status(name)
        if status is None:
            return False
        for link in status["links"]:
            if link["availability_zone"] != ZONE:
                continue
            if not link["share_bytes_per_s"]:
                return False
    return True


def _leave_idle(context):
    context.load.stop()
    for child in context.deployment.processes.children.values():
        if not child.is_running():
            context.deployment.start_entry(child.name)
    context.deployment.mark("bkk-e0", "bkk-u0", leaving=False)


@given("only bkk has an upstream")
def step_only_bkk(context):
    deployment = context.deployment
    assert deployment.mark("bkk-e0", "cnx-u0", leaving=True).status == 200
    context.add_cleanup(deployment.mark, "bkk-e0", "cnx-u0", leaving=False)


def _add(context, entry, *ways, callers=CALLERS):
    for way in ways:
        context.load.add(
            entry=entry,
            address=context.deployment.entries[entry]["caller"],
            request=LOADS[way],
            callers=callers,
        )


def _bins(context, upstream, side):
    """Bytes of the zone's bodies at an upstream, since the scenario began."""
    found = {}
    counted = context.deployment.journal(upstream)["bytes"].get(ZONE, {})
    for place, both in counted.items():
        if int(place) >= context.first_bin:
            found[int(place)] = both[side]
    return found


def _read_bins(context, upstream):
    """Bytes of an upstream's answers as the callers read them.

    What an upstream writes lies in buffers for a while; an entry passes on
    to the callers what it has paid for.
    """
    return dict(context.load.read_bytes.get(upstream, {}))


def _ends(context):
    """Counts how the requests ended."""
    ends = Counter()
    for record in context.load.records:
        ends[(record.status, record.problem.get("kind"))] += 1
    return ends


def _moved(bins, *, since_bin):
    total = 0
    for place, size_bytes in bins.items():
        if place >= since_bin:
            total += size_bytes
    return total


@when("callers of bkk-e0 keep {way} under way for {seconds:g} s")
@given("callers of bkk-e0 keep {way} under way for {seconds:g} s")
def step_one_busy(context, way, seconds):
    _add(context, "bkk-e0", way)
    time.sleep(SETTLE_S)
    context.since_s = time.monotonic()
    time.sleep(seconds)
    context.until_s = time.monotonic()


@then("the {way} reached 90% of the cap by one entry")
def step_moved(context, way):
    bins = _read_bins(context, "bkk-u0")
    if way == "uploads":
        bins = _bins(context, "bkk-u0", UPLOAD)
    first = int(context.since_s / BIN_S) + 1
    last = int(context.until_s / BIN_S)
    total = 0
    for place in range(first, last):
        total += bins.get(place, 0)
    part = total / ((last - first) * BIN_S) / CAP_BYTES_PER_S
    print(f"{way}: {part:.1%} of the cap by one entry of two")
    assert part >= 0.9, f"{part:.1%}"


@given("callers of bkk-e0 and bkk-e1 keep both ways busy")
def step_both_busy(context):
    for entry in ("bkk-e0", "bkk-e1"):
        _add(context, entry, "uploads")
        _add(context, entry, "look-ups", callers=FEW_CALLERS)
    time.sleep(SETTLE_S)


@when("the upstream of bkk is marked as leaving")
def step_leaving(context):
    answer = context.deployment.mark("bkk-e0", "bkk-u0", leaving=True)
    assert answer.status == 200, answer


@when("nothing else fails for {seconds:g} s")
def step_nothing(context, seconds):
    time.sleep(seconds)


@when("{entry} is killed for {seconds:g} s")
def step_killed(context, entry, seconds):
    context.deployment.processes.children[entry].kill()
    time.sleep(seconds)


@when("{entry} is frozen for {seconds:g} s")
def step_frozen(context, entry, seconds):
    child = context.deployment.processes.children[entry]
    child.freeze()
    time.sleep(seconds)
    child.thaw()


@when("the traffic has gone to cnx for {seconds:g} s")
def step_gone(context, seconds):
    # Callers whose entry froze wait for it; others come.
    _add(context, "bkk-e0", "uploads")
    _add(context, "bkk-e0", "look-ups", callers=FEW_CALLERS)
    context.since_s = time.monotonic()
    time.sleep(seconds)


@when("{who} is frozen for {seconds:g} s as bkk-e1 gets callers of its own")
def step_frozen_loan(context, who, seconds):
    child = context.deployment.processes.children[who]
    child.freeze()
    _add(context, "bkk-e1", "uploads")
    time.sleep(seconds)
    child.thaw()
    time.sleep(2.0)


@then("bytes still move to cnx")
def step_still(context):
    since_bin = int(context.since_s / BIN_S)
    up = _moved(_bins(context, "cnx-u0", UPLOAD), since_bin=since_bin)
    down = _moved(_read_bins(context, "cnx-u0"), since_bin=since_bin)
    # Which way depends on which class gets the slots; no way is a stall.
    assert up + down > BODY_BYTES, (up, down)


@then("no window of a link was above its cap")
def step_under(context):
    time.sleep(2 * BIN_S)
    limit = CAP_BYTES_PER_S * FRAMING * BIN_S * WINDOW_BINS
    for upstream in context.deployment.upstreams:
        most = largest_window(_bins(context, upstream, UPLOAD))
        print(f"{upstream}, up: {most / CAP_BYTES_PER_S:.1%} of the cap")
        assert most <= limit, f"{upstream} got {most} bytes in a window"
        most = largest_window(_read_bins(context, upstream))
        print(f"{upstream}, down: {most / CAP_BYTES_PER_S:.1%} of the cap")
        assert most <= limit, f"callers got {most} bytes in a window"


@when("{count:d} uploads of 4 MB with a deadline of 6 s come to bkk-e0 at once")
def step_flood(context, count):
    request = LoadRequest(
        path="/matching/batches/1",
        method="PUT",
        body_bytes=4 * MB,
        deadline_ms=6000,
    )
    context.load.add(
        entry="bkk-e0",
        address=context.deployment.entries["bkk-e0"]["caller"],
        request=request,
        callers=count,
    )
    time.sleep(1.0)
    context.load.stop()


@then("some are done, the rest is refused within {limit_s:g} s")
def step_some(context, limit_s):
    done = context.load.answered()
    refused = context.load.refused(kind="link_full")
    # Slow start may allow fewer uploads than the link.
    no_slot = context.load.refused(kind="no_slot")
    ends = _ends(context)
    print(ends)
    assert done, ends
    assert refused, ends
    others = len(context.load.records) - len(done) - len(refused)
    assert others == len(no_slot), ends
    for record in refused + no_slot:
        took_s = record.end_s - record.start_s
        assert took_s <= limit_s, f"a refusal took {took_s:.2f} s"


@then("every refusal by a full link says when to come back")
def step_refusals(context):
    for record in context.load.refused(kind="link_full"):
        assert record.problem["ran"] == "no", record
        assert record.problem["retry_after_ms"] > 0, record
