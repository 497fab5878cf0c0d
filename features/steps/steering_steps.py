"""Steps of steering.feature: the pure core under a clock of the test's own."""

import random

from behave import given
from behave import then
from behave import when

from almondstair.core.blocks import BlockSite
from almondstair.core.blocks import table_from_rows
from almondstair.core.blocks import table_from_shards
from almondstair.core.lookup import LookupEntry
from almondstair.core.lookup import LookupTable
from almondstair.core.lookup import caller_block
from almondstair.core.lookup import zone_distances_ms
from almondstair.core.model import Priority
from almondstair.core.quarantine import Quarantine
from almondstair.core.quarantine import Verdict
from almondstair.core.quarantine import body_digest
from almondstair.core.quarantine import request_fingerprint
from almondstair.core.retries import RetryBudget
from almondstair.core.retries import retry_after_ms
from almondstair.errors import AlmondstairError
from features.support.steering_world import REGIONS
from features.support.steering_world import REPORT_LIMIT_S
from features.support.steering_world import SCALE
from features.support.steering_world import SERVICE
from features.support.steering_world import TICK_S
from features.support.steering_world import ZONE
from features.support.steering_world import SteeringWorld
from features.support.steering_world import configuration

TOLERANCE = 0.005
REQUESTS_PER_TICK = 5
DRAWS = 200
HEARTBEAT_S = 0.25
CRASHING = request_fingerprint(
    method="POST", path="/crash", body_digest=body_digest(body=b"bad")
)
HARMLESS = request_fingerprint(
    method="POST", path="/crash", body_digest=body_digest(body=b"good")
)


def _draws():
    for step in range(DRAWS):
        yield step / DRAWS


# --- regions


@given('steering over home, near and far by the profile "{profile}"')
def steering_by(context, profile):
    context.world = SteeringWorld(profile=profile)


@when("all regions report {free:g} free slots for {length_s:d} s")
def all_report(context, free, length_s):
    free_slots = dict.fromkeys(REGIONS, free)
    context.world.run(length_s=length_s, free_slots=free_slots)


@when(
    "for {length_s:d} s the free slots are home {home:g}, near {near:g}, "
    "far {far:g}"
)
def free_slots_are(context, length_s, home, near, far):
    context.world.run(
        length_s=length_s,
        free_slots={"home": home, "near": near, "far": far},
    )


@when(
    "one report gives the free slots home {home:g}, near {near:g}, far {far:g}"
)
def one_report(context, home, near, far):
    context.world.report({"home": home, "near": near, "far": far})


@when("only {first} and {second} report {free:g} free slots for {length_s:d} s")
def only_two_report(context, first, second, free, length_s):
    context.world.silent_since_s = context.world.now_s
    context.world.run(length_s=length_s, free_slots={first: free, second: free})


@when("nobody reports for {length_s:d} s")
def nobody_reports(context, length_s):
    context.world.run(length_s=length_s, free_slots={})


def _run_with_answers(context, *, free, length_s, each):
    context.world.mark_s = context.world.now_s

    def each_tick():
        for _ in range(REQUESTS_PER_TICK):
            each(context.world)

    context.world.run(
        length_s=length_s,
        free_slots=dict.fromkeys(REGIONS, free),
        each_tick=each_tick,
    )


@when(
    "all regions report {free:g} free slots for {length_s:d} s while "
    '"{region}" fails requests'
)
def fails(context, free, length_s, region):
    def fail(world):
        world.steering.failed(region=region, service=SERVICE, now_s=world.now_s)

    _run_with_answers(context, free=free, length_s=length_s, each=fail)


@when(
    "all regions report {free:g} free slots for {length_s:d} s while "
    '"{region}" refuses requests'
)
def refuses(context, free, length_s, region):
    def refuse(world):
        world.steering.refused(
            region=region,
            service=SERVICE,
            priority=Priority.INTERACTIVE,
            now_s=world.now_s,
        )

    _run_with_answers(context, free=free, length_s=length_s, each=refuse)


@when(
    "all regions report {free:g} free slots for {length_s:d} s while "
    '"{region}" answers in {latency_ms:g} ms'
)
def answers(context, free, length_s, region, latency_ms):
    def answer(world):
        world.steering.answered(
            region=region,
            service=SERVICE,
            priority=Priority.INTERACTIVE,
            request_class="get",
            latency_ms=latency_ms,
            now_s=world.now_s,
        )

    _run_with_answers(context, free=free, length_s=length_s, each=answer)


@when('the region "{region}" is lost')
def region_lost(context, region):
    context.world.steering.region_lost(region=region)


@when('the region "{region}" is back')
def region_back(context, region):
    context.world.mark_s = context.world.now_s
    context.world.steering.region_back(region=region)


@when('the link to "{region}" has a headroom of {headroom:g}')
def link_headroom(context, region, headroom):
    context.world.steering.observe_link(
        availability_zone=ZONE, region=region, headroom=headroom
    )


@when('{count:d} requests are sent to "{region}"')
def requests_sent(context, count, region):
    for _ in range(count * SCALE):
        context.world.steering.sent(region=region, service=SERVICE)


def _assert_weight(context, region, weight, priority):
    found = context.world.weights(priority)[region]
    assert abs(found - weight) < TOLERANCE, context.world.weights(priority)


@then('the weight of "{region}" is {weight:g}')
def weight_is(context, region, weight):
    _assert_weight(context, region, weight, Priority.INTERACTIVE)


@then('the weight of "{region}" for batch work is {weight:g}')
def batch_weight_is(context, region, weight):
    _assert_weight(context, region, weight, Priority.BATCH)


@then('the weight of "{region}" is at most {weight:g}')
def weight_at_most(context, region, weight):
    found = context.world.weights(Priority.INTERACTIVE)[region]
    assert found <= weight + 1e-9, found


def _assert_ramp(context, ramp, since_s):
    for region in REGIONS:
        growth = context.world.growth(region=region, since_s=since_s)
        assert growth <= ramp * TICK_S + 1e-9, (region, growth)


@then("no weight grew by more than {ramp:g} in any second")
def ramp_bound(context, ramp):
    _assert_ramp(context, ramp, since_s=0.0)


@then(
    'no weight grew by more than {ramp:g} in any second since "{region}" {what}'
)
def ramp_bound_since(context, ramp, region, what):
    _assert_ramp(context, ramp, since_s=context.world.mark_s)


@then('the weight of "{region}" never grew after the limit')
def never_grew_after_limit(context, region):
    since_s = context.world.silent_since_s + REPORT_LIMIT_S
    growth = context.world.growth(region=region, since_s=since_s)
    assert growth <= 1e-9, growth


@then('the weight of "{region}" never grew')
def never_grew(context, region):
    growth = context.world.growth(region=region, since_s=0.0)
    assert growth <= 1e-9, growth


@then("{priority} work is refused at once")
def work_refused(context, priority):
    for draw in _draws():
        order = context.world.choose(Priority(priority), draw)
        assert order == (), order


@then(
    'at most {part:g} of {priority} work goes to "{region}", '
    "the rest is refused"
)
def little_work_goes(context, part, priority, region):
    sent = 0
    for draw in _draws():
        order = context.world.choose(Priority(priority), draw)
        assert order[:1] in ((), (region,)), order
        sent += order != ()
    assert sent <= part * DRAWS, sent


@then('{priority} work goes to "{region}" first')
def work_goes_first(context, priority, region):
    for draw in _draws():
        order = context.world.choose(Priority(priority), draw)
        assert order[:1] == (region,), order


@then('{priority} work is never sent to "{region}" first')
def work_never_first(context, priority, region):
    for draw in _draws():
        order = context.world.choose(Priority(priority), draw)
        assert order[:1] != (region,), order


# --- retries


@given("a retry budget of {fraction:g}")
def retry_budget(context, fraction):
    context.budget = RetryBudget(fraction=fraction)
    context.now_s = 0.0


def _offer(context, *, length_s, rate, refused_part):
    """Offers first tries; a part of all tries is refused, retries as well."""
    before = context.budget.counts
    draw = random.Random(1)
    for _ in range(length_s * rate):
        context.now_s += 1.0 / rate
        context.budget.first_try(now_s=context.now_s)
        while draw.random() < refused_part:
            if not context.budget.may_retry(now_s=context.now_s):
                break
    after = context.budget.counts
    context.first_tries = after.first_tries - before.first_tries
    context.retries = after.retries - before.retries


@when(
    "for {length_s:d} s {rate:d} first tries a second come and each refused "
    "one is retried"
)
def refused_retried(context, length_s, rate):
    _offer(context, length_s=length_s, rate=rate, refused_part=0.5)


@when(
    "for {length_s:d} s {rate:d} first tries a second come and none is refused"
)
def none_refused(context, length_s, rate):
    _offer(context, length_s=length_s, rate=rate, refused_part=0.0)


@then("retries are at most {fraction:g} of first tries")
def retries_at_most(context, fraction):
    assert context.retries <= fraction * context.first_tries, context.retries


@then(
    "retries of the last {length_s:d} s are at most {fraction:g} of its "
    "first tries"
)
def late_retries_at_most(context, length_s, fraction):
    assert context.retries <= fraction * context.first_tries, context.retries


@then("retries are at least {fraction:g} of first tries")
def retries_at_least(context, fraction):
    assert context.retries >= fraction * context.first_tries, context.retries


def _assert_spread(low_ms, high_ms, base_ms, pressure):
    times_ms = []
    for draw in _draws():
        times_ms.append(
            retry_after_ms(base_ms=base_ms, draw=draw, pressure=pressure)
        )
    step_ms = (high_ms - low_ms) / DRAWS
    assert min(times_ms) == low_ms, min(times_ms)
    assert high_ms - step_ms <= max(times_ms) <= high_ms, max(times_ms)
    assert len(set(times_ms)) == DRAWS


@then(
    "times to come back from a base of {base_ms:d} ms spread over "
    "{low_ms:d} to {high_ms:d} ms"
)
def times_spread(context, base_ms, low_ms, high_ms):
    context.base_ms = base_ms
    _assert_spread(low_ms, high_ms, base_ms, 1.0)


@then("at twice the capacity they spread over {low_ms:d} to {high_ms:d} ms")
def times_spread_pressed(context, low_ms, high_ms):
    _assert_spread(low_ms, high_ms, context.base_ms, 2.0)


# --- quarantine


@given("quarantines of {count:d} entries that exchange heartbeats")
def quarantines(context, count):
    context.quarantines = []
    for _ in range(count):
        context.quarantines.append(Quarantine())
    context.now_s = 0.0
    context.crashed = set()


def _exchange(context, *, transit_s):
    """Sends one heartbeat of every entry to every entry."""
    digests = []
    for quarantine in context.quarantines:
        digests.append(quarantine.digest(now_s=context.now_s))
    context.now_s += transit_s
    for marks in digests:
        for quarantine in context.quarantines:
            quarantine.expire(now_s=context.now_s)
            quarantine.merge(marks=marks, now_s=context.now_s)


@when("a crashing request is sent {count:d} times, each time to the next entry")
def crashing_sent(context, count):
    for attempt in range(count):
        quarantine = context.quarantines[attempt % len(context.quarantines)]
        verdict = quarantine.verdict(fingerprint=CRASHING, now_s=context.now_s)
        if verdict is not Verdict.QUARANTINED:
            upstream = f"upstream-{attempt}"
            context.crashed.add(upstream)
            quarantine.strike(
                fingerprint=CRASHING, upstream=upstream, now_s=context.now_s
            )
        _exchange(context, transit_s=HEARTBEAT_S)


@when("{length_s:d} s pass with heartbeats that take {transit_s:g} s")
def time_passes(context, length_s, transit_s):
    ends_s = context.now_s + length_s
    while context.now_s < ends_s:
        _exchange(context, transit_s=transit_s)


@when(
    "entry 0 has one strike and its marks are taken in {count:d} times by "
    "entry 1"
)
def marks_repeated(context, count):
    first, second = context.quarantines[:2]
    first.strike(fingerprint=CRASHING, upstream="u", now_s=context.now_s)
    marks = first.digest(now_s=context.now_s)
    for _ in range(count):
        second.merge(marks=marks, now_s=context.now_s)


@when("entry 0 has strikes against {count:d} requests")
def many_strikes(context, count):
    for fingerprint in range(count):
        context.quarantines[0].strike(
            fingerprint=fingerprint, upstream="u", now_s=context.now_s
        )


@then("{count:d} upstreams were crashed")
def upstreams_crashed(context, count):
    assert len(context.crashed) == count, context.crashed


def _assert_verdicts(context, fingerprint, verdict):
    for quarantine in context.quarantines:
        found = quarantine.verdict(fingerprint=fingerprint, now_s=context.now_s)
        assert found is verdict, found


@then("the request is quarantined on every entry")
def quarantined_everywhere(context):
    _assert_verdicts(context, CRASHING, Verdict.QUARANTINED)
    for quarantine in context.quarantines:
        remaining_s = quarantine.remaining_s(
            fingerprint=CRASHING, now_s=context.now_s
        )
        assert remaining_s > 120.0, remaining_s


@then("the request is clear on every entry")
def clear_everywhere(context):
    _assert_verdicts(context, CRASHING, Verdict.CLEAR)


@then("another request is clear on every entry")
def other_clear_everywhere(context):
    _assert_verdicts(context, HARMLESS, Verdict.CLEAR)


@then("entry 1 tells the request to run alone")
def runs_alone(context):
    verdict = context.quarantines[1].verdict(
        fingerprint=CRASHING, now_s=context.now_s
    )
    assert verdict is Verdict.ALONE, verdict


@then("each digest of entry 0 has at most {limit:d} marks")
def digest_bounded(context, limit):
    context.limit = limit


@then("{count:d} heartbeats carry all {requests:d} to entry 1")
def heartbeats_carry(context, count, requests):
    first, second = context.quarantines[:2]
    for _ in range(count):
        marks = first.digest(now_s=context.now_s)
        assert len(marks) <= context.limit, len(marks)
        second.merge(marks=marks, now_s=context.now_s)
    assert len(second) == requests, len(second)


# --- look-up


def _lookup_table(entries):
    return LookupTable(
        entries=tuple(entries),
        distances_ms=zone_distances_ms(
            configuration=configuration(profile="local"), availability_zone=ZONE
        ),
    )


@given("{count:d} entries in each of the zones {zones}")
def lookup_entries(context, count, zones):
    context.entries = []
    for zone in zones.replace(" and ", ", ").split(", "):
        for number in range(count):
            name = f"{zone}-{number}"
            context.entries.append(LookupEntry(name, zone, "127.0.0.1:1"))
    context.lookup_table = _lookup_table(context.entries)


@then(
    "a look-up for a block names {first:d} entries of {zone} and {last:d} of "
    "{other}"
)
def lookup_names(context, first, zone, last, other):
    block = caller_block(address="192.0.2.7")
    zones = []
    for entry in context.lookup_table.order(block=block):
        zones.append(entry.availability_zone)
    assert zones == [zone] * first + [other] * last, zones
    assert context.lookup_table.order(
        block=block
    ) is context.lookup_table.order(block=block)


@then("{count:d} blocks spread over all entries of {zone}")
def blocks_spread(context, count, zone):
    firsts = {}
    for number in range(count):
        entry = context.lookup_table.order(block=number.to_bytes(3))[0]
        assert entry.availability_zone == zone
        firsts[entry.name] = firsts.get(entry.name, 0) + 1
    in_zone = 0
    for entry in context.entries:
        in_zone += entry.availability_zone == zone
    assert len(firsts) == in_zone
    # Four standard deviations of a fair draw.
    fair = count / in_zone
    assert min(firsts.values()) > fair - 4 * fair**0.5, firsts
    assert max(firsts.values()) < fair + 4 * fair**0.5, firsts


@then("without one entry only the blocks that used it change")
def little_change(context):
    gone = context.entries[0]
    smaller = _lookup_table(context.entries[1:])
    for number in range(1000):
        block = number.to_bytes(3)
        before = context.lookup_table.order(block=block)
        if gone in before:
            continue
        assert smaller.order(block=block) == before


@then('the block of "{address}" is that of "{other}"')
def same_block(context, address, other):
    assert caller_block(address=address) == caller_block(address=other)


@then('the block of "{address}" is not that of "{other}"')
def other_block(context, address, other):
    assert caller_block(address=address) != caller_block(address=other)


@given("a table of {count:d} client blocks")
def block_table(context, count):
    draw = random.Random(1)
    context.sites = {}
    while len(context.sites) < count:
        width = draw.choice((3, 6))
        block = draw.randbytes(width)
        context.sites[block] = draw.randrange(130)
    rows = []
    for block, site in context.sites.items():
        rows.append(BlockSite(block, site))
    context.blocks = table_from_rows(rows=rows, version=7)


def _assert_sites(table, sites):
    assert len(table) == len(sites)
    for block, site in sites.items():
        assert table.site(block=block) == site


@then("each block is found with its site")
def blocks_found(context):
    _assert_sites(context.blocks, context.sites)


@then("blocks that are not in it have no site")
def blocks_missing(context):
    draw = random.Random(2)
    for _ in range(1000):
        block = draw.randbytes(draw.choice((3, 6)))
        found = context.blocks.site(block=block)
        assert found == context.sites.get(block), block


@then("its shards are below {limit_bytes:d} bytes and give the same table")
def shards_same(context, limit_bytes):
    values = context.blocks.shards()
    assert len(values) > 1
    for value in values:
        assert len(value) < limit_bytes, len(value)
    table = table_from_shards(values=reversed(values))
    assert table.version == 7
    _assert_sites(table, context.sites)


@then("a table with a shard missing is refused")
def shard_missing(context):
    try:
        table_from_shards(values=context.blocks.shards()[1:])
    except AlmondstairError as error:
        assert error.kind == "configuration_invalid"
        return
    raise AssertionError("a table with a gap was taken")
