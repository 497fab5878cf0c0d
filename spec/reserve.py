"""Specification of the reserve slot between a home and its successor.

The upstream has two slots, one of them the reserve. Three entries go through
one change of the table, which moves either the successor or the home. Time
passes in ticks for all; an entry that takes no step is frozen, disconnected or
dead, and its requests go on until their deadlines. Messages may be lost,
delayed, reordered and duplicated: each stays in the network for ever and is
received at any time or never. Of messages that differ only in age, only the
youngest is kept, since an older one permits its receiver less.

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
MAX_AGE = T2
NODES = 3


class HomeAndSuccessor(NamedTuple):
    """Home and successor under one table."""

    home: int
    successor: int


class Plan(NamedTuple):
    """The roles before and after the change, and the longest deadline."""

    roles_by_epoch: tuple[HomeAndSuccessor, HomeAndSuccessor]
    long_deadline: int


class Node(NamedTuple):
    """One entry.

    Attributes:
      epoch: 1 or 2.
      held_epoch: last epoch in which it was home.
      running: time left of each request that it dispatched as home.
      held_back: time left of each slot used by another entry's work.
      reserve: time left of its request in the reserve slot, as successor.
      silence: time since it last received a heartbeat of the home.
      heartbeat_age: age of the youngest heartbeat received from the home.
      ack_age: age of its own heartbeat that the successor last echoed.
      settled: whether it knows that all others have settled under its epoch.
    """

    epoch: int = 1
    held_epoch: int = 0
    running: tuple[int, ...] = ()
    held_back: tuple[int, ...] = ()
    reserve: int = 0
    silence: int = 0
    heartbeat_age: int = MAX_AGE
    ack_age: int = MAX_AGE
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
      record: time left of the old home's requests at the handover.
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
    no_echo_in_reserve: bool = True
    waits_for_record: bool = True
    counts_from_sending: bool = True


Step = tuple[str, State]


def _decremented(times: tuple[int, ...]) -> tuple[int, ...]:
    left = []
    for time in times:
        if time > 1:
            left.append(time - 1)
    return tuple(left)


def _aged(age: int) -> int:
    return min(MAX_AGE, age + 1)


def _with_node(state: State, number: int, node: Node) -> State:
    nodes = list(state.nodes)
    nodes[number] = node
    return state._replace(nodes=tuple(nodes))


class Model:
    """The actions under one plan and one set of guards."""

    def __init__(self, *, plan: Plan, guards: Guards) -> None:
        """Initialises the model with its plan and enabled guards."""
        self._roles_by_epoch = plan.roles_by_epoch
        self._long_deadline = plan.long_deadline
        self._guards = guards

    def initial(self) -> State:
        """Returns the state with all entries settled and a home in epoch 1."""
        nodes = []
        for number in range(NODES):
            node = Node(settled=True)
            if number == self._roles_by_epoch[0].home:
                node = node._replace(held_epoch=1)
            nodes.append(node)
        return State(tuple(nodes), frozenset(), None)

    def transitions(self, state: State) -> list[Step]:
        """Returns every action of the entries and of time."""
        steps = list(self.tick(state))
        for number in range(NODES):
            steps += self.apply_table(state, number)
            steps += self.receive_heartbeat(state, number)
            steps += self.echo(state, number)
            steps += self.receive_echo(state, number)
            steps += self.learn_settled(state, number)
            steps += self.take_over(state, number)
            steps += self.dispatch(state, number)
            steps += self.dispatch_in_reserve(state, number)
        merged = []
        for label, after in steps:
            merged.append((label, self._without_unread_fields(after)))
        return merged

    def tick(self, state: State) -> Iterator[Step]:
        """Time passes."""
        nodes = []
        for node in state.nodes:
            nodes.append(
                node._replace(
                    running=_decremented(node.running),
                    held_back=_decremented(node.held_back),
                    reserve=max(0, node.reserve - 1),
                    silence=_aged(node.silence),
                    heartbeat_age=_aged(node.heartbeat_age),
                    ack_age=_aged(node.ack_age),
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
        if held_epoch == 1 and self._roles_by_epoch[1].home == number:
            held_epoch = 2
        heartbeat_age = node.heartbeat_age
        if self._roles_by_epoch[0].home != self._roles_by_epoch[1].home:
            heartbeat_age = MAX_AGE
        changed = node._replace(
            epoch=2,
            held_epoch=held_epoch,
            silence=0,
            heartbeat_age=heartbeat_age,
            ack_age=MAX_AGE,
            settled=False,
        )
        after = _with_node(state, number, changed)
        if node.held_epoch == 1 and held_epoch == 1:
            # `Homes._records_for`: the record may be received at any later
            # time, when its requests are closer to their deadlines.
            after = after._replace(record=node.running)
        yield f"apply {number}", after

    def receive_heartbeat(self, state: State, number: int) -> Iterator[Step]:
        """`Homes.record_report`: a heartbeat of the home, as if just sent.

        A delayed heartbeat permits no more: it ends the silence in the same
        way, and the home counts from its sending, so the home may use the
        reserve for a shorter time. The youngest therefore covers all others.
        """
        node = state.nodes[number]
        if self._roles(node).successor == number:
            changed = node._replace(silence=0, heartbeat_age=0)
            yield (
                f"receive heartbeat {number}",
                _with_node(state, number, changed),
            )

    def echo(self, state: State, number: int) -> Iterator[Step]:
        """`Homes.report_to`: sends the echo as `echo_sent_s`."""
        node = state.nodes[number]
        roles = self._roles(node)
        if roles.successor != number or node.heartbeat_age > T1:
            return
        if node.reserve and self._guards.no_echo_in_reserve:
            return
        new = Echo(number, node.epoch, roles.home, node.heartbeat_age)
        echoes = {new}
        for echo in state.echoes:
            if echo[:3] != new[:3]:
                echoes.add(echo)
            elif echo.age <= new.age:
                return
        yield f"echo {number}", state._replace(echoes=frozenset(echoes))

    def receive_echo(self, state: State, number: int) -> Iterator[Step]:
        """Receives an echo: `HomePeer.with_echo`, `Homes._may_use_reserve`."""
        node = state.nodes[number]
        roles = self._roles(node)
        for echo in state.echoes:
            if echo.receiver != number or echo.age >= node.ack_age:
                continue
            if echo.sender != roles.successor:
                continue
            if self._guards.checks_epoch and echo.epoch != node.epoch:
                continue
            age = echo.age
            if not self._guards.counts_from_sending:
                age = 0
            changed = node._replace(ack_age=age)
            yield f"receive echo {number}", _with_node(state, number, changed)

    def learn_settled(self, state: State, number: int) -> Iterator[Step]:
        """`Homes._settled_s`: silence counts from when the last one settled."""
        node = state.nodes[number]
        if node.settled or number not in self._roles(node):
            return
        for sender in range(NODES):
            if sender != number and not self._has_settled(state, sender):
                return
        changed = node._replace(settled=True, silence=0)
        yield f"settled {number}", _with_node(state, number, changed)

    def take_over(self, state: State, number: int) -> Iterator[Step]:
        """`Homes._take_over`, given the record of the previous epoch."""
        node = state.nodes[number]
        if node.epoch == 1 or self._roles(node).home != number:
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
        """`SlotTable.acquire_at` at the home, with a short or long deadline."""
        node = state.nodes[number]
        if self._roles(node).home != number or node.held_epoch != node.epoch:
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
        if self._roles(node).successor != number or node.reserve:
            return
        if not self._all_settled(node):
            return
        limit = T2 if self._guards.t2_covers_deadline else T1
        if node.silence < limit:
            return
        changed = node._replace(reserve=RESERVE_DEADLINE)
        yield f"reserve {number}", _with_node(state, number, changed)

    def _without_unread_fields(self, state: State) -> State:
        """Clears fields that an entry's role never reads, to merge states."""
        nodes = []
        for number, node in enumerate(state.nodes):
            roles = self._roles(node)
            if roles.successor != number:
                node = node._replace(silence=0, heartbeat_age=MAX_AGE)  # noqa: PLW2901
            if roles.home != number:
                node = node._replace(ack_age=MAX_AGE)  # noqa: PLW2901
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

        The report of it can be received at any later time, so it need not be
        part of the state.
        """
        node = state.nodes[sender]
        if node.epoch == 1:
            return False
        return node.reserve == 0 or sender in self._roles(node)

    def _roles(self, node: Node) -> HomeAndSuccessor:
        return self._roles_by_epoch[node.epoch - 1]

    def _ever_home(self, number: int) -> bool:
        return number in (
            self._roles_by_epoch[0].home,
            self._roles_by_epoch[1].home,
        )

    def _all_settled(self, node: Node) -> bool:
        if not self._guards.checks_epoch:
            return True
        return node.settled

    def _may_use_reserve(self, node: Node) -> bool:
        if not self._guards.checks_t1:
            return True
        return self._all_settled(node) and node.ack_age <= T1


def in_flight(nodes: tuple[Node, ...]) -> int:
    """Returns the number of requests that the upstream runs."""
    count = 0
    for node in nodes:
        count += len(node.running)
        if node.reserve:
            count += 1
    return count


SUCCESSOR_MOVES = Plan(
    roles_by_epoch=(
        HomeAndSuccessor(home=0, successor=1),
        HomeAndSuccessor(home=0, successor=2),
    ),
    long_deadline=3,
)
HOME_MOVES = Plan(
    roles_by_epoch=(
        HomeAndSuccessor(home=0, successor=1),
        HomeAndSuccessor(home=2, successor=0),
    ),
    long_deadline=3,
)


def protocol(name: str, plan: Plan, guards: Guards) -> Protocol:
    """Returns the protocol for the model checker."""
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
    ("no_echo_in_reserve", SUCCESSOR_MOVES),
    ("counts_from_sending", SUCCESSOR_MOVES),
    ("waits_for_record", HOME_MOVES),
)


MODELS = checked_models(
    module="reserve",
    build=with_guards(protocol, Guards()),
    correct=(
        ("the successor moves", SUCCESSOR_MOVES),
        ("the home moves", HOME_MOVES),
    ),
    mutants=MUTANTS,
)
