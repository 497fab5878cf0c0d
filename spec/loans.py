"""Specification of link shares: allowances, epochs and loans.

Three entries share a cap: A lends, B borrows, and C may join. Time moves in
ticks. The network keeps every message for ever: one that is never taken up was
lost, one taken up twice was duplicated, and any order is possible. A frozen
process is one that takes no step while time ticks. An entry may die for good,
after which a new table leaves it out, or restart with nothing but what it
learns anew, perhaps an outdated table from a peer.

The model check explores every state. Each mutant lacks one guard and must
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
# One tick more: a clock may lose one tick against another during a term.
LENDER_TERM = 3
LARGEST_EPOCH = 3

Step = tuple[str, "State"]


class Guard(enum.StrEnum):
    """What keeps the sum of use at or under the cap; a mutant lacks one."""

    LOWER_BEFORE_SEND = "lower before send"
    EPOCH_ACKNOWLEDGED = "growth waits for acknowledged epochs"
    COUNT_FROM_ASKING = "borrower counts from when it asked"
    DRIFT_MARGIN = "lender adds a margin for clock drift"
    DROP_AT_EPOCH = "borrower drops loans of an older epoch"
    QUIET_START = "a restarted lender waits out its earlier loans"
    FRESH_TABLE = "a restarted entry needs a table from the platform"
    CLOCK_BEFORE_USE = "borrower reads its clock before each use"


class Bounds(NamedTuple):
    """How much may happen in one run.

    Attributes:
      asks: requests that B makes in all.
      restarts: restarts in all.
      deaths: deaths for good in all.
      changes: whether C may join.
      lag: whether B's clock may lose a tick.
    """

    asks: int
    restarts: int
    deaths: int
    changes: bool
    lag: bool


class Entry(NamedTuple):
    """An entry and the one thing that outlives its process.

    Attributes:
      alive: False before it joins and after it dies.
      incarnation: number of its process.
      epoch: epoch of the table that it adopted; 0 for none.
      fresh: whether a table came from the platform since its start.
      allowance: its own part of the cap.
      announced: highest epoch acknowledged by any of its processes; peers may
        hear of it at any later time.
    """

    alive: bool
    incarnation: int
    epoch: int
    fresh: bool
    allowance: int
    announced: int


class Ask(NamedTuple):
    """A request of B, its loans, and what each side counts.

    Attributes:
      incarnation: process of B that asked.
      epoch: epoch of B when it asked.
      left: ticks for which B may use a loan that answers it.
      lagged: whether B's clock lost its one tick.
      waiting: whether B still waits for the loan.
      sent: amounts of the loans that were sent while B waited, perhaps one by
        each process of A.
      answered_by: process of A that answered last; -1 for none.
      lent: amount that A counts as lent; below 0 in the mutant that sends it
        before it lowers its own use.
      lent_left: ticks for which A counts it.
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
      quiet: ticks for which a restarted A goes without an allowance.
      asks: requests of B in order.
      held: number of the ask whose loan B holds; -1 for none.
      held_amount: amount of that loan.
    """

    tables: tuple[str, ...]
    a: Entry
    b: Entry
    c: Entry
    quiet: int
    asks: tuple[Ask, ...]
    held: int
    held_amount: int


ABSENT = Entry(False, 0, 0, False, 0, 0)
MEMBER = Entry(True, 0, 1, True, CAP // 2, 1)
START = State(("AB",), MEMBER, MEMBER, ABSENT, 0, (), -1, 0)
NAMES = ("A", "B", "C")


class Loans:
    """The protocol, less at most one guard."""

    def __init__(self, *, bounds: Bounds, without: Guard | None = None) -> None:
        """Makes the protocol; `without` names the guard that is removed."""
        self._bounds = bounds
        self._without = without
        self._violated = False

    def protocol(self) -> minicheck.Protocol:
        """Returns the protocol for the model check."""
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
        if state.held < 0:
            return state.b.allowance
        ended = state.asks[state.held].left == 0
        if ended and self._has(Guard.CLOCK_BEFORE_USE):
            return state.b.allowance
        return state.b.allowance + state.held_amount

    def _transitions(self, state: State) -> list[Step]:
        # The first counterexample is the shortest; the rest adds nothing.
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
        """One tick passes; or B's clock loses it, once in each term."""
        after = _ticked(state, b_counts=True)
        if after != state:
            yield "tick", after
        if not self._bounds.lag:
            return
        for ask in state.asks:
            if ask.left and ask.lagged:
                return
        after = _ticked(state, b_counts=False)
        if after != state:
            yield "tick that B's clock loses", after

    # The entry table.

    def _table_steps(self, state: State) -> Iterator[Step]:
        if len(state.tables) == LARGEST_EPOCH:
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
        # Others acknowledge as they adopt: see `_adopted`.
        if name == "A" and entry.announced < entry.epoch:
            if _lent(state) <= entry.allowance:
                acknowledged = entry._replace(announced=entry.epoch)
                yield (
                    f"A acknowledges epoch {entry.epoch}",
                    _with(state, name, acknowledged),
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
        # Whoever waits for this hears of it at any later time or never, so it
        # needs no step of its own. A may have to wait for its loans.
        if name != "A":
            announced = max(entry.announced, epoch)
            adopted = adopted._replace(announced=announced)
        after = _with(state, name, adopted)
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
                if _entry(state, other).announced < entry.epoch:
                    return
        grown = entry._replace(allowance=share)
        yield f"{name} grows to {share}", _with(state, name, grown)

    def _die(self, state: State, name: str) -> Iterator[Step]:
        entry = _entry(state, name)
        deaths = 0
        restarts = 0
        for other in "".join(sorted(set("".join(state.tables)))):
            deaths += not _entry(state, other).alive
            restarts += _entry(state, other).incarnation
        if deaths < self._bounds.deaths:
            dead = entry._replace(alive=False, allowance=0)
            yield f"{name} dies", _forgotten(_with(state, name, dead), name)
        if restarts < self._bounds.restarts:
            started = ABSENT._replace(
                alive=True,
                incarnation=entry.incarnation + 1,
                announced=entry.announced,
            )
            after = _forgotten(_with(state, name, started), name)
            if name == "A":
                after = after._replace(quiet=LENDER_TERM)
            yield f"{name} restarts", after

    # Loans.

    def _loan_steps(self, state: State) -> Iterator[Step]:
        yield from self._ask(state)
        for number, ask in enumerate(state.asks):
            yield from self._lend(state, number, ask)
            yield from self._lower_late(state, number, ask)
            for amount in ask.sent:
                yield from self._accept(state, number, ask, amount)

    def _ask(self, state: State) -> Iterator[Step]:
        entry = state.b
        if not entry.alive or len(state.asks) >= self._bounds.asks:
            return
        if entry.epoch == 0:
            return
        members = state.tables[entry.epoch - 1]
        if "A" not in members or "B" not in members:
            return
        ask = Ask(
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
        yield "B asks", state._replace(asks=(*state.asks, ask))

    def _lend(self, state: State, number: int, ask: Ask) -> Iterator[Step]:
        if not _may_answer(state, number, ask):
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
            sent = ask.sent
            # A loan that nobody waits for need not be kept in the network.
            if ask.waiting:
                sent = tuple(sorted({*sent, amount}))
            answered = ask._replace(
                sent=sent,
                answered_by=state.a.incarnation,
                lent=lent,
                lent_left=term,
            )
            yield (
                f"A lends {amount} for ask {number}",
                _with_ask(state, number, answered),
            )

    def _lower_late(
        self, state: State, number: int, ask: Ask
    ) -> Iterator[Step]:
        """Only in the mutant that sends first and lowers later."""
        if ask.lent >= 0:
            return
        lowered = ask._replace(lent=-ask.lent)
        yield f"A lowers for ask {number}", _with_ask(state, number, lowered)

    def _accept(
        self, state: State, number: int, ask: Ask, amount: int
    ) -> Iterator[Step]:
        entry = state.b
        if not entry.alive or entry.incarnation != ask.incarnation:
            return
        if not ask.waiting or ask.epoch != entry.epoch:
            return
        left = ask.left
        if not self._has(Guard.COUNT_FROM_ASKING):
            left = BORROWER_TERM
        answered = ask._replace(waiting=False, left=left, sent=())
        taken = _with_ask(state, number, answered)
        if left == 0 or number < state.held:
            yield f"B refuses the loan for ask {number}", taken
            return
        yield (
            f"B takes up {amount} for ask {number}",
            taken._replace(held=number, held_amount=amount),
        )


def _entry(state: State, name: str) -> Entry:
    if name == "A":
        return state.a
    if name == "B":
        return state.b
    return state.c


def _with(state: State, name: str, entry: Entry) -> State:
    if name == "A":
        return state._replace(a=entry)
    if name == "B":
        return state._replace(b=entry)
    return state._replace(c=entry)


def _with_ask(state: State, number: int, ask: Ask) -> State:
    asks = (*state.asks[:number], ask, *state.asks[number + 1 :])
    return state._replace(asks=asks)


def _share(state: State, name: str, epoch: int) -> int:
    members = state.tables[epoch - 1]
    if name not in members:
        return 0
    return CAP // len(members)


def _may_answer(state: State, number: int, ask: Ask) -> bool:
    """Whether A lends for this ask; a message may bring it at any time."""
    if not state.a.alive or state.a.epoch != ask.epoch:
        return False
    # The same request again gets the same answer, which changes nothing.
    if ask.answered_by == state.a.incarnation:
        return False
    for later in state.asks[number + 1 :]:
        if later.answered_by != state.a.incarnation:
            continue
        if later.incarnation == ask.incarnation:
            return False
    return True


def _lent(state: State) -> int:
    """The most that B can hold of A's, as A counts it."""
    largest = 0
    for ask in state.asks:
        if ask.lent_left:
            largest = max(largest, ask.lent)
    return largest


def _without_loans(state: State) -> State:
    """B forgets the loan it holds and the requests it made."""
    asks = []
    for ask in state.asks:
        forgotten = ask._replace(waiting=False, left=0, lagged=False, sent=())
        asks.append(forgotten)
    return state._replace(asks=tuple(asks), held=-1, held_amount=0)


def _forgotten(state: State, name: str) -> State:
    """What a process knew of loans goes with it."""
    if name == "B":
        return _without_loans(state)
    if name != "A":
        return state
    asks = []
    for ask in state.asks:
        asks.append(ask._replace(lent=0, lent_left=0))
    return state._replace(asks=tuple(asks), quiet=0)


def _ticked(state: State, *, b_counts: bool) -> State:
    asks = []
    for ask in state.asks:
        left = ask.left
        lagged = ask.lagged
        if left and b_counts:
            left -= 1
        elif left:
            lagged = True
        if left == 0:
            lagged = False
        lent_left = max(0, ask.lent_left - 1)
        lent = ask.lent
        if lent_left == 0:
            lent = 0
        asks.append(
            ask._replace(
                left=left, lagged=lagged, lent=lent, lent_left=lent_left
            )
        )
    quiet = max(0, state.quiet - 1)
    return state._replace(asks=tuple(asks), quiet=quiet)


RENEWALS = Bounds(asks=2, restarts=0, deaths=0, changes=True, lag=True)
FAILURES = Bounds(asks=1, restarts=1, deaths=1, changes=True, lag=False)

MUTANTS = (
    (Guard.LOWER_BEFORE_SEND, RENEWALS),
    (Guard.EPOCH_ACKNOWLEDGED, RENEWALS),
    (Guard.COUNT_FROM_ASKING, RENEWALS),
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
