"""Specification of requests that one entry sends through another.

An entry that reaches no upstream sends a request to another entry, which sends
it to an upstream. Messages between entries, and between an entry and an
upstream, may be lost at any moment, and the second entry may lose its upstreams
too. Entries learn of it late. The request is not idempotent: it may run once,
and its caller may be told that it has not run only if it never runs.

`spec/README.md` maps each action to the function of the core.
"""

from collections.abc import Iterator
import enum
from typing import NamedTuple

from minicheck import Protocol

from spec.checked_model import checked_models
from spec.checked_model import with_guards

ENTRIES = 2
# More attempts than this show nothing new.
MAX_SENT = 3


class Answer(enum.StrEnum):
    """What a caller or an entry is told of a request."""

    NONE = "none"
    SERVED = "served"
    NOT_RUN = "not run"
    UNKNOWN = "unknown"


class Call(NamedTuple):
    """The request at one entry.

    Attributes:
      active: whether the entry has it.
      relayed: whether another entry sent it.
      sent_on: whether it was sent to another entry, and awaits its answer.
      at_upstream: whether it was sent to an upstream, and awaits its answer.
      answer: what this entry answered.
    """

    active: bool = False
    relayed: bool = False
    sent_on: bool = False
    at_upstream: bool = False
    answer: Answer = Answer.NONE


class State(NamedTuple):
    """The whole system.

    Attributes:
      reaches: whether each entry reaches an upstream.
      calls: the request at each entry; the caller reached the first one.
      runs: number of runs of the request.
      sent: number of messages with the request between entries.
    """

    reaches: tuple[bool, ...]
    calls: tuple[Call, ...]
    runs: int
    sent: int


class Guards(NamedTuple):
    """The guards of the protocol; a mutant lacks one."""

    relays_once: bool = True
    loss_is_unknown: bool = True
    sends_once: bool = True


Step = tuple[str, State]


class Model:
    """The actions under one set of guards."""

    def __init__(self, *, guards: Guards) -> None:
        """Initialises the model with its enabled guards."""
        self._guards = guards

    @staticmethod
    def initial() -> State:
        """Returns the state with a request at the first entry."""
        calls = (Call(active=True), *(Call(),) * (ENTRIES - 1))
        return State(reaches=(True,) * ENTRIES, calls=calls, runs=0, sent=0)

    def transitions(self, state: State) -> Iterator[Step]:
        """Yields every possible next step."""
        for number in range(ENTRIES):
            yield self._change_links(state, number)
            call = state.calls[number]
            if not call.active:
                continue
            if call.at_upstream:
                yield from self._end_run(state, number)
            elif call.sent_on:
                yield from self._end_relay(state, number)
            else:
                yield from self._place(state, number)

    @staticmethod
    def _change_links(state: State, number: int) -> Step:
        reaches = list(state.reaches)
        reaches[number] = not reaches[number]
        changed = state._replace(reaches=tuple(reaches))
        return f"links of {number} change", changed

    def _place(self, state: State, number: int) -> Iterator[Step]:
        call = state.calls[number]
        if state.reaches[number]:
            sent = call._replace(at_upstream=True)
            yield f"{number} sends it", _with_call(state, number, sent)
            return
        yield (
            f"{number} refuses it",
            self._answer(state, number, Answer.NOT_RUN),
        )
        if call.relayed and self._guards.relays_once:
            return
        other = (number + 1) % ENTRIES
        if state.sent >= MAX_SENT:
            return
        waiting = _with_call(state, number, call._replace(sent_on=True))
        waiting = waiting._replace(sent=state.sent + 1)
        yield f"{number} relays it, and it is lost", waiting
        if not state.calls[other].active:
            arrived = Call(active=True, relayed=True)
            yield f"{number} relays it", _with_call(waiting, other, arrived)

    def _end_run(self, state: State, number: int) -> Iterator[Step]:
        ran = state._replace(runs=min(state.runs + 1, 2))
        for name, after in (("does not run", state), ("runs", ran)):
            lost = f"it {name} at {number}, and the answer is lost"
            yield lost, self._lose(after, number)
        yield f"{number} is answered", self._answer(ran, number, Answer.SERVED)

    def _end_relay(self, state: State, number: int) -> Iterator[Step]:
        other = (number + 1) % ENTRIES
        yield f"{number} loses the other entry", self._lose(state, number)
        answer = state.calls[other].answer
        if answer is Answer.NONE:
            return
        if answer is Answer.NOT_RUN:
            # Another entry may be asked.
            again = state.calls[number]._replace(sent_on=False)
            freed = _with_call(state, other, Call())
            yield f"{number} hears not run", _with_call(freed, number, again)
            return
        yield f"{number} hears {answer}", self._answer(state, number, answer)

    def _lose(self, state: State, number: int) -> State:
        """Returns the state after an entry has lost its answer."""
        if not self._guards.sends_once:
            call = state.calls[number]
            again = call._replace(at_upstream=False, sent_on=False)
            return _with_call(state, number, again)
        answer = Answer.UNKNOWN
        if not self._guards.loss_is_unknown:
            answer = Answer.NOT_RUN
        return self._answer(state, number, answer)

    @staticmethod
    def _answer(state: State, number: int, answer: Answer) -> State:
        call = state.calls[number]._replace(
            active=False, sent_on=False, at_upstream=False, answer=answer
        )
        return _with_call(state, number, call)


def _with_call(state: State, number: int, call: Call) -> State:
    calls = list(state.calls)
    calls[number] = call
    return state._replace(calls=tuple(calls))


def refusal_is_final(state: State) -> bool:
    """Returns whether a caller that is told "not run" is told the truth."""
    return state.calls[0].answer is not Answer.NOT_RUN or not state.runs


def passes_between_entries(state: State) -> bool:
    """Returns whether the first entry never gets its own request back."""
    return not state.calls[0].relayed


def protocol(name: str, start: None, guards: Guards) -> Protocol:
    """Returns the protocol for the model checker."""
    del start
    model = Model(guards=guards)
    return Protocol(
        name=name,
        candidate=False,
        fields=State._fields,
        initial=model.initial(),
        transitions=model.transitions,
        invariants={
            "runs_once": lambda fields: State(**fields).runs <= 1,
            "refusal_is_final": lambda fields: refusal_is_final(
                State(**fields)
            ),
            "one_hop": lambda fields: passes_between_entries(State(**fields)),
        },
    )


MODELS = checked_models(
    module="relays",
    build=with_guards(protocol, Guards()),
    correct=(
        ("requests go through another entry, and answers are lost", None),
    ),
    mutants=(
        ("relays_once", None),
        ("loss_is_unknown", None),
        ("sends_once", None),
    ),
)
