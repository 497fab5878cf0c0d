"""Steps for upstreams that say in answers that they leave."""

from pathlib import Path

from behave import given
from behave import then
from behave import when

from features.support import control
from features.support import statement_rig
from features.support.statement_rig import Play

_SEED = 11


@given("{count:d} of 9 upstreams say that they leave")
def step_leave(context, count):
    faults = {f"u{number}": {"leaving": ["1"]} for number in range(count)}
    context.play = Play(upstream_faults=faults)


@when("callers send to all entries meanwhile")
def step_send(context):
    context.result = statement_rig.play(
        play=context.play,
        directory=Path(control.directory(context)),
        seed=_SEED,
    )


@then(
    "no entry sent them a request later than 2 s after it had passed on such "
    "an answer"
)
def step_nothing_late(context):
    late = context.result.sent_to_leaving()
    assert not late, f"{len(late)}, among them {late[:5]}"


@then("at least {share:g} of the tries meanwhile were served")
def step_served(context, share):
    tries = context.result.tries_between(0.0, context.play.span_s)
    assert len(tries) > 100, len(tries)
    served = sum(each.served for each in tries)
    assert served >= share * len(tries), f"{served} of {len(tries)}"
