"""Specification of claims: a key is dispatched at most once.

A caller sends the same key two or three times, through two entries. The
environment may at any moment lose the answer of a write that took effect, let a
write take effect late or never, freeze an entry between any two steps (it does
nothing while its deadline passes), end an entry, and let the next sending reach
the entry that was started again in its place and remembers nothing.

"Told not run" is about one sending: the entry that said so never dispatches it.
Nothing is dispatched after its deadline either: the account of slots counts on
that, and so does an operator who looks up what became of the key.

`spec/README.md` maps each action to the function of the core.
"""

from collections.abc import Iterator
import enum
from typing import NamedTuple

from minicheck import Protocol

from spec.checked_model import checked_models
from spec.checked_model import with_guards

ENTRY_OF_ATTEMPT = (0, 1, 0)


class Bounds(NamedTuple):
    """Sizes of a model.

    Attributes:
      attempts: how often the caller sends the key.
      writes: how often one sending writes its claim at most.
      deaths: how often entry 0 ends.
    """

    attempts: int
    writes: int
    deaths: int


class Mark(enum.IntEnum):
    """State of a record; `almondstair.core.idempotency.RecordState`."""

    CLAIMED = 0
    DONE = 1
    UNKNOWN = 2
    RELEASED = 3


class Phase(enum.IntEnum):
    """Where one sending is."""

    NOT_SENT = 0
    WRITING = 1
    ANSWER_LOST = 2
    HELD = 3
    DISPATCHED = 4
    CLOSED = 5
    DEAD = 6


class Told(enum.IntEnum):
    """What its caller heard."""

    NOTHING = 0
    NOT_RUN = 1
    UNKNOWN = 2
    ANSWER = 3


class Record(NamedTuple):
    """What the service holds under the key."""

    attempt: int
    mark: Mark
    revision: int


class Write(NamedTuple):
    """A write in the network, conditional on a revision (0: no key)."""

    attempt: int
    mark: Mark
    base: int


class Attempt(NamedTuple):
    """One sending of the key."""

    phase: Phase = Phase.NOT_SENT
    told: Told = Told.NOTHING
    late: bool = False
    base: int = 0
    writes: int = 0
    dispatched: bool = False
    dispatched_late: bool = False


class State(NamedTuple):
    """The whole system."""

    attempts: tuple[Attempt, ...]
    record: Record | None
    network: frozenset[Write]
    deaths: int


class Guards(NamedTuple):
    """The guards of the protocol; a mutant lacks one."""

    claims_first: bool = True
    checks_deadline: bool = True
    reads_back: bool = True
    unknown_is_final: bool = True
    claim_is_exclusive: bool = True
    closed_after_telling: bool = True


Step = tuple[str, State]


def _with(state: State, number: int, attempt: Attempt) -> State:
    if attempt.phase in (Phase.CLOSED, Phase.DEAD):
        # Nothing reads these any more; blank, they merge states.
        attempt = attempt._replace(base=0, writes=0, late=False)
    attempts = list(state.attempts)
    attempts[number] = attempt
    return state._replace(attempts=tuple(attempts))


def _sending(state: State, write: Write) -> State:
    return state._replace(network=state.network | {write})


def _revision(state: State) -> int:
    if state.record is None:
        return 0
    return state.record.revision


class Model:
    """The actions under one set of guards."""

    def __init__(self, *, bounds: Bounds, guards: Guards) -> None:
        """Takes the sizes and the guards in place."""
        self._bounds = bounds
        self._guards = guards

    def initial(self) -> State:
        """Nothing sent, nothing recorded."""
        attempts = (Attempt(),) * self._bounds.attempts
        return State(attempts, None, frozenset(), self._bounds.deaths)

    def transitions(self, state: State) -> list[Step]:
        """Every action of an entry, the service and the environment."""
        steps: list[Step] = []
        for number in range(len(state.attempts)):
            steps += self.send(state, number)
            steps += self.lose_answer(state, number)
            steps += self.service_fails(state, number)
            steps += self.read_back(state, number)
            steps += self.dispatch(state, number)
            steps += self.release(state, number)
            steps += self.end(state, number)
            steps += self.pass_deadline(state, number)
        for write in sorted(state.network):
            steps += self.apply_write(state, write)
            steps += self.drop_write(state, write)
        steps += self.die(state)
        return steps

    def send(self, state: State, number: int) -> Iterator[Step]:
        """The caller sends; `Claiming` starts with a write."""
        if state.attempts[number].phase is not Phase.NOT_SENT:
            return
        if number and state.attempts[number - 1].phase is Phase.NOT_SENT:
            return
        yield f"send {number}", self._write_claim(state, number, base=0)

    def _write_claim(self, state: State, number: int, base: int) -> State:
        attempt = state.attempts[number]
        if attempt.writes == self._bounds.writes:
            return self._give_up(state, number)
        changed = attempt._replace(
            phase=Phase.WRITING, base=base, writes=attempt.writes + 1
        )
        after = _with(state, number, changed)
        return _sending(after, Write(number, Mark.CLAIMED, base))

    def _give_up(self, state: State, number: int) -> State:
        """No claim: told not run, and the key is released if it was written."""
        attempt = state.attempts[number]
        phase = Phase.CLOSED
        if not self._guards.closed_after_telling:
            phase = attempt.phase
        changed = attempt._replace(phase=phase, told=Told.NOT_RUN)
        after = _with(state, number, changed)
        return _sending(after, Write(number, Mark.RELEASED, attempt.base))

    def apply_write(self, state: State, write: Write) -> Iterator[Step]:
        """The service compares and swaps, and answers or its answer is lost."""
        attempt = state.attempts[write.attempt]
        network = state.network - {write}
        after = state._replace(network=network)
        swapped = self._may_swap(state, write)
        if swapped:
            record = Record(write.attempt, write.mark, _revision(state) + 1)
            after = after._replace(record=record)
        waits = attempt.phase is Phase.WRITING
        if write.mark is not Mark.CLAIMED or not waits:
            yield f"apply {write.attempt} {write.mark.name}", after
            return
        lost = attempt._replace(phase=Phase.ANSWER_LOST)
        yield f"apply {write.attempt}, lost", _with(after, write.attempt, lost)
        if swapped:
            held = attempt._replace(phase=Phase.HELD)
            yield f"apply {write.attempt}", _with(after, write.attempt, held)
            return
        yield f"judge {write.attempt}", self._judge(after, write.attempt)

    def _may_swap(self, state: State, write: Write) -> bool:
        if not self._guards.claim_is_exclusive:
            return True
        if _revision(state) == write.base:
            return True
        # `Settlement.on_write`: again, on the revision of its own claim.
        if write.mark is Mark.CLAIMED or state.record is None:
            return False
        mine = state.record.attempt == write.attempt
        return mine and state.record.mark is Mark.CLAIMED

    def drop_write(self, state: State, write: Write) -> Iterator[Step]:
        """A write never reaches the service."""
        if state.attempts[write.attempt].phase is not Phase.WRITING:
            network = state.network - {write}
            yield f"drop {write.attempt}", state._replace(network=network)

    def lose_answer(self, state: State, number: int) -> Iterator[Step]:
        """The entry hears nothing; the write may take effect, now or later."""
        attempt = state.attempts[number]
        if attempt.phase is Phase.WRITING:
            changed = attempt._replace(phase=Phase.ANSWER_LOST)
            yield f"no answer {number}", _with(state, number, changed)

    def service_fails(self, state: State, number: int) -> Iterator[Step]:
        """The read back fails too: the claim is given up."""
        if state.attempts[number].phase is Phase.ANSWER_LOST:
            yield f"give up {number}", self._give_up(state, number)

    def read_back(self, state: State, number: int) -> Iterator[Step]:
        """`Claiming.on_read`: look for one's own nonce."""
        attempt = state.attempts[number]
        if attempt.phase is not Phase.ANSWER_LOST:
            return
        if not self._guards.reads_back:
            held = attempt._replace(phase=Phase.HELD)
            yield f"assume {number}", _with(state, number, held)
            return
        yield f"read back {number}", self._judge(state, number)

    def _judge(self, state: State, number: int) -> State:
        """`idempotency.judge` and what follows from it."""
        attempt = state.attempts[number]
        record = state.record
        if record is None:
            return self._write_claim(state, number, base=0)
        if record.attempt == number and record.mark is Mark.CLAIMED:
            return _with(state, number, attempt._replace(phase=Phase.HELD))
        if self._is_claimable(record):
            return self._write_claim(state, number, base=record.revision)
        told = Told.UNKNOWN
        if record.mark is Mark.DONE:
            told = Told.ANSWER
        closed = attempt._replace(phase=Phase.CLOSED, told=told)
        return _with(state, number, closed)

    def _is_claimable(self, record: Record) -> bool:
        if record.mark is Mark.RELEASED:
            return True
        return record.mark is Mark.UNKNOWN and not self._guards.unknown_is_final

    def dispatch(self, state: State, number: int) -> Iterator[Step]:
        """`Claim.dispatch`, right before the first byte."""
        attempt = state.attempts[number]
        allowed = attempt.phase is Phase.HELD
        if not self._guards.claims_first:
            allowed = attempt.phase in (Phase.WRITING, Phase.HELD)
        if not self._guards.closed_after_telling:
            allowed = allowed and not attempt.dispatched
        if not allowed:
            return
        if attempt.late and self._guards.checks_deadline:
            return
        changed = attempt._replace(
            phase=Phase.DISPATCHED,
            dispatched=True,
            dispatched_late=attempt.late,
        )
        yield f"dispatch {number}", _with(state, number, changed)

    def release(self, state: State, number: int) -> Iterator[Step]:
        """`Claim.close` as released: no slot, or the deadline has passed."""
        if state.attempts[number].phase is Phase.HELD:
            yield f"release {number}", self._give_up(state, number)

    def end(self, state: State, number: int) -> Iterator[Step]:
        """`Claim.close` as done, or as unknown when the connection is lost."""
        attempt = state.attempts[number]
        if attempt.phase is not Phase.DISPATCHED:
            return
        for mark, told in (
            (Mark.DONE, Told.ANSWER),
            (Mark.UNKNOWN, Told.UNKNOWN),
        ):
            closed = attempt._replace(phase=Phase.CLOSED, told=told)
            after = _with(state, number, closed)
            write = Write(number, mark, attempt.base)
            yield f"{mark.name} {number}", _sending(after, write)

    def pass_deadline(self, state: State, number: int) -> Iterator[Step]:
        """Time passes while the entry does something else, or is frozen."""
        attempt = state.attempts[number]
        if attempt.phase is Phase.HELD and not attempt.late:
            late = attempt._replace(late=True)
            yield f"deadline {number}", _with(state, number, late)

    def die(self, state: State) -> Iterator[Step]:
        """Entry 0 ends; a later sending meets a new process."""
        if state.deaths == 0:
            return
        attempts = []
        for number, attempt in enumerate(state.attempts):
            gone = attempt.phase not in (Phase.NOT_SENT, Phase.CLOSED)
            if ENTRY_OF_ATTEMPT[number] == 0 and gone:
                attempt = attempt._replace(  # noqa: PLW2901
                    phase=Phase.DEAD, base=0, writes=0, late=False
                )
            attempts.append(attempt)
        yield (
            "die",
            state._replace(attempts=tuple(attempts), deaths=state.deaths - 1),
        )


def _dispatched_at_most_once(fields: dict) -> bool:
    count = 0
    for attempt in fields["attempts"]:
        if attempt.dispatched:
            count += 1
    return count <= 1


def _told_not_run_is_true(fields: dict) -> bool:
    untrue = 0
    for attempt in fields["attempts"]:
        if attempt.told is Told.NOT_RUN and attempt.dispatched:
            untrue += 1
    return untrue == 0


def _nothing_dispatched_late(fields: dict) -> bool:
    late = 0
    for attempt in fields["attempts"]:
        if attempt.dispatched_late:
            late += 1
    return late == 0


def protocol(name: str, bounds: Bounds, guards: Guards) -> Protocol:
    """Returns the protocol for the checker."""
    model = Model(bounds=bounds, guards=guards)
    return Protocol(
        name=name,
        candidate=False,
        fields=State._fields,
        initial=model.initial(),
        transitions=model.transitions,
        invariants={
            "dispatched_at_most_once": _dispatched_at_most_once,
            "told_not_run_is_true": _told_not_run_is_true,
            "nothing_dispatched_late": _nothing_dispatched_late,
        },
    )


TWICE = Bounds(attempts=2, writes=2, deaths=1)
THRICE = Bounds(attempts=3, writes=1, deaths=1)
ONCE = Bounds(attempts=1, writes=2, deaths=1)

MUTANTS = (
    ("claims_first", TWICE),
    ("checks_deadline", TWICE),
    ("reads_back", TWICE),
    ("unknown_is_final", TWICE),
    ("claim_is_exclusive", TWICE),
    ("closed_after_telling", ONCE),
)


MODELS = checked_models(
    module="claims",
    build=with_guards(protocol, Guards()),
    right=(
        ("sent twice, written twice", TWICE),
        ("sent three times", THRICE),
    ),
    mutants=MUTANTS,
)
