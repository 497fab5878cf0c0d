"""Steps for entries that lose their links to upstreams."""

from pathlib import Path

from behave import given
from behave import then
from behave import when

from almondstair.log import Event
from almondstair.tools import request_explanations
from emulator.proxy import ProxyFault
from features.support import control
from features.support import partition_rig
from features.support.partition_rig import Cut

_ANSWERED = Event.REQUEST_ANSWERED.value.number
_REFUSED = Event.GATEWAY_REFUSED.value.number
_PARTITIONED = Event.UPSTREAMS_PARTITIONED.value.number
_REACHABLE = Event.UPSTREAMS_REACHABLE.value.number
_SEED = 11
# A refusal that waits for nothing takes no longer, on a busy machine too.
_AT_ONCE_S = 0.15
# Operators see an upstream's failures from this share on.
_FAILING_SHARE = 0.1
# A cut lasts long enough that requests from its first second have ended.
_CUT_S = 6.0
# Callers notice nothing from a second after the cut began.
_NOTICED_S = 1.0
# Of first tries, one in 50 may fail, and ten more.
_ALLOWED_SHARE = 1 / 50
_CUT_ZONES = {
    # It is the only entry of its zone.
    "one entry": ("a2",),
    "all entries of a zone": ("a1",),
    "all entries of a region": ("a1", "a2", "a3"),
    "all entries": ("a1", "a2", "a3", "b1", "b2"),
}
_FAULTS = {
    "hang": ProxyFault.HANG,
    "are reset": ProxyFault.RESET,
    "are refused while open ones live": ProxyFault.REFUSE,
    "are accepted and never answered": ProxyFault.SILENCE,
    "pass one way": ProxyFault.ONE_WAY,
}


@given("connections from {whom} to all upstreams {fault}")
def step_cut(context, whom, fault):
    context.cut = Cut(
        fault=_FAULTS[fault],
        zones=frozenset(_CUT_ZONES[whom]),
        span_s=_CUT_S,
    )


@when("callers send to all entries alike")
def step_send(context):
    context.result = partition_rig.play(
        cut=context.cut, directory=Path(control.directory(context)), seed=_SEED
    )
    for cut in (True, False):
        for prefix in ("/safe/", "/unsafe/", "/upload/"):
            for from_s, to_s in (
                (-3.0, 0.0),
                (0.0, 1.0),
                (1.0, 6.0),
                (6.0, 9.0),
            ):
                tries = context.result.first_tries(
                    cut=cut, from_s=from_s, to_s=to_s
                )
                tries = [each for each in tries if each.prefix == prefix]
                failed = [
                    (round(each.sent_s, 2), each.status, round(each.took_s, 2))
                    for each in tries
                    if not each.served
                ]
                print(f"cut {cut} {prefix} {from_s:g} to {to_s:g} s: ", end="")
                print(f"{len(tries) - len(failed)} of {len(tries)} {failed}")


def _served_share(tries):
    return sum(each.served for each in tries) / max(1, len(tries))


@then("from a second on, the cut entries serve as well as the others did")
def step_served(context):
    result = context.result
    ends_s = context.cut.span_s + partition_rig.AFTER_S
    tries = result.first_tries(cut=True, from_s=_NOTICED_S, to_s=ends_s)
    assert len(tries) > 20, len(tries)
    share = _served_share(tries)
    assert share >= 1 - _ALLOWED_SHARE, share


@then("the other entries serve all the while")
def step_others(context):
    ends_s = context.cut.span_s + partition_rig.AFTER_S
    tries = context.result.first_tries(cut=False, from_s=0.0, to_s=ends_s)
    share = _served_share(tries)
    assert share >= 1 - _ALLOWED_SHARE, share


@then("nothing that must not repeat runs twice or after a refusal")
def step_once(context):
    for each in context.result.tries:
        runs = context.result.runs.get(each.request, 0)
        if each.prefix == "/safe/":
            continue
        assert runs <= 1, each
        if each.status in (408, 421, 429, 503):
            assert runs == 0, each


@given("the links of one entry to all upstreams hang for {gap_s:g} s at a time")
def step_cut_at_times(context, gap_s):
    context.cut = Cut(
        fault=ProxyFault.HANG,
        zones=frozenset(_CUT_ZONES["one entry"]),
        span_s=_CUT_S,
        gap_s=gap_s,
    )


@given("the links of one entry to the upstreams of its region hang")
def step_cut_region(context):
    context.cut = Cut(
        fault=ProxyFault.HANG,
        zones=frozenset(_CUT_ZONES["one entry"]),
        span_s=_CUT_S,
        upstream_zones=frozenset(("a1", "a2", "a3")),
    )


def _events(context, number, gateways=None):
    found = []
    for name, lines in context.result.events.items():
        if gateways is None or name in gateways:
            found += [line for line in lines if line["event"] == number]
    return found


@then("no entry refuses a request as one that may end upstreams")
def step_no_suspects(context):
    refused = [
        line
        for line in _events(context, _REFUSED)
        if line["kind"] == "quarantined"
    ]
    assert not refused, refused
    assert len(_events(context, _PARTITIONED)) == len(
        context.result.cut_gateways
    )


@then("no upstream counts as cold or failing after the cut")
def step_warm(context):
    for name, status in context.result.final_statuses.items():
        for upstream in status["upstreams"]:
            assert not upstream["cold"], (name, upstream)
            assert upstream["failure_share"] < _FAILING_SHARE, (name, upstream)


@then(
    "look-ups of all entries omit the cut ones from {from_s:g} s on until the "
    "end"
)
def step_omitted(context, from_s):
    seen = 0
    for sight in context.result.sights:
        if not from_s <= sight.at_s < context.cut.span_s:
            continue
        for asked, named in sight.named.items():
            assert named, (sight.at_s, asked)
            assert not context.result.cut_gateways & set(named), (sight, asked)
            seen += 1
    assert seen, context.result.sights


@then("look-ups always name entries of the caller's region")
def step_named(context):
    zones = partition_rig.DEPLOYMENT.zones
    entries = dict(enumerate(partition_rig.DEPLOYMENT.gateway_zones()))
    regions = {f"g{number}": zones[zone] for number, zone in entries.items()}
    assert context.result.sights
    for sight in context.result.sights:
        for asked, named in sight.named.items():
            assert named, (sight.at_s, asked)
            assert {regions[name] for name in named} == {regions[asked]}, sight


@then("operators see at each entry which ones are cut, how and since when")
def step_statuses(context):
    cut = sorted(context.result.cut_gateways)
    assert context.result.statuses
    for name, status in context.result.statuses.items():
        assert status["entries_without_upstreams"] == cut, status
        links = status["links"]
        if name not in cut:
            assert links["state"] == "working", links
            continue
        assert links["state"] == "partitioned", links
        assert _CUT_S - 2 < links["for_s"] < _CUT_S + 1, links
        assert links["cause"], links
    for name in cut:
        [lost] = _events(context, _PARTITIONED, {name})
        [regained] = _events(context, _REACHABLE, {name})
        assert lost["upstreams"] == 9 and lost["probed"], lost
        assert abs(regained["lasted_ms"] / 1000 - _CUT_S) < 1.5, regained


@then('"why" tells the way of a relayed request from the logs of both entries')
def step_why(context):
    through = [
        line for line in _events(context, _ANSWERED) if line.get("through")
    ]
    assert through
    lines = []
    for name, fields in context.result.events.items():
        for row in fields:
            lines.append(
                request_explanations.LogLine(
                    row["time"], name, row["event"], row
                )
            )
    for line in through:
        found = request_explanations.explain(line["request"], lines)
        assert f"through entry {line['through']}" in found.cause, found
        assert "it was sent to i-" in found.cause, found


@then(
    "from {from_s:g} s on until the end each is refused at once, and none of "
    "them ran"
)
def step_refused(context, from_s):
    tries = context.result.first_tries(
        cut=True, from_s=from_s, to_s=context.cut.span_s - 0.5
    )
    assert len(tries) > 20, len(tries)
    for each in tries:
        assert each.status == 503, each
        assert each.took_s < _AT_ONCE_S, each
        assert each.request not in context.result.runs, each


@then("{after_s:g} s after the end all are served again")
def step_served_again(context, after_s):
    tries = context.result.first_tries(
        cut=True,
        from_s=context.cut.span_s + after_s,
        to_s=context.cut.span_s + partition_rig.AFTER_S,
    )
    assert len(tries) > 20, len(tries)
    assert _served_share(tries) >= 1 - _ALLOWED_SHARE, tries


@then("its first tries are served at least two thirds as often as the others'")
def step_two_thirds(context):
    shares = {}
    for cut in (True, False):
        tries = context.result.first_tries(
            cut=cut, from_s=_NOTICED_S, to_s=context.cut.span_s
        )
        assert len(tries) > 20, len(tries)
        shares[cut] = _served_share(tries)
    assert shares[True] >= 2 / 3 * shares[False], shares
