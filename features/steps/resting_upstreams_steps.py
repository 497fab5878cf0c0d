"""Steps for upstreams that ask for rest."""

from behave import given
from behave import then

from features.support.statement_rig import Play

_REFUSING = {"every": 1, "how": "shed"}


@given("{count:d} of 9 upstreams answer 503 and ask for {rest:g} s of rest")
def step_rest(context, count, rest):
    faults = {}
    for number in range(count):
        faults[f"u{number}"] = _REFUSING | {"rests": [f"{rest:g}"]}
    context.play = Play(upstream_faults=faults)


@then(
    "no upstream got more than two requests from an entry in a rest that it "
    "asked for"
)
def step_rests_kept(context):
    broken = context.result.sent_in_rest()
    asked = context.result.asked_rests()
    assert asked, "no rest was asked for"
    assert not broken, f"{len(broken)} of {asked}, among them {broken[:5]}"
