"""Steps for entries that lose their links to upstreams."""

from pathlib import Path

from behave import given
from behave import then
from behave import when

from emulator.proxy import ProxyFault
from features.support import control
from features.support import partition_rig
from features.support.partition_rig import Cut

_SEED = 11
# A cut lasts long enough that requests from its first second have ended.
_CUT_S = 6.0
# Callers notice nothing from a second after the cut began.
_NOTICED_S = 1.0
# Of first tries, one in 50 may fail, and ten more.
_ALLOWED_SHARE = 1 / 50
_GATEWAYS = {
    "one entry": ("g0",),
    "all entries of a zone": ("g0", "g3"),
    "all entries of a region": ("g0", "g1", "g3", "g4"),
    "all entries": ("g0", "g1", "g2", "g3", "g4", "g5"),
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
        gateways=frozenset(_GATEWAYS[whom]),
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
