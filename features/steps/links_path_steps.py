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
# The cap includes framing and headers, which the stand-ins do not count.
FRAMING_FACTOR = 1.05
BODY_BYTES = MB // 2
CALLERS = 6
# Lookups have priority; more callers would leave no slot to uploads.
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
    # Interactive: on a full link, uploads have priority over statements, which
    # are batch work.
    "look-ups": LoadRequest(
        path=f"/matching/orders/1?answer_bytes={BODY_BYTES // 2}"
    ),
}
UPLOAD_INDEX = 0


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
    context.add_cleanup(_restore_deployment, context)
    wait_until(lambda: _has_full_shares(context), what="shares")
    _warm(context)
    context.first_bin = int(time.monotonic() / BIN_S)


def _warm(context):
    """Sends requests until slow start opens enough slots of the upstreams."""
    load = ClosedLoop(zone="elsewhere")
    for entry in ("bkk-e0", "bkk-e1", "cnx-e0"):
        address = context.deployment.entries[entry]["caller"]
        request = LoadRequest(path="/matching/orders/1?work_ms=50")
        load.add(entry=entry, address=address, request=request, callers=12)

    def is_warm():
        for upstream in context.deployment.upstreams:
            if context.deployment.journal(upstream)["busy"] < WARM_SLOTS:
                return False
        return True

    wait_until(is_warm, limit_s=10.0, what="warm upstreams")
    load.stop()


def _has_full_shares(context):
    """Returns whether both entries of the zone have their shares."""
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


def _restore_deployment(context):
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


def _add_callers(context, entry, *load_names, callers=CALLERS):
    for load_name in load_names:
        context.load.add(
            entry=entry,
            address=context.deployment.entries[entry]["caller"],
            request=LOADS[load_name],
            callers=callers,
        )


def _bins(context, upstream, side):
    """Returns the bytes per bin of the zone's bodies at an upstream.

    Bins from before the scenario are left out.
    """
    sizes_bytes = {}
    bins = context.deployment.journal(upstream)["bytes"].get(ZONE, {})
    for bin_number, uploaded_and_downloaded in bins.items():
        if int(bin_number) >= context.first_bin:
            sizes_bytes[int(bin_number)] = uploaded_and_downloaded[side]
    return sizes_bytes


def _read_bins(context, upstream):
    """Returns the bytes of an upstream's answers that callers read, per bin.

    Bytes that an upstream writes stay in buffers for a while; an entry sends
    the callers only bytes that it has acquired from the link's share.
    """
    return dict(context.load.read_bytes.get(upstream, {}))


def _count_outcomes(context):
    """Returns the number of requests by status and kind of problem."""
    outcomes = Counter()
    for record in context.load.records:
        outcomes[(record.status, record.problem.get("kind"))] += 1
    return outcomes


def _moved_bytes(bins, *, since_bin):
    total_bytes = 0
    for bin_number, size_bytes in bins.items():
        if bin_number >= since_bin:
            total_bytes += size_bytes
    return total_bytes


@when("callers of bkk-e0 keep {way} under way for {seconds:g} s")
@given("callers of bkk-e0 keep {way} under way for {seconds:g} s")
def step_one_busy(context, way, seconds):
    _add_callers(context, "bkk-e0", way)
    time.sleep(SETTLE_S)
    context.since_s = time.monotonic()
    time.sleep(seconds)
    context.until_s = time.monotonic()


@then("the {way} reached 90% of the cap by one entry")
def step_moved(context, way):
    bins = _read_bins(context, "bkk-u0")
    if way == "uploads":
        bins = _bins(context, "bkk-u0", UPLOAD_INDEX)
    first_bin = int(context.since_s / BIN_S) + 1
    last_bin = int(context.until_s / BIN_S)
    total_bytes = 0
    for bin_number in range(first_bin, last_bin):
        total_bytes += bins.get(bin_number, 0)
    fraction = total_bytes / ((last_bin - first_bin) * BIN_S) / CAP_BYTES_PER_S
    print(f"{way}: {fraction:.1%} of the cap by one entry of two")
    assert fraction >= 0.9, f"{fraction:.1%}"


@given("callers of bkk-e0 and bkk-e1 keep both ways busy")
def step_both_busy(context):
    for entry in ("bkk-e0", "bkk-e1"):
        _add_callers(context, entry, "uploads")
        _add_callers(context, entry, "look-ups", callers=FEW_CALLERS)
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
    # Callers of a frozen entry wait for it, so new ones are added.
    _add_callers(context, "bkk-e0", "uploads")
    _add_callers(context, "bkk-e0", "look-ups", callers=FEW_CALLERS)
    context.since_s = time.monotonic()
    time.sleep(seconds)


@when("{who} is frozen for {seconds:g} s as bkk-e1 gets callers of its own")
def step_frozen_loan(context, who, seconds):
    child = context.deployment.processes.children[who]
    child.freeze()
    _add_callers(context, "bkk-e1", "uploads")
    time.sleep(seconds)
    child.thaw()
    time.sleep(2.0)


@then("bytes still move to cnx")
def step_still(context):
    since_bin = int(context.since_s / BIN_S)
    up_bytes = _moved_bytes(
        _bins(context, "cnx-u0", UPLOAD_INDEX), since_bin=since_bin
    )
    down_bytes = _moved_bytes(
        _read_bins(context, "cnx-u0"), since_bin=since_bin
    )
    # The direction depends on which class gets the slots; none means a stall.
    assert up_bytes + down_bytes > BODY_BYTES, (up_bytes, down_bytes)


@then("no window of a link was above its cap")
def step_under(context):
    time.sleep(2 * BIN_S)
    limit_bytes = CAP_BYTES_PER_S * FRAMING_FACTOR * BIN_S * WINDOW_BINS
    for upstream in context.deployment.upstreams:
        max_bytes = largest_window(_bins(context, upstream, UPLOAD_INDEX))
        print(f"{upstream}, up: {max_bytes / CAP_BYTES_PER_S:.1%} of the cap")
        assert max_bytes <= limit_bytes, (
            f"{upstream} got {max_bytes} bytes in a window"
        )
        max_bytes = largest_window(_read_bins(context, upstream))
        print(f"{upstream}, down: {max_bytes / CAP_BYTES_PER_S:.1%} of the cap")
        assert max_bytes <= limit_bytes, (
            f"callers got {max_bytes} bytes in a window"
        )


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
    # Slow start may allow fewer uploads than the link does.
    no_slot = context.load.refused(kind="no_slot")
    outcomes = _count_outcomes(context)
    print(outcomes)
    assert done, outcomes
    assert refused, outcomes
    other_count = len(context.load.records) - len(done) - len(refused)
    assert other_count == len(no_slot), outcomes
    for record in refused + no_slot:
        took_s = record.end_s - record.start_s
        assert took_s <= limit_s, f"a refusal took {took_s:.2f} s"


@then("every refusal by a full link says when to come back")
def step_refusals(context):
    for record in context.load.refused(kind="link_full"):
        assert record.problem["ran"] == "no", record
        assert record.problem["retry_after_ms"] > 0, record
