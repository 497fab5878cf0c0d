"""Specification of claims: a key is dispatched at most once.

A caller sends the same key two or three times, through two entries. At any
moment the environment may lose the response to a write that took effect, delay
or drop a write, freeze an entry between any two steps (it does nothing while
its deadline passes), terminate an entry, and route the next attempt to its
restarted process, which has no memory of the earlier ones.

A "not run" reply concerns one attempt: the entry that sent it never dispatches
that attempt. Nothing is dispatched after its deadline either: slot accounting
relies on that, and so does an operator who looks up the outcome of the key.

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
    """The bounds of a model.

    Attributes:
      attempts: how often the caller sends the key.
      writes: maximum number of claim writes in one attempt.
      deaths: how often entry 0 may terminate.
    """

    attempts: int
    writes: int
    deaths: int


class RecordStatus(enum.IntEnum):
    """State of a record, as in `almondstair.core.idempotency.RecordState`."""

    CLAIMED = 0
    DONE = 1
    UNKNOWN = 2
    RELEASED = 3


class Phase(enum.IntEnum):
    """Progress of one attempt."""

    NOT_SENT = 0
    WRITING = 1
    ANSWER_LOST = 2
    HELD = 3
    DISPATCHED = 4
    CLOSED = 5
    DEAD = 6


class CallerReply(enum.IntEnum):
    """The reply of an attempt to its caller."""

    NOTHING = 0
    NOT_RUN = 1
    UNKNOWN = 2
    ANSWER = 3


class Record(NamedTuple):
    """The record that the service stores under the key."""

    attempt: int
    status: RecordStatus
    revision: int


class Write(NamedTuple):
    """A write in flight, conditional on a revision (0: no key)."""

    attempt: int
    status: RecordStatus
    base: int


class Attempt(NamedTuple):
    """One attempt to run the request of the key."""

    phase: Phase = Phase.NOT_SENT
    reply: CallerReply = CallerReply.NOTHING
    past_deadline: bool = False
    base: int = 0
    writes: int = 0
    dispatched: bool = False
    dispatched_past_deadline: bool = False


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
    closes_after_reply: bool = True


Step = tuple[str, State]


def _with_attempt(state: State, number: int, attempt: Attempt) -> State:
    if attempt.phase in (Phase.CLOSED, Phase.DEAD):
        # These fields are not read any more; clearing them merges equal states.
        attempt = attempt._replace(base=0, writes=0, past_deadline=False)
    attempts = list(state.attempts)
    attempts[number] = attempt
    return state._replace(attempts=tuple(attempts))


def _with_write(state: State, write: Write) -> State:
    return state._replace(network=state.network | {write})


def _revision(state: State) -> int:
    if state.record is None:
        return 0
    return state.record.revision


class Model:
    """The actions under one set of guards."""

    def __init__(self, *, bounds: Bounds, guards: Guards) -> None:
        """Initialises the model with its bounds and enabled guards."""
        self._bounds = bounds
        self._guards = guards

    def initial(self) -> State:
        """Returns the state with nothing sent and nothing recorded."""
        attempts = (Attempt(),) * self._bounds.attempts
        return State(attempts, None, frozenset(), self._bounds.deaths)

    def transitions(self, state: State) -> list[Step]:
        """Returns every action of an entry, the service and the environment."""
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
        """The caller sends; `ClaimAttempt` starts with a write."""
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
        after = _with_attempt(state, number, changed)
        return _with_write(after, Write(number, RecordStatus.CLAIMED, base))

    def _give_up(self, state: State, number: int) -> State:
        """Replies "not run" and releases the key in case it was written."""
        attempt = state.attempts[number]
        phase = Phase.CLOSED
        if not self._guards.closes_after_reply:
            phase = attempt.phase
        changed = attempt._replace(phase=phase, reply=CallerReply.NOT_RUN)
        after = _with_attempt(state, number, changed)
        return _with_write(
            after, Write(number, RecordStatus.RELEASED, attempt.base)
        )

    def apply_write(self, state: State, write: Write) -> Iterator[Step]:
        """The service compares and swaps; its response may be lost."""
        attempt = state.attempts[write.attempt]
        network = state.network - {write}
        after = state._replace(network=network)
        swapped = self._may_swap(state, write)
        if swapped:
            record = Record(write.attempt, write.status, _revision(state) + 1)
            after = after._replace(record=record)
        waits = attempt.phase is Phase.WRITING
        if write.status is not RecordStatus.CLAIMED or not waits:
            yield f"apply {write.attempt} {write.status.name}", after
            return
        lost = attempt._replace(phase=Phase.ANSWER_LOST)
        yield (
            f"apply {write.attempt}, lost",
            _with_attempt(after, write.attempt, lost),
        )
        if swapped:
            held = attempt._replace(phase=Phase.HELD)
            yield (
                f"apply {write.attempt}",
                _with_attempt(after, write.attempt, held),
            )
            return
        yield (
            f"classify {write.attempt}",
            self._classify_record(after, write.attempt),
        )

    def _may_swap(self, state: State, write: Write) -> bool:
        if not self._guards.claim_is_exclusive:
            return True
        if _revision(state) == write.base:
            return True
        # `OutcomeRecording.on_write` retries on the revision of its own claim.
        if write.status is RecordStatus.CLAIMED or state.record is None:
            return False
        is_own = state.record.attempt == write.attempt
        return is_own and state.record.status is RecordStatus.CLAIMED

    def drop_write(self, state: State, write: Write) -> Iterator[Step]:
        """A write never reaches the service."""
        if state.attempts[write.attempt].phase is not Phase.WRITING:
            network = state.network - {write}
            yield f"drop {write.attempt}", state._replace(network=network)

    def lose_answer(self, state: State, number: int) -> Iterator[Step]:
        """No response arrives; the write may take effect, now or later."""
        attempt = state.attempts[number]
        if attempt.phase is Phase.WRITING:
            changed = attempt._replace(phase=Phase.ANSWER_LOST)
            yield f"no answer {number}", _with_attempt(state, number, changed)

    def service_fails(self, state: State, number: int) -> Iterator[Step]:
        """Reading the claim back fails too, so the claim is abandoned."""
        if state.attempts[number].phase is Phase.ANSWER_LOST:
            yield f"give up {number}", self._give_up(state, number)

    def read_back(self, state: State, number: int) -> Iterator[Step]:
        """`ClaimAttempt.on_read`: looks for the nonce of its own claim."""
        attempt = state.attempts[number]
        if attempt.phase is not Phase.ANSWER_LOST:
            return
        if not self._guards.reads_back:
            held = attempt._replace(phase=Phase.HELD)
            yield f"assume {number}", _with_attempt(state, number, held)
            return
        yield f"read back {number}", self._classify_record(state, number)

    def _classify_record(self, state: State, number: int) -> State:
        """`idempotency.classify_record` and the steps that follow from it."""
        attempt = state.attempts[number]
        record = state.record
        if record is None:
            return self._write_claim(state, number, base=0)
        if record.attempt == number and record.status is RecordStatus.CLAIMED:
            return _with_attempt(
                state, number, attempt._replace(phase=Phase.HELD)
            )
        if self._is_claimable(record):
            return self._write_claim(state, number, base=record.revision)
        reply = CallerReply.UNKNOWN
        if record.status is RecordStatus.DONE:
            reply = CallerReply.ANSWER
        closed = attempt._replace(phase=Phase.CLOSED, reply=reply)
        return _with_attempt(state, number, closed)

    def _is_claimable(self, record: Record) -> bool:
        if record.status is RecordStatus.RELEASED:
            return True
        return (
            record.status is RecordStatus.UNKNOWN
            and not self._guards.unknown_is_final
        )

    def dispatch(self, state: State, number: int) -> Iterator[Step]:
        """`Claim.dispatch`, immediately before the first byte is sent."""
        attempt = state.attempts[number]
        allowed = attempt.phase is Phase.HELD
        if not self._guards.claims_first:
            allowed = attempt.phase in (Phase.WRITING, Phase.HELD)
        if not self._guards.closes_after_reply:
            allowed = allowed and not attempt.dispatched
        if not allowed:
            return
        if attempt.past_deadline and self._guards.checks_deadline:
            return
        changed = attempt._replace(
            phase=Phase.DISPATCHED,
            dispatched=True,
            dispatched_past_deadline=attempt.past_deadline,
        )
        yield f"dispatch {number}", _with_attempt(state, number, changed)

    def release(self, state: State, number: int) -> Iterator[Step]:
        """`Claim.close` as released: no slot, or the deadline has passed."""
        if state.attempts[number].phase is Phase.HELD:
            yield f"release {number}", self._give_up(state, number)

    def end(self, state: State, number: int) -> Iterator[Step]:
        """`Claim.close` as done, or as unknown when the connection is lost."""
        attempt = state.attempts[number]
        if attempt.phase is not Phase.DISPATCHED:
            return
        for status, reply in (
            (RecordStatus.DONE, CallerReply.ANSWER),
            (RecordStatus.UNKNOWN, CallerReply.UNKNOWN),
        ):
            closed = attempt._replace(phase=Phase.CLOSED, reply=reply)
            after = _with_attempt(state, number, closed)
            write = Write(number, status, attempt.base)
            yield f"{status.name} {number}", _with_write(after, write)

    def pass_deadline(self, state: State, number: int) -> Iterator[Step]:
        """The deadline passes while the entry is busy or frozen."""
        attempt = state.attempts[number]
        if attempt.phase is Phase.HELD and not attempt.past_deadline:
            changed = attempt._replace(past_deadline=True)
            yield (
                f"deadline {number}",
                _with_attempt(state, number, changed),
            )

    def die(self, state: State) -> Iterator[Step]:
        """Entry 0 terminates; a later attempt reaches a new process."""
        if state.deaths == 0:
            return
        attempts = []
        for number, attempt in enumerate(state.attempts):
            unfinished = attempt.phase not in (Phase.NOT_SENT, Phase.CLOSED)
            if ENTRY_OF_ATTEMPT[number] == 0 and unfinished:
                attempt = attempt._replace(  # noqa: PLW2901
                    phase=Phase.DEAD, base=0, writes=0, past_deadline=False
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


def _not_run_reply_is_true(fields: dict) -> bool:
    untrue = 0
    for attempt in fields["attempts"]:
        if attempt.reply is CallerReply.NOT_RUN and attempt.dispatched:
            untrue += 1
    return untrue == 0


def _nothing_dispatched_late(fields: dict) -> bool:
    count = 0
    for attempt in fields["attempts"]:
        if attempt.dispatched_past_deadline:
            count += 1
    return count == 0


def protocol(name: str, bounds: Bounds, guards: Guards) -> Protocol:
    """Returns the protocol for the model checker."""
    model = Model(bounds=bounds, guards=guards)
    return Protocol(
        name=name,
        candidate=False,
        fields=State._fields,
        initial=model.initial(),
        transitions=model.transitions,
        invariants={
            "dispatched_at_most_once": _dispatched_at_most_once,
            "not_run_reply_is_true": _not_run_reply_is_true,
            "nothing_dispatched_late": _nothing_dispatched_late,
        },
    )


TWO_ATTEMPTS = Bounds(attempts=2, writes=2, deaths=1)
THREE_ATTEMPTS = Bounds(attempts=3, writes=1, deaths=1)
ONE_ATTEMPT = Bounds(attempts=1, writes=2, deaths=1)

MUTANTS = (
    ("claims_first", TWO_ATTEMPTS),
    ("checks_deadline", TWO_ATTEMPTS),
    ("reads_back", TWO_ATTEMPTS),
    ("unknown_is_final", TWO_ATTEMPTS),
    ("claim_is_exclusive", TWO_ATTEMPTS),
    ("closes_after_reply", ONE_ATTEMPT),
)


MODELS = checked_models(
    module="claims",
    build=with_guards(protocol, Guards()),
    correct=(
        ("sent twice, written twice", TWO_ATTEMPTS),
        ("sent three times", THREE_ATTEMPTS),
    ),
    mutants=MUTANTS,
)
