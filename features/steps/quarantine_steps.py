"""Steps of quarantine.feature."""

from behave import given
from behave import then
from behave import when

from almondstair.core.announcement_limiter import AnnouncementLimiter
from almondstair.core.message_delays import MessageDelayEstimator
from almondstair.core.quarantine import DispatchVerdict
from almondstair.core.quarantine import Quarantine
from almondstair.core.quarantine import body_digest
from almondstair.core.quarantine import request_fingerprint

HEARTBEAT_S = 0.25
CRASHING = request_fingerprint(
    method="POST", path="/crash", body_digest=body_digest(body=b"bad")
)
HARMLESS = request_fingerprint(
    method="POST", path="/crash", body_digest=body_digest(body=b"good")
)


@given("quarantines of {count:d} entries that exchange heartbeats")
def quarantines(context, count):
    context.quarantines = []
    for _ in range(count):
        context.quarantines.append(Quarantine())
    context.now_s = 0.0
    context.crashed = set()


def _exchange_heartbeats(context, *, transit_s):
    """Sends one heartbeat of every entry to every entry."""
    marks_by_entry = []
    for quarantine in context.quarantines:
        marks_by_entry.append(quarantine.next_marks(now_s=context.now_s))
    context.now_s += transit_s
    for marks in marks_by_entry:
        for quarantine in context.quarantines:
            quarantine.drop_expired(now_s=context.now_s)
            quarantine.merge_marks(marks=marks, now_s=context.now_s)


@when("a crashing request is sent {count:d} times, each time to the next entry")
def crashing_sent(context, count):
    for attempt in range(count):
        quarantine = context.quarantines[attempt % len(context.quarantines)]
        verdict = quarantine.verdict(fingerprint=CRASHING, now_s=context.now_s)
        if verdict is not DispatchVerdict.QUARANTINED:
            upstream = f"upstream-{attempt}"
            context.crashed.add(upstream)
            quarantine.record_strike(
                fingerprint=CRASHING,
                upstream=upstream,
                ran_s=0.01,
                now_s=context.now_s,
            )
        _exchange_heartbeats(context, transit_s=HEARTBEAT_S)


@when("{length_s:d} s pass with heartbeats that take {transit_s:g} s")
def time_passes(context, length_s, transit_s):
    end_s = context.now_s + length_s
    while context.now_s < end_s:
        _exchange_heartbeats(context, transit_s=transit_s)


@when(
    "entry 0 has one strike and its marks are taken in {count:d} times by "
    "entry 1"
)
def marks_repeated(context, count):
    first, second = context.quarantines[:2]
    first.record_strike(
        fingerprint=CRASHING, upstream="u", ran_s=0.01, now_s=context.now_s
    )
    marks = first.next_marks(now_s=context.now_s)
    for _ in range(count):
        second.merge_marks(marks=marks, now_s=context.now_s)


@when("entry 0 has strikes against {count:d} requests")
def many_strikes(context, count):
    for fingerprint in range(count):
        context.quarantines[0].record_strike(
            fingerprint=fingerprint,
            upstream="u",
            ran_s=0.01,
            now_s=context.now_s,
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
    _assert_verdicts(context, CRASHING, DispatchVerdict.QUARANTINED)
    for quarantine in context.quarantines:
        remaining_s = quarantine.remaining_s(
            fingerprint=CRASHING, now_s=context.now_s
        )
        assert remaining_s > 120.0, remaining_s


@then("the request is clear on every entry")
def clear_everywhere(context):
    _assert_verdicts(context, CRASHING, DispatchVerdict.CLEAR)


@then("another request is clear on every entry")
def other_clear_everywhere(context):
    _assert_verdicts(context, HARMLESS, DispatchVerdict.CLEAR)


@then("entry 1 tells the request to run alone")
def runs_isolated(context):
    verdict = context.quarantines[1].verdict(
        fingerprint=CRASHING, now_s=context.now_s
    )
    assert verdict is DispatchVerdict.ISOLATED, verdict


@then("each digest of entry 0 has at most {limit:d} marks")
def digest_bounded(context, limit):
    context.limit = limit


@then("{count:d} heartbeats carry all {requests:d} to entry 1")
def heartbeats_carry(context, count, requests):
    first, second = context.quarantines[:2]
    for _ in range(count):
        marks = first.next_marks(now_s=context.now_s)
        assert len(marks) <= context.limit, len(marks)
        second.merge_marks(marks=marks, now_s=context.now_s)
    assert len(second) == requests, len(second)


# Announcements of strikes.


@given("announcements that are spaced by {span_ms:d} ms")
def step_announcements(context, span_ms):
    context.announcement_limiter = AnnouncementLimiter(
        interval_s=span_ms / 1000
    )
    context.announced_s = []


def _record_strike_at(context, at_s):
    scheduled_s = getattr(context, "scheduled_s", None)
    if scheduled_s is not None and scheduled_s <= at_s:
        context.announcement_limiter.record_scheduled_sent(now_s=scheduled_s)
        context.announced_s.append(scheduled_s)
        context.scheduled_s = None
    wait_s = context.announcement_limiter.wait_s(now_s=at_s)
    if wait_s == 0:
        context.announced_s.append(at_s)
    elif wait_s is not None:
        context.scheduled_s = at_s + wait_s


@when("strikes come at 0, 13 and 16 ms")
def step_three_strikes(context):
    for at_ms in (0, 13, 16):
        _record_strike_at(context, at_ms / 1000)


@then("they are announced at 0, 13 and 16 ms")
def step_announced(context):
    assert context.announced_s == [0.0, 0.013, 0.016], context.announced_s


@when("{count:d} strikes come within {span_ms:d} ms")
def step_many_strikes(context, count, span_ms):
    for number in range(count):
        _record_strike_at(context, number * span_ms / 1000 / count)


@then(
    "{count:d} announcements are made, the last one {after_ms:d} ms after the "
    "first"
)
def step_count_announced(context, count, after_ms):
    assert len(context.announced_s) == count - 1, context.announced_s
    assert abs(context.scheduled_s - after_ms / 1000) < 1e-9, (
        context.scheduled_s
    )


@given(
    "quarantines of {count:d} entries whose heartbeats usually take "
    "{usual_ms:d} ms"
)
def measure_usual_delay(context, count, usual_ms):
    quarantines(context, count)
    context.now_s = 1000.0
    # Entries have no common clock.
    context.clock_offsets_s = [700.0 * number for number in range(count)]
    context.delays = [MessageDelayEstimator() for _ in range(count)]
    for _ in range(5):
        _exchange_timed_heartbeats(context, transit_s=usual_ms / 1000)


def _exchange_timed_heartbeats(context, *, transit_s):
    """Exchanges heartbeats that carry the time when they were sent."""
    sent = []
    for number, quarantine in enumerate(context.quarantines):
        clock_s = context.now_s + context.clock_offsets_s[number]
        sent.append((clock_s, quarantine.next_marks(now_s=clock_s)))
    context.now_s += transit_s
    for number, quarantine in enumerate(context.quarantines):
        clock_s = context.now_s + context.clock_offsets_s[number]
        for sender, (sent_s, marks) in enumerate(sent):
            if sender == number:
                continue
            arrival_s = context.delays[number].undelayed_arrival_s(
                sender=str(sender), incarnation=1, sent_s=sent_s, now_s=clock_s
            )
            quarantine.merge_marks(marks=marks, now_s=arrival_s)


@when(
    "upstreams of both die {apart_ms:d} ms apart while they run one look-up "
    "for {ran_ms:d} ms"
)
def both_crash(context, apart_ms, ran_ms):
    for number, quarantine in enumerate(context.quarantines):
        quarantine.record_strike(
            fingerprint=CRASHING,
            upstream=f"upstream-{number}",
            ran_s=ran_ms / 1000,
            now_s=context.now_s + context.clock_offsets_s[number],
        )
        context.now_s += apart_ms / 1000


@when(
    "one of that look-up that ran for {ran_ms:d} ms is lost at the second as "
    "well"
)
def short_run_lost(context, ran_ms):
    context.quarantines[1].record_strike(
        fingerprint=CRASHING,
        upstream="upstream-1",
        ran_s=ran_ms / 1000,
        now_s=context.now_s + context.clock_offsets_s[1],
    )


@when("the heartbeats that tell it take {held_ms:d} ms")
def delay_heartbeats(context, held_ms):
    _exchange_timed_heartbeats(context, transit_s=held_ms / 1000)


def _verdicts(context):
    found = []
    for number, quarantine in enumerate(context.quarantines):
        clock_s = context.now_s + context.clock_offsets_s[number]
        found.append(quarantine.verdict(fingerprint=CRASHING, now_s=clock_s))
    return found


@then("the request is not quarantined on any entry")
def not_quarantined(context):
    assert DispatchVerdict.QUARANTINED not in _verdicts(context), _verdicts(
        context
    )
