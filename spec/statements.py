"""Specification of requests to an upstream that leaves or wants rest.

An upstream says so in a response, at any moment while other requests of the
entry wait, are placed, or are on their way. The entry that has passed on such a
response starts nothing new at the upstream, over its own links or through
another entry, until the rest is over; leaving never is. Registrations are late,
lapse and return; responses to requests that were on their way say nothing of
it.

`spec/README.md` maps each action to the function of the core.
"""

from collections.abc import Iterator
import enum
from typing import NamedTuple

from minicheck import Protocol

from spec.checked_model import checked_models
from spec.checked_model import with_guards

# More requests than this show nothing new.
MAX_SENT = 3


class Phase(enum.StrEnum):
    """Where the request is."""

    WAITING = "waiting"
    PLACED = "placed"
    SENT = "sent"
    RELAYED = "relayed"


class State(NamedTuple):
    """The whole system: an entry, another one, an upstream and a request.

    Attributes:
      says: whether the upstream says that it leaves or wants rest.
      told: whether the entry has got a response that said so, and the rest is
        not over.
      known: whether the entry acts on it.
      other_known: whether the other entry does.
      phase: where the request is.
      sent: number of times that it was sent to the upstream.
      sent_late: whether it was sent when the entry had been told.
    """

    says: bool = False
    told: bool = False
    known: bool = False
    other_known: bool = False
    phase: Phase = Phase.WAITING
    sent: int = 0
    sent_late: bool = False


class Guards(NamedTuple):
    """The guards of the protocol; a mutant lacks one."""

    reads_responses: bool = True
    outlasts_registrations: bool = True
    outlasts_lapses: bool = True
    outlasts_other_responses: bool = True
    checks_before_sending: bool = True
    names_it_in_relays: bool = True
    reads_relayed_responses: bool = True


Step = tuple[str, State]


class Model:
    """The actions under one set of guards."""

    def __init__(self, *, rests: bool, guards: Guards) -> None:
        """Initialises the model.

        Args:
          rests: whether what the upstream says ends, as a rest does.
          guards: the enabled guards.
        """
        self._rests = rests
        self._guards = guards

    def transitions(self, state: State) -> Iterator[Step]:
        """Yields every possible next step."""
        yield "the upstream says so", state._replace(says=True)
        yield from self._respond_to_others(state)
        yield from self._forget(state)
        if self._rests and state.told:
            over = state._replace(
                says=False, told=False, known=False, other_known=False
            )
            yield "the rest is over", over
        if state.phase is Phase.WAITING:
            yield from self._place(state)
        elif state.phase is Phase.PLACED:
            yield from self._send(state)
        elif state.phase is Phase.SENT:
            yield from self._end(state)
        else:
            yield from self._relay(state)

    def _respond_to_others(self, state: State) -> Iterator[Step]:
        """Responses to requests that were sent before."""
        if state.says:
            yield "another response says so", self._tell(state)
        if state.known:
            forgotten = state
            if not self._guards.outlasts_other_responses:
                forgotten = state._replace(known=False)
            yield "a response on its way says nothing", forgotten

    def _tell(self, state: State) -> State:
        known = state.known or self._guards.reads_responses
        return state._replace(told=True, known=known)

    def _forget(self, state: State) -> Iterator[Step]:
        if not state.known:
            return
        kept = self._guards.outlasts_registrations
        yield "a registration says ready", state._replace(known=kept)
        kept = self._guards.outlasts_lapses
        yield "a registration lapses and returns", state._replace(known=kept)

    def _place(self, state: State) -> Iterator[Step]:
        yield "it is relayed", state._replace(phase=Phase.RELAYED)
        if not state.known:
            yield "it is placed", state._replace(phase=Phase.PLACED)

    def _send(self, state: State) -> Iterator[Step]:
        if state.known and self._guards.checks_before_sending:
            yield "it is placed again", state._replace(phase=Phase.WAITING)
            return
        if state.sent < MAX_SENT:
            yield "it is sent", self._sent(state, Phase.SENT)

    def _sent(self, state: State, phase: Phase) -> State:
        late = state.sent_late or state.told
        return state._replace(phase=phase, sent=state.sent + 1, sent_late=late)

    def _end(self, state: State) -> Iterator[Step]:
        waiting = state._replace(phase=Phase.WAITING)
        yield "it is refused", waiting
        if state.says:
            yield "it is refused, and told so", self._tell(waiting)

    def _relay(self, state: State) -> Iterator[Step]:
        """The other entry places it, and its response comes back."""
        waiting = state._replace(phase=Phase.WAITING)
        named = state.known and self._guards.names_it_in_relays
        yield "the other entry refuses it", waiting
        if state.other_known or named or state.sent >= MAX_SENT:
            return
        sent = self._sent(waiting, Phase.WAITING)
        yield "the other entry sends it", sent
        if state.says:
            told = sent._replace(other_known=True, told=True)
            if self._guards.reads_relayed_responses:
                told = told._replace(known=True)
            yield "the other entry sends it, and is told so", told


def protocol(name: str, rests: bool, guards: Guards) -> Protocol:
    """Returns the protocol for the model checker."""
    model = Model(rests=rests, guards=guards)
    return Protocol(
        name=name,
        candidate=False,
        fields=State._fields,
        initial=State(),
        transitions=model.transitions,
        invariants={
            "nothing_late": lambda fields: not State(**fields).sent_late
        },
    )


MODELS = checked_models(
    module="statements",
    build=with_guards(protocol, Guards()),
    correct=(
        ("an upstream leaves", False),
        ("an upstream wants rest", True),
    ),
    mutants=tuple((guard, True) for guard in Guards._fields),
)
