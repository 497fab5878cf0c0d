"""Steps for replays of load patterns."""

import contextlib
import importlib
import io
from pathlib import Path
import tempfile

from behave import then
from behave import when

from almondstair.core import choosing
from almondstair.errors import AlmondstairError
from emulator import load_pattern
from emulator import replay_switches
from emulator import replaying
from emulator.replay import Replay
from emulator.statement_rules import REST_REQUESTS
from emulator.statement_rules import REST_SETTLE_S
from features.support.limited_upstreams import SETTLE_S
from features.support.limited_upstreams import largest_window
from features.support.limited_upstreams import tolerated

_PATTERNS = Path(__file__).resolve().parents[2] / "emulator" / "patterns"
_MIN_PATTERNS = 12
_CHANGES = {
    "an unknown key": ("slots = 6", "sloots = 6"),
    "a kind of no service": ('service = "short"', 'service = "nothing"'),
    "upstreams in no region": ("upstreams = { r0", "upstreams = { nowhere"),
    "a trouble that is not known": ('what = "burst"', 'what = "flood"'),
    "a text in place of a number": ("span_s = 24.0", 'span_s = "long"'),
}


def _load(name):
    return load_pattern.load(_PATTERNS / f"{name}.toml")


@when("a pattern is read with {change}")
def step_read(context, change):
    text = (_PATTERNS / "burst.toml").read_text(encoding="utf-8")
    old, new = _CHANGES[change]
    assert old in text, old
    context.error = None
    with tempfile.TemporaryDirectory() as directory:
        context.path = Path(directory) / "pattern.toml"
        context.path.write_text(text.replace(old, new), encoding="utf-8")
        try:
            load_pattern.load(context.path)
        except AlmondstairError as error:
            context.error = error


@then("each pattern of emulator/patterns is read, a dozen at least")
def step_all_read(context):
    paths = sorted(_PATTERNS.glob("*.toml"))
    assert len(paths) >= _MIN_PATTERNS, paths
    for path in paths:
        assert load_pattern.load(path).shows, path


@when(
    '"{name}" is replayed twice with seed {one:d} and once with seed {other:d}'
)
def step_twice(context, name, one, other):
    context.pattern = _load(name)
    context.results = []
    for seed in (one, one, other):
        context.results.append(Replay(context.pattern, seed=seed).run())


@then("the first two plays are equal, and the third is another")
def step_equal(context):
    first, again, other = context.results
    assert first == again
    assert first != other


def _expected_count(pattern, kind):
    """Returns how many requests of a kind come after the warm-up."""
    count = kind.per_s * (pattern.span_s - pattern.warm_up_s)
    for disturbance in pattern.troubles:
        if disturbance.what == "burst" and disturbance.kind in ("", kind.name):
            count += kind.per_s * (disturbance.times - 1) * disturbance.for_s
    return count


@then("each kind of request was asked for within a tenth of its rate")
def step_rates(context):
    for result in context.results:
        for kind in context.pattern.kinds:
            expected = _expected_count(context.pattern, kind)
            asked = result.kinds[kind.name].total
            assert 0.9 * expected < asked < 1.1 * expected, (asked, expected)


@then("as many requests ended as were asked for")
def step_all_ended(context):
    for result in context.results:
        for kind in result.kinds.values():
            ended = kind.in_aim + kind.late + kind.refused + kind.failed
            assert ended == kind.total, kind


@when('"{name}" is replayed with seeds 1 to {last:d}')
def step_seeds(context, name, last):
    context.pattern = _load(name)
    context.results = replaying.run_replays(
        context.pattern, seeds=last, constants=(), jobs=1
    )


@then("the credit is at least {least:g}")
def step_credit(context, least):
    for result in context.results:
        assert result.credit >= least, (result.credit, result.windows)


@then("no more was answered than the slots can run")
def step_capacity(context):
    pattern = context.pattern
    slots = 0
    for service in pattern.services:
        slots += service.slots * sum(service.upstreams.values())
    quickest_s = min(kind.known_s for kind in pattern.kinds)
    # The last requests end after the span, and upstreams differ in speed.
    span_s = pattern.span_s + max(kind.deadline_s for kind in pattern.kinds)
    for result in context.results:
        assert result.runs < 1.5 * slots * span_s / quickest_s, result


@then("an object ran at {most:g} upstreams at most")
def step_upstreams_per_key(context, most):
    for result in context.results:
        assert result.upstreams_per_key <= most, result


@then("at least as many runs were new as objects ran")
def step_new_runs(context):
    for result in context.results:
        assert result.new_runs >= result.upstreams_per_key, result
        assert result.new_runs > 0.01 * result.runs, result


@when('the mechanism "{name}" is switched off for a while')
def step_off(context, name):
    constants = replay_switches.without([name])
    context.before = choosing.CROWDED_USE
    with replay_switches.override(constants):
        context.meanwhile = choosing.CROWDED_USE


@then("its constant has another value meanwhile and its own one afterwards")
def step_own(context):
    assert context.meanwhile != context.before
    assert context.before == choosing.CROWDED_USE


@then("each mechanism names constants that there are")
def step_there(context):
    for constants in replay_switches.MECHANISMS.values():
        for constant in constants:
            module = importlib.import_module(
                f"almondstair.core.{constant.module}"
            )
            assert isinstance(getattr(module, constant.name), int | float)


@when("a replay is asked for with {change}")
def step_asked(context, change):
    name, _, value = change.partition("=")
    wanted = {"--without": "without", "--constants": "constants"}[name]
    given = {"without": [], "constants": []} | {wanted: [value]}
    context.stderr = io.StringIO()
    context.code = 0
    with contextlib.redirect_stderr(context.stderr):
        try:
            replaying.replay((), seeds=1, jobs=1, **given)
        except SystemExit as end:
            context.code = end.code


@then('it ends with exit code {code:d} and says "{words}"')
def step_said(context, code, words):
    assert context.code == code, context.code
    assert words in context.stderr.getvalue(), context.stderr.getvalue()


@when(
    '"{name}" is replayed with seeds 1 to {last:d}, with and without '
    '"{mechanism}"'
)
def step_with_and_without(context, name, last, mechanism):
    pattern = _load(name)
    constants = replay_switches.without([mechanism])
    results = []
    for changed in ((), constants):
        results.append(
            replaying.run_replays(
                pattern, seeds=last, constants=changed, jobs=2
            )
        )
    context.rows = {}
    for row in replaying.compare(*results):
        context.rows[row.name] = row


@then("the {figure} is higher with it by at least {least:g}")
def step_higher(context, figure, least):
    row = context.rows[figure]
    assert row.mean - row.changed >= least, row


@then("the {figure} are fewer with it by at least {least:g}")
def step_fewer(context, figure, least):
    row = context.rows[figure]
    assert row.changed - row.mean >= least, row


@then(
    "no upstream got more than 1.5 times its limit of {limit:g} a second and 5 "
    "in any 4 s"
)
def step_limits_kept(context, limit):
    context.limit_per_s = limit
    most = tolerated(limit)
    for outcome in context.results:
        assert outcome.limited_arrivals
        for name, times_s in outcome.limited_arrivals.items():
            from_s = times_s[0] + SETTLE_S
            largest = largest_window(times_s, from_s=from_s)
            assert largest <= most, f"{name}: {largest} of {most:.1f}"


@then("each of them got at least {share:g} of it")
def step_limits_used(context, share):
    for outcome in context.results:
        for name, times_s in outcome.limited_arrivals.items():
            from_s = times_s[0] + SETTLE_S
            count = sum(at_s >= from_s for at_s in times_s)
            least = share * context.limit_per_s * (times_s[-1] - from_s)
            assert count >= least, f"{name}: {count} of {least:.1f}"


def _in_rest(rest, arrivals):
    from_s = rest.at_s + REST_SETTLE_S
    return sum(from_s < at_s < rest.at_s + rest.rest_s for at_s in arrivals)


@then("no entry sends more than two requests into a rest that it was asked for")
def step_rests(context):
    for outcome in context.results:
        assert outcome.rests
        for rest in outcome.rests:
            arrivals = outcome.arrivals[rest.entry, rest.upstream]
            assert _in_rest(rest, arrivals) <= REST_REQUESTS, rest


@then(
    "from {after_s:g} s after the end the credit of each window is at least "
    "{least:g}"
)
def step_windows(context, after_s, least):
    [trouble] = context.pattern.troubles
    from_s = trouble.at_s + trouble.for_s + after_s
    for outcome in context.results:
        for window_s, credit in outcome.windows.items():
            if window_s >= from_s:
                assert credit >= least, (window_s, credit)


@then("no entry sent to an upstream after an answer of it said that it leaves")
def step_leaving(context):
    for outcome in context.results:
        assert outcome.sent_to_leaving == 0, outcome.sent_to_leaving
