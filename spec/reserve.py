"""Specification of the reserve slot between a home and its successor.

The upstream has two slots, one of them the reserve. Three entries live through
one change of the table, which moves either the successor or the home. Time
passes in ticks for all; an entry that does nothing meanwhile is frozen, cut off
or dead, and its requests go on until their deadlines. Messages are lost,
delayed, reordered and repeated at will: each stays in the network for good and
is received at any time or never. Of messages that differ in age alone only the
youngest is kept, since an older one allows its receiver less.

`spec/README.md` maps each action to the function of the core.
"""

from collections.abc import Iterator
from typing import NamedTuple

from minicheck import Protocol

from spec.checked_model import checked_models
from spec.checked_model import with_guards

SLOTS = 2
ORDINARY_SLOTS = 1
T1 = 1
RESERVE_DEADLINE = 1
T2 = T1 + RESERVE_DEADLINE
OLD = T2
NODES = 3


class Rank(NamedTuple):
    """Home and successor under one table."""

    home: int
    successor: int


class Plan(NamedTuple):
    """What the table's change moves, and how long the longest work runs."""

    ranks: tuple[Rank, Rank]
    long_deadline: int


class Node(NamedTuple):
    """One entry.

    Attributes:
      epoch: 1 or 2.
      held_epoch: last epoch in which it held the home role.
      running: time left of each request that it dispatched as home.
      held_back: time left of each slot that another's work takes.
      reserve: time left of its request in the reserve slot, as successor.
      silent: how long it has not heard the home.
      heard_age: age of the youngest heartbeat of the home that it heard.
      ack_age: age of its own heartbeat that the successor last echoed.
      settled: whether it knows that all others settled under its epoch.
    """

    epoch: int = 1
    held_epoch: int = 0
    running: tuple[int, ...] = ()
    held_back: tuple[int, ...] = ()
    reserve: int = 0
    silent: int = 0
    heard_age: int = OLD
    ack_age: int = OLD
    settled: bool = False


class Echo(NamedTuple):
    """An acknowledgement in the network."""

    sender: int
    epoch: int
    receiver: int
    age: int


class State(NamedTuple):
    """The whole system.

    Attributes:
      nodes: the entries.
      echoes: the youngest echo of each sender, epoch and receiver.
      record: what the old home said of its requests at the hand-over.
    """

    nodes: tuple[Node, ...]
    echoes: frozenset[Echo]
    record: tuple[int, ...] | None


class Guards(NamedTuple):
    """The guards of the protocol; a mutant lacks one."""

    checks_t1: bool = True
    t2_covers_deadline: bool = True
    short_reserve: bool = True
    checks_epoch: bool = True
    quiet_with_reserve: bool = True
    waits_for_record: bool = True
    counts_from_sending: bool = True


Step = tuple[str, State]


def _shorter(times: tuple[int, ...]) -> tuple[int, ...]:
    left = []
    for time in times:
        if time > 1:
            left.append(time - 1)
    return tuple(left)


def _older(age: int) -> int:
    return min(OLD, age + 1)


def _with_node(state: State, number: int, node: Node) -> State:
    nodes = list(state.nodes)
    nodes[number] = node
    return state._replace(nodes=tuple(nodes))


class Model:
    """The actions under one plan of ranks and one set of guards."""

    def __init__(self, *, plan: Plan, guards: Guards) -> None:
        """Takes the plan of both epochs and the guards in place."""
        self._ranks = plan.ranks
        self._long_deadline = plan.long_deadline
        self._guards = guards

    def initial(self) -> State:
        """Everyone has settled under epoch 1 and its home holds its role."""
        nodes = []
        for number in range(NODES):
            node = Node(settled=True)
            if number == self._ranks[0].home:
                node = node._replace(held_epoch=1)
            nodes.append(node)
        return State(tuple(nodes), frozenset(), None)

    def transitions(self, state: State) -> list[Step]:
        """Every action that some entry or time can take."""
        steps = list(self.tick(state))
        for number in range(NODES):
            steps += self.apply_table(state, number)
            steps += self.hear_beat(state, number)
            steps += self.echo(state, number)
            steps += self.hear_echo(state, number)
            steps += self.hear_settled(state, number)
            steps += self.take_over(state, number)
            steps += self.dispatch(state, number)
            steps += self.dispatch_in_reserve(state, number)
        merged = []
        for label, after in steps:
            merged.append((label, self._without_idle_parts(after)))
        return merged

    def tick(self, state: State) -> Iterator[Step]:
        """Time passes."""
        nodes = []
        for node in state.nodes:
            nodes.append(
                node._replace(
                    running=_shorter(node.running),
                    held_back=_shorter(node.held_back),
                    reserve=max(0, node.reserve - 1),
                    silent=_older(node.silent),
                    heard_age=_older(node.heard_age),
                    ack_age=_older(node.ack_age),
                )
            )
        echoes = set()
        for echo in state.echoes:
            if echo.age < T1:
                echoes.add(echo._replace(age=echo.age + 1))
        yield (
            "tick",
            state._replace(
                nodes=tuple(nodes),
                echoes=frozenset(echoes),
            ),
        )

    def apply_table(self, state: State, number: int) -> Iterator[Step]:
        """`Homes.update_table`."""
        node = state.nodes[number]
        if node.epoch == 2:
            return
        held_epoch = node.held_epoch
        if held_epoch == 1 and self._ranks[1].home == number:
            held_epoch = 2
        heard_age = node.heard_age
        if self._ranks[0].home != self._ranks[1].home:
            heard_age = OLD
        changed = node._replace(
            epoch=2,
            held_epoch=held_epoch,
            silent=0,
            heard_age=heard_age,
            ack_age=OLD,
            settled=False,
        )
        after = _with_node(state, number, changed)
        if node.held_epoch == 1 and held_epoch == 1:
            # `Homes._records_for`: received at any later time, by which the
            # requests it names have come nearer to their ends.
            after = after._replace(record=node.running)
        yield f"apply {number}", after

    def hear_beat(self, state: State, number: int) -> Iterator[Step]:
        """`Homes.heard`: a heartbeat of the home, as if just sent.

        A delayed one lets nobody do more: it ends the silence in the same way,
        and the home counts from its sending, so it may use the reserve for a
        shorter time. Hence the youngest stands for all.
        """
        node = state.nodes[number]
        if self._rank(node).successor == number:
            changed = node._replace(silent=0, heard_age=0)
            yield f"hear {number}", _with_node(state, number, changed)

    def echo(self, state: State, number: int) -> Iterator[Step]:
        """`Homes.report_to`: its `echo_sent_s`."""
        node = state.nodes[number]
        rank = self._rank(node)
        if rank.successor != number or node.heard_age > T1:
            return
        if node.reserve and self._guards.quiet_with_reserve:
            return
        new = Echo(number, node.epoch, rank.home, node.heard_age)
        echoes = {new}
        for echo in state.echoes:
            if echo[:3] != new[:3]:
                echoes.add(echo)
            elif echo.age <= new.age:
                return
        yield f"echo {number}", state._replace(echoes=frozenset(echoes))

    def hear_echo(self, state: State, number: int) -> Iterator[Step]:
        """`HomePeer.with_echo` and `Homes._may_use_reserve`."""
        node = state.nodes[number]
        rank = self._rank(node)
        for echo in state.echoes:
            if echo.receiver != number or echo.age >= node.ack_age:
                continue
            if echo.sender != rank.successor:
                continue
            if self._guards.checks_epoch and echo.epoch != node.epoch:
                continue
            age = echo.age
            if not self._guards.counts_from_sending:
                age = 0
            changed = node._replace(ack_age=age)
            yield f"hear echo {number}", _with_node(state, number, changed)

    def hear_settled(self, state: State, number: int) -> Iterator[Step]:
        """`Homes._settled_s`: silence counts from the last one settled."""
        node = state.nodes[number]
        if node.settled or number not in self._rank(node):
            return
        for sender in range(NODES):
            if sender != number and not self._has_settled(state, sender):
                return
        changed = node._replace(settled=True, silent=0)
        yield f"settled {number}", _with_node(state, number, changed)

    def take_over(self, state: State, number: int) -> Iterator[Step]:
        """`Homes._take_over` on the record of the epoch just before."""
        node = state.nodes[number]
        if node.epoch == 1 or self._rank(node).home != number:
            return
        if node.held_epoch == 2:
            return
        held_back = state.record
        if not self._guards.waits_for_record:
            held_back = ()
        if held_back is None:
            return
        changed = node._replace(held_epoch=2, held_back=held_back)
        yield f"take over {number}", _with_node(state, number, changed)

    def dispatch(self, state: State, number: int) -> Iterator[Step]:
        """`SlotTable.acquire_at` at the home, with short or long work."""
        node = state.nodes[number]
        if self._rank(node).home != number or node.held_epoch != node.epoch:
            return
        limit = ORDINARY_SLOTS
        if self._may_use_reserve(node):
            limit = SLOTS
        used = node.running + node.held_back
        reserve = (node.reserve,) if node.reserve else ()
        if len(used + reserve) >= limit:
            return
        deadlines = [RESERVE_DEADLINE]
        long_used = 0
        for left in used:
            if left > RESERVE_DEADLINE:
                long_used += 1
        if long_used < ORDINARY_SLOTS or not self._guards.short_reserve:
            deadlines.append(self._long_deadline)
        for deadline in deadlines:
            running = tuple(sorted(node.running + (deadline,)))
            changed = node._replace(running=running)
            yield (
                f"dispatch {number} {deadline}",
                _with_node(state, number, changed),
            )

    def dispatch_in_reserve(self, state: State, number: int) -> Iterator[Step]:
        """`SlotTable.acquire_at` at the successor of a silent home."""
        node = state.nodes[number]
        if self._rank(node).successor != number or node.reserve:
            return
        if not self._all_settled(node):
            return
        limit = T2 if self._guards.t2_covers_deadline else T1
        if node.silent < limit:
            return
        changed = node._replace(reserve=RESERVE_DEADLINE)
        yield f"reserve {number}", _with_node(state, number, changed)

    def _without_idle_parts(self, state: State) -> State:
        """Blanks what the role of an entry never reads, to merge states."""
        nodes = []
        for number, node in enumerate(state.nodes):
            rank = self._rank(node)
            if rank.successor != number:
                node = node._replace(silent=0, heard_age=OLD)  # noqa: PLW2901
            if rank.home != number:
                node = node._replace(ack_age=OLD)  # noqa: PLW2901
            nodes.append(node)
        echoes = set()
        for echo in state.echoes:
            outdated = echo.epoch < state.nodes[echo.receiver].epoch
            if outdated and self._guards.checks_epoch:
                continue
            echoes.add(echo)
        return state._replace(nodes=tuple(nodes), echoes=frozenset(echoes))

    def _has_settled(self, state: State, sender: int) -> bool:
        """`Homes._is_settled`; once true it stays true.

        A report that says so can be received at any later time, so the report
        itself need not be part of the state.
        """
        node = state.nodes[sender]
        if node.epoch == 1:
            return False
        return node.reserve == 0 or sender in self._rank(node)

    def _rank(self, node: Node) -> Rank:
        return self._ranks[node.epoch - 1]

    def _ever_home(self, number: int) -> bool:
        return number in (self._ranks[0].home, self._ranks[1].home)

    def _all_settled(self, node: Node) -> bool:
        if not self._guards.checks_epoch:
            return True
        return node.settled

    def _may_use_reserve(self, node: Node) -> bool:
        if not self._guards.checks_t1:
            return True
        return self._all_settled(node) and node.ack_age <= T1


def in_flight(nodes: tuple[Node, ...]) -> int:
    """Returns how many requests the upstream runs."""
    count = 0
    for node in nodes:
        count += len(node.running)
        if node.reserve:
            count += 1
    return count


SUCCESSOR_MOVES = Plan(
    ranks=(Rank(home=0, successor=1), Rank(home=0, successor=2)),
    long_deadline=3,
)
HOME_MOVES = Plan(
    ranks=(Rank(home=0, successor=1), Rank(home=2, successor=0)),
    long_deadline=3,
)


def protocol(name: str, plan: Plan, guards: Guards) -> Protocol:
    """Returns the protocol for the checker."""
    model = Model(plan=plan, guards=guards)

    def within_slots(fields: dict) -> bool:
        return in_flight(fields["nodes"]) <= SLOTS

    return Protocol(
        name=name,
        candidate=False,
        fields=State._fields,
        initial=model.initial(),
        transitions=model.transitions,
        invariants={"in_flight_within_slots": within_slots},
    )


MUTANTS = (
    ("checks_t1", SUCCESSOR_MOVES),
    ("t2_covers_deadline", SUCCESSOR_MOVES),
    ("short_reserve", SUCCESSOR_MOVES),
    ("checks_epoch", SUCCESSOR_MOVES),
    ("quiet_with_reserve", SUCCESSOR_MOVES),
    ("counts_from_sending", SUCCESSOR_MOVES),
    ("waits_for_record", HOME_MOVES),
)


MODELS = checked_models(
    module="reserve",
    build=with_guards(protocol, Guards()),
    right=(
        ("the successor moves", SUCCESSOR_MOVES),
        ("the home moves", HOME_MOVES),
    ),
    mutants=MUTANTS,
)
