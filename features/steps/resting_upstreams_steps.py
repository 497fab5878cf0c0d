"""Steps for upstreams that ask for rest."""

from behave import given
from behave import then
from msgspec import structs

from almondstair.errors import ErrorKind
from almondstair.tools import request_explanations
from features.support import partition_rig
from features.support.statement_rig import Play

# Two thirds of its upstreams can still run all requests.
_BUSY = structs.replace(
    partition_rig.DEPLOYMENT,
    services=[
        structs.replace(
            partition_rig.DEPLOYMENT.services[0], slots=2, work_ms=240.0
        )
    ],
)
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


@then("no upstream counts as failing, cold or unreachable at an entry")
def step_sound(context):
    for name, status in context.result.seen.statuses.items():
        for upstream in status["upstreams"]:
            assert upstream["failure_share"] == 0, (name, upstream)
            assert not upstream["cold"], (name, upstream)
            assert not upstream["paused"], (name, upstream)


@then("{after:g} s after the end at least {share:g} of the tries are served")
def step_after(context, after, share):
    from_s = context.play.span_s + after
    tries = context.result.tries_between(from_s, from_s + 10)
    assert len(tries) > 10, len(tries)
    served = sum(each.served for each in tries)
    assert served >= share * len(tries), f"{served} of {len(tries)}"


@given(
    "9 busy upstreams ask for {rest:g} s of rest when {waiting:d} requests wait"
)
def step_busy(context, rest, waiting):
    control = {"refuses_over_waiting": waiting, "rests": [f"{rest:g}"]}
    context.play = Play(
        upstream_faults={f"u{number}": control for number in range(9)},
        deployment=_BUSY,
    )


@given("{count:d} of them answer 503 and ask for {rest:g} s of rest")
def step_third(context, count, rest):
    for number in range(count):
        context.play.upstream_faults[f"u{number}"] = _REFUSING | {
            "rests": [f"{rest:g}"]
        }


@then("none of the others asked for rest more often than once by entry")
def step_others_rest(context):
    entries = len(context.result.seen.statuses)
    faults = context.play.upstream_faults
    for name, answers in context.result.answers.items():
        if faults[name].get("how") == _REFUSING["how"]:
            continue
        asked = sum(answer.rest_s > 0 for answer in answers)
        assert asked <= entries, (name, asked)


@then("from {from_s:g} s on at least {share:g} of the tries were served")
def step_served_from(context, from_s, share):
    tries = context.result.tries_between(from_s, context.play.span_s)
    served = sum(each.served for each in tries)
    assert served >= share * len(tries), f"{served} of {len(tries)}"


@then(
    "the others met only upstreams that had not asked their entry for rest "
    "before"
)
def step_unknown(context):
    tries = context.result.tries_between(0.0, context.play.span_s)
    for each in tries:
        if each.served:
            continue
        refusals = context.result.refusals(each)
        assert refusals, each
        for refusal in refusals:
            asked = context.result.asked_before(each, refusal)
            assert not asked, (each, asked)


@then('"why" says of one of them that its upstreams wanted rest')
def step_why(context):
    lines = []
    for name, rows in context.result.seen.events.items():
        for row in rows:
            lines.append(
                request_explanations.LogLine(
                    row["time"], name, row["event"], row
                )
            )
    refused = [
        line.fields["request"]
        for line in lines
        if line.fields.get("kind") == str(ErrorKind.UPSTREAMS_RESTING)
    ]
    found = request_explanations.explain(refused[0], lines)
    assert "9 upstreams of service service wanted rest" in found.cause, found
