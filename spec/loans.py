"""Specification of link shares: allowances, epochs and loans.

Three entries share a cap: A lends, B borrows, and C may join. Time passes in
ticks. The network keeps every message for ever: one that is never received was
lost, one received twice was duplicated, and any order is possible. A frozen
process takes no step while time passes. An entry may die for good, after which
a new table omits it, or restart without its former state and perhaps receive an
outdated table from a peer.

The model checker explores every state. Each mutant lacks one guard and must
yield a counterexample. `spec/README.md` maps each action to the core.
"""

from collections.abc import Iterator
import enum
from typing import NamedTuple

import minicheck

from spec.checked_model import CheckedModel

# Divides evenly among one, two or three entries.
CAP = 6
BORROWER_TERM = 2
# One tick longer: a clock may lose one tick against another during a term.
LENDER_TERM = 3
MAX_EPOCH = 3

Step = tuple[str, "State"]


class Guard(enum.StrEnum):
    """Guards that keep the total use within the cap; a mutant lacks one."""

    LOWER_BEFORE_SEND = "lower before send"
    EPOCH_ACKNOWLEDGED = "growth waits for acknowledged epochs"
    COUNT_FROM_REQUEST = "borrower counts from sending the request"
    DRIFT_MARGIN = "lender adds a margin for clock drift"
    DROP_AT_EPOCH = "borrower drops loans of an older epoch"
    QUIET_START = "a restarted lender waits until its earlier loans end"
    FRESH_TABLE = "a restarted entry needs a table from the platform"
    CLOCK_BEFORE_USE = "borrower reads its clock before each use"


class Bounds(NamedTuple):
    """Bounds the events of one run.

    Attributes:
      requests: total number of loan requests of B.
      restarts: total number of restarts.
      deaths: total number of permanent deaths.
      changes: whether C may join.
      lag: whether B's clock may lose a tick.
    """

    requests: int
    restarts: int
    deaths: int
    changes: bool
    lag: bool


class Entry(NamedTuple):
    """An entry, with the acknowledged epoch that outlives its process.

    Attributes:
      alive: False before it joins and after it dies.
      incarnation: number of its process.
      epoch: epoch of the table that it adopted; 0 for none.
      fresh: whether it has received a table from the platform since its
        start.
      allowance: its own part of the cap.
      acknowledged_epoch: highest epoch acknowledged by any of its processes;
        peers may learn of it at any later time.
    """

    alive: bool
    incarnation: int
    epoch: int
    fresh: bool
    allowance: int
    acknowledged_epoch: int


class Request(NamedTuple):
    """A loan request of B, its loans, and the view of each side.

    Attributes:
      incarnation: process of B that sent it.
      epoch: epoch of B when it was sent.
      left: ticks for which B may use the loan.
      lagged: whether B's clock lost its one tick.
      waiting: whether B still waits for the loan.
      sent: amounts of the loans sent while B waited, perhaps one by each
        process of A.
      answered_by: process of A that answered last; -1 for none.
      lent: amount that A counts as lent; negative in the mutant that sends
        it before it lowers its own use.
      lent_left: ticks for which A counts the amount as lent.
    """

    incarnation: int
    epoch: int
    left: int
    lagged: bool
    waiting: bool
    sent: tuple[int, ...]
    answered_by: int
    lent: int
    lent_left: int


class State(NamedTuple):
    """The whole state.

    Attributes:
      tables: members of each epoch's table, from epoch 1 on.
      a: the lender.
      b: the borrower.
      c: the newcomer.
      quiet: ticks for which a restarted A has no allowance.
      requests: loan requests of B in order.
      held_request: number of the request whose loan B holds; -1 for none.
      held_amount: amount of that loan.
    """

    tables: tuple[str, ...]
    a: Entry
    b: Entry
    c: Entry
    quiet: int
    requests: tuple[Request, ...]
    held_request: int
    held_amount: int


ABSENT = Entry(False, 0, 0, False, 0, 0)
MEMBER = Entry(True, 0, 1, True, CAP // 2, 1)
START = State(("AB",), MEMBER, MEMBER, ABSENT, 0, (), -1, 0)
NAMES = ("A", "B", "C")


class Loans:
    """The protocol, with all of its guards or without one."""

    def __init__(self, *, bounds: Bounds, without: Guard | None = None) -> None:
        """Initialises the protocol; `without` names the guard to leave out."""
        self._bounds = bounds
        self._without = without
        self._violated = False

    def protocol(self) -> minicheck.Protocol:
        """Returns the protocol for the model checker."""
        return minicheck.Protocol(
            name="loans",
            candidate=True,
            fields=State._fields,
            initial=START,
            transitions=self._transitions,
            invariants={"sum of use within the cap": self._within_cap},
        )

    def _has(self, guard: Guard) -> bool:
        return guard is not self._without

    def _within_cap(self, fields: dict) -> bool:
        state = State(**fields)
        used = self._use_of_a(state) + self._use_of_b(state)
        if state.c.alive:
            used += state.c.allowance
        if used > CAP:
            self._violated = True
        return used <= CAP

    def _use_of_a(self, state: State) -> int:
        if not state.a.alive:
            return 0
        return max(0, state.a.allowance - _lent(state))

    def _use_of_b(self, state: State) -> int:
        if not state.b.alive:
            return 0
        if state.held_request < 0:
            return state.b.allowance
        ended = state.requests[state.held_request].left == 0
        if ended and self._has(Guard.CLOCK_BEFORE_USE):
            return state.b.allowance
        return state.b.allowance + state.held_amount

    def _transitions(self, state: State) -> list[Step]:
        # The first counterexample is the shortest; others are not needed.
        if state == START:
            self._violated = False
        if self._violated:
            return []
        steps: list[Step] = []
        steps.extend(self._tick(state))
        steps.extend(self._table_steps(state))
        for name in NAMES:
            steps.extend(self._entry_steps(state, name))
        steps.extend(self._loan_steps(state))
        return steps

    def _tick(self, state: State) -> Iterator[Step]:
        """One tick passes; B's clock may lose it once in each term."""
        after = _ticked(state, b_counts=True)
        if after != state:
            yield "tick", after
        if not self._bounds.lag:
            return
        for request in state.requests:
            if request.left and request.lagged:
                return
        after = _ticked(state, b_counts=False)
        if after != state:
            yield "tick that B's clock loses", after

    # The entry table.

    def _table_steps(self, state: State) -> Iterator[Step]:
        if len(state.tables) == MAX_EPOCH:
            return
        members = state.tables[-1]
        if self._bounds.changes and "C" not in "".join(state.tables):
            joined = state._replace(
                tables=(*state.tables, members + "C"),
                c=ABSENT._replace(alive=True),
            )
            yield "C joins the table", joined
        for name in members:
            if not _entry(state, name).alive:
                left = (*state.tables, members.replace(name, ""))
                yield f"{name} leaves the table", state._replace(tables=left)

    def _entry_steps(self, state: State, name: str) -> Iterator[Step]:
        entry = _entry(state, name)
        if not entry.alive:
            return
        yield from self._adopt(state, name)
        yield from self._grow(state, name)
        # Other entries acknowledge when they adopt a table; see `_adopted`.
        if name == "A" and entry.acknowledged_epoch < entry.epoch:
            if _lent(state) <= entry.allowance:
                acknowledged = entry._replace(acknowledged_epoch=entry.epoch)
                yield (
                    f"A acknowledges epoch {entry.epoch}",
                    _with_entry(state, name, acknowledged),
                )
        yield from self._die(state, name)

    def _adopt(self, state: State, name: str) -> Iterator[Step]:
        entry = _entry(state, name)
        newest = len(state.tables)
        for epoch in range(max(1, entry.epoch), newest + 1):
            for fresh in (False, True):
                if fresh and epoch < newest:
                    continue
                trusted = fresh or not self._has(Guard.FRESH_TABLE)
                after = self._adopted(state, name, epoch, trusted)
                if after != state:
                    yield f"{name} adopts epoch {epoch}, fresh: {fresh}", after

    def _adopted(
        self, state: State, name: str, epoch: int, fresh: bool
    ) -> State:
        entry = _entry(state, name)
        share = _share(state, name, epoch)
        adopted = entry._replace(
            epoch=epoch,
            fresh=entry.fresh or fresh,
            allowance=min(entry.allowance, share),
        )
        # Peers that wait for the acknowledgement receive it at any later time
        # or never, so it needs no step. A may have to wait for its loans.
        if name != "A":
            acknowledged_epoch = max(entry.acknowledged_epoch, epoch)
            adopted = adopted._replace(acknowledged_epoch=acknowledged_epoch)
        after = _with_entry(state, name, adopted)
        if name != "B" or epoch == entry.epoch:
            return after
        if not self._has(Guard.DROP_AT_EPOCH):
            return after
        return _without_loans(after)

    def _grow(self, state: State, name: str) -> Iterator[Step]:
        entry = _entry(state, name)
        if entry.epoch == 0 or not entry.fresh:
            return
        share = _share(state, name, entry.epoch)
        if entry.allowance >= share:
            return
        if name == "A" and state.quiet and self._has(Guard.QUIET_START):
            return
        if self._has(Guard.EPOCH_ACKNOWLEDGED):
            for other in state.tables[entry.epoch - 1]:
                if other == name:
                    continue
                if _entry(state, other).acknowledged_epoch < entry.epoch:
                    return
        grown = entry._replace(allowance=share)
        yield f"{name} grows to {share}", _with_entry(state, name, grown)

    def _die(self, state: State, name: str) -> Iterator[Step]:
        entry = _entry(state, name)
        deaths = 0
        restarts = 0
        for other in "".join(sorted(set("".join(state.tables)))):
            deaths += not _entry(state, other).alive
            restarts += _entry(state, other).incarnation
        if deaths < self._bounds.deaths:
            dead = entry._replace(alive=False, allowance=0)
            yield (
                f"{name} dies",
                _without_loan_state(_with_entry(state, name, dead), name),
            )
        if restarts < self._bounds.restarts:
            started = ABSENT._replace(
                alive=True,
                incarnation=entry.incarnation + 1,
                acknowledged_epoch=entry.acknowledged_epoch,
            )
            after = _without_loan_state(_with_entry(state, name, started), name)
            if name == "A":
                after = after._replace(quiet=LENDER_TERM)
            yield f"{name} restarts", after

    # Loans.

    def _loan_steps(self, state: State) -> Iterator[Step]:
        yield from self._request_loan(state)
        for number, request in enumerate(state.requests):
            yield from self._lend(state, number, request)
            yield from self._lower_late(state, number, request)
            for amount in request.sent:
                yield from self._accept(state, number, request, amount)

    def _request_loan(self, state: State) -> Iterator[Step]:
        entry = state.b
        if not entry.alive or len(state.requests) >= self._bounds.requests:
            return
        if entry.epoch == 0:
            return
        members = state.tables[entry.epoch - 1]
        if "A" not in members or "B" not in members:
            return
        request = Request(
            entry.incarnation,
            entry.epoch,
            BORROWER_TERM,
            False,
            True,
            (),
            -1,
            0,
            0,
        )
        yield (
            "B requests a loan",
            state._replace(requests=(*state.requests, request)),
        )

    def _lend(
        self, state: State, number: int, request: Request
    ) -> Iterator[Step]:
        if not _may_answer(state, number, request):
            return
        term = LENDER_TERM
        if not self._has(Guard.DRIFT_MARGIN):
            term = BORROWER_TERM
        for amount in sorted({1, state.a.allowance}):
            if amount > state.a.allowance:
                continue
            lent = amount
            if not self._has(Guard.LOWER_BEFORE_SEND):
                lent = -amount
            sent = request.sent
            # A loan that B no longer waits for is not kept in the network.
            if request.waiting:
                sent = tuple(sorted({*sent, amount}))
            answered = request._replace(
                sent=sent,
                answered_by=state.a.incarnation,
                lent=lent,
                lent_left=term,
            )
            yield (
                f"A lends {amount} for request {number}",
                _with_request(state, number, answered),
            )

    def _lower_late(
        self, state: State, number: int, request: Request
    ) -> Iterator[Step]:
        """Lowers A's use later, in the mutant that sends the loan first."""
        if request.lent >= 0:
            return
        lowered = request._replace(lent=-request.lent)
        yield (
            f"A lowers for request {number}",
            _with_request(state, number, lowered),
        )

    def _accept(
        self, state: State, number: int, request: Request, amount: int
    ) -> Iterator[Step]:
        entry = state.b
        if not entry.alive or entry.incarnation != request.incarnation:
            return
        if not request.waiting or request.epoch != entry.epoch:
            return
        left = request.left
        if not self._has(Guard.COUNT_FROM_REQUEST):
            left = BORROWER_TERM
        answered = request._replace(waiting=False, left=left, sent=())
        accepted = _with_request(state, number, answered)
        if left == 0 or number < state.held_request:
            yield f"B refuses the loan for request {number}", accepted
            return
        yield (
            f"B accepts {amount} for request {number}",
            accepted._replace(held_request=number, held_amount=amount),
        )


def _entry(state: State, name: str) -> Entry:
    if name == "A":
        return state.a
    if name == "B":
        return state.b
    return state.c


def _with_entry(state: State, name: str, entry: Entry) -> State:
    if name == "A":
        return state._replace(a=entry)
    if name == "B":
        return state._replace(b=entry)
    return state._replace(c=entry)


def _with_request(state: State, number: int, request: Request) -> State:
    requests = (
        *state.requests[:number],
        request,
        *state.requests[number + 1 :],
    )
    return state._replace(requests=requests)


def _share(state: State, name: str, epoch: int) -> int:
    members = state.tables[epoch - 1]
    if name not in members:
        return 0
    return CAP // len(members)


def _may_answer(state: State, number: int, request: Request) -> bool:
    """Returns whether A answers this request, received at any time."""
    if not state.a.alive or state.a.epoch != request.epoch:
        return False
    # A repeated request gets the same loan, which changes nothing.
    if request.answered_by == state.a.incarnation:
        return False
    for later in state.requests[number + 1 :]:
        if later.answered_by != state.a.incarnation:
            continue
        if later.incarnation == request.incarnation:
            return False
    return True


def _lent(state: State) -> int:
    """Returns the most that B may hold of A's allowance, as A counts it."""
    largest = 0
    for request in state.requests:
        if request.lent_left:
            largest = max(largest, request.lent)
    return largest


def _without_loans(state: State) -> State:
    """Returns the state without the loan and the requests of B."""
    requests = []
    for request in state.requests:
        dropped = request._replace(waiting=False, left=0, lagged=False, sent=())
        requests.append(dropped)
    return state._replace(
        requests=tuple(requests), held_request=-1, held_amount=0
    )


def _without_loan_state(state: State, name: str) -> State:
    """Returns the state without what a process knew of loans."""
    if name == "B":
        return _without_loans(state)
    if name != "A":
        return state
    requests = []
    for request in state.requests:
        requests.append(request._replace(lent=0, lent_left=0))
    return state._replace(requests=tuple(requests), quiet=0)


def _ticked(state: State, *, b_counts: bool) -> State:
    requests = []
    for request in state.requests:
        left = request.left
        lagged = request.lagged
        if left and b_counts:
            left -= 1
        elif left:
            lagged = True
        if left == 0:
            lagged = False
        lent_left = max(0, request.lent_left - 1)
        lent = request.lent
        if lent_left == 0:
            lent = 0
        requests.append(
            request._replace(
                left=left, lagged=lagged, lent=lent, lent_left=lent_left
            )
        )
    quiet = max(0, state.quiet - 1)
    return state._replace(requests=tuple(requests), quiet=quiet)


RENEWALS = Bounds(requests=2, restarts=0, deaths=0, changes=True, lag=True)
FAILURES = Bounds(requests=1, restarts=1, deaths=1, changes=True, lag=False)

MUTANTS = (
    (Guard.LOWER_BEFORE_SEND, RENEWALS),
    (Guard.EPOCH_ACKNOWLEDGED, RENEWALS),
    (Guard.COUNT_FROM_REQUEST, RENEWALS),
    (Guard.DRIFT_MARGIN, RENEWALS),
    (Guard.CLOCK_BEFORE_USE, RENEWALS),
    (Guard.DROP_AT_EPOCH, FAILURES),
    (Guard.QUIET_START, FAILURES),
    (Guard.FRESH_TABLE, FAILURES),
)


def _models() -> tuple[CheckedModel, ...]:
    models = [
        CheckedModel(
            name="loans: renewals and a new entry",
            protocol=Loans(bounds=RENEWALS).protocol(),
            expect_holds=True,
        ),
        CheckedModel(
            name="loans: a death, a restart and a new entry",
            protocol=Loans(bounds=FAILURES).protocol(),
            expect_holds=True,
        ),
    ]
    for guard, bounds in MUTANTS:
        mutant = CheckedModel(
            name=f"loans without: {guard}",
            protocol=Loans(bounds=bounds, without=guard).protocol(),
            expect_holds=False,
            guard=str(guard),
        )
        models.append(mutant)
    return tuple(models)


MODELS = _models()
