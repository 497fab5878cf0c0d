"""Steps for upstreams that say in answers that they leave."""

from pathlib import Path

from behave import given
from behave import then
from behave import when

from almondstair.log import Event
from features.support import control
from features.support import statement_rig
from features.support.statement_rig import Play

_SEED = 11
# A refusal that waits for nothing takes no longer, on a busy machine too.
_AT_ONCE_S = 0.15


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
    failed = [each for each in tries if not each.served]
    for each in failed:
        _print_failed(context.result.seen, each)
    for gateway in sorted({each.gateway for each in failed}):
        _print_events(context.result.seen, gateway)
    served = len(tries) - len(failed)
    assert served >= share * len(tries), f"{served} of {len(tries)}"


def _print_failed(seen, each):
    print(
        f"{each.gateway} {each.prefix} at {each.sent_s:.2f} s: {each.status} "
        f"after {each.took_s:.3f} s"
    )
    for line in seen.events[each.gateway]:
        if line.get("request") == each.request:
            print(f"    {line}")


def _print_events(seen, gateway):
    print(f"{gateway}, without its answers:")
    for line in seen.events[gateway]:
        if line["event"] != Event.REQUEST_ANSWERED.value.number:
            print(f"    {line}")


@given("the store does not answer meanwhile")
def step_store(context):
    faults = (("mode", "silent"),)
    context.play = context.play._replace(store_faults=faults)


@given("the entries of one zone reach no upstream meanwhile")
def step_cut(context):
    context.play = context.play._replace(cut_zones=frozenset(("a1",)))


@then(
    "from {from_s:g} s on each is refused at once, with a time to come back, "
    "and never ran"
)
def step_refused(context, from_s):
    result = context.result
    tries = result.tries_between(from_s, context.play.span_s)
    assert len(tries) > 100, len(tries)
    for each in tries:
        assert each.status == 503, each
        assert each.took_s < _AT_ONCE_S, each
        assert each.retry_after_s > 0, each
        assert each.request not in result.seen.runs, each


@then(
    "operators see at each entry that {count:d} upstreams leave, and what told "
    "so"
)
def step_operators(context, count):
    sources = set()
    for name, status in context.result.seen.statuses.items():
        leaving = [each for each in status["upstreams"] if each["draining"]]
        assert len(leaving) == count, (name, leaving)
        sources.update(each["leaving_source"] for each in leaving)
    assert sources == {"response", "peer"}, sources
