"""Specification of a bound that entries share without exchanging messages.

The bound applies to the sum over all entries. Each entry uses the bound divided
by the number of entries that it knows. Entries register under a lease, discover
each other by polling the store, and may be disconnected from it at any moment:
they then neither renew nor poll, and keep the last list that they read. Time
passes in ticks for all.

`spec/README.md` maps each action to the function of the core.
"""

from collections.abc import Iterator
from fractions import Fraction
from typing import NamedTuple

from minicheck import Protocol

from spec.checked_model import checked_models
from spec.checked_model import with_guards

NODES = 2
LEASE_TICKS = 2
POLL_TICKS = 1
JOIN_TICKS = LEASE_TICKS + POLL_TICKS


class Node(NamedTuple):
    """One entry.

    Attributes:
      running: whether its process is alive.
      disconnected: whether it cannot reach the store.
      known: entries that it counts, including itself.
      own_lease: time left in which both its registration and its list of
        entries are valid, by its own count.
      joined: time since its registration, at most `JOIN_TICKS`.
    """

    running: bool = False
    disconnected: bool = False
    known: frozenset[int] = frozenset()
    own_lease: int = 0
    joined: int = 0


class State(NamedTuple):
    """The whole system.

    Attributes:
      nodes: the entries.
      leases: time left of each registration in the store; 0 for none.
      ages: time since each registration, at most `POLL_TICKS`.
    """

    nodes: tuple[Node, ...]
    leases: tuple[int, ...]
    ages: tuple[int, ...]


class Guards(NamedTuple):
    """The guards of the protocol; a mutant lacks one."""

    waits_to_join: bool = True
    waits_for_leases: bool = True
    stops_with_lease: bool = True
    counts_from_sending: bool = True
    lease_needs_poll: bool = True


Step = tuple[str, State]


class Model:
    """The actions under one set of guards."""

    def __init__(self, *, guards: Guards) -> None:
        """Initialises the model with its enabled guards."""
        self._guards = guards
        self._join = JOIN_TICKS
        if not guards.waits_for_leases:
            self._join = POLL_TICKS
        if not guards.waits_to_join:
            self._join = 0

    def initial(self) -> State:
        """Returns the state with one established entry and no other started."""
        first = Node(
            running=True,
            known=frozenset((0,)),
            own_lease=LEASE_TICKS,
            joined=JOIN_TICKS,
        )
        nodes = (first, *(Node() for _ in range(NODES - 1)))
        return State(
            nodes=nodes,
            leases=(LEASE_TICKS, *(0,) * (NODES - 1)),
            ages=(POLL_TICKS, *(0,) * (NODES - 1)),
        )

    def share(self, node: Node) -> Fraction:
        """Returns the part of the bound that an entry may use now."""
        if not node.running or node.joined < self._join:
            return Fraction(0)
        if self._guards.stops_with_lease and node.own_lease == 0:
            return Fraction(0)
        return Fraction(1, len(node.known))

    def transitions(self, state: State) -> Iterator[Step]:
        """Yields every possible next step."""
        for number, node in enumerate(state.nodes):
            if not node.running:
                yield self._start(state, number)
                continue
            yield f"{number} dies", _with_node(state, number, Node())
            disconnected = node._replace(disconnected=not node.disconnected)
            change = "reconnects" if node.disconnected else "is disconnected"
            yield f"{number} {change}", _with_node(state, number, disconnected)
            if not node.disconnected:
                yield self._renew(state, number)
                yield self._poll(state, number)
                yield self._refresh(state, number)
        if self._may_tick(state):
            yield "a tick", self._tick(state)

    def _start(self, state: State, number: int) -> Step:
        known = frozenset(_registered(state) | {number})
        node = Node(running=True, known=known, own_lease=LEASE_TICKS)
        leases = _with_value(state.leases, number, LEASE_TICKS)
        ages = _with_value(state.ages, number, 0)
        state = _with_node(state, number, node)
        return f"{number} starts", state._replace(leases=leases, ages=ages)

    def _renew(self, state: State, number: int) -> Step:
        """Renews the registration without polling for other entries."""
        node = state.nodes[number]
        ages = state.ages
        if state.leases[number] == 0:
            # The registration had expired, so the entry registers again.
            ages = _with_value(ages, number, 0)
            node = node._replace(joined=0)
        if not self._guards.lease_needs_poll:
            node = node._replace(own_lease=self._own_lease())
        leases = _with_value(state.leases, number, LEASE_TICKS)
        state = _with_node(state, number, node)
        return f"{number} renews", state._replace(leases=leases, ages=ages)

    def _own_lease(self) -> int:
        return (
            LEASE_TICKS if self._guards.counts_from_sending else LEASE_TICKS + 1
        )

    def _refresh(self, state: State, number: int) -> Step:
        """Renews and polls; only both together extend the validity."""
        _, state = self._renew(state, number)
        _, state = self._poll(state, number)
        node = state.nodes[number]._replace(own_lease=self._own_lease())
        return f"{number} refreshes", _with_node(state, number, node)

    @staticmethod
    def _poll(state: State, number: int) -> Step:
        known = frozenset(_registered(state) | {number})
        node = state.nodes[number]._replace(known=known)
        return f"{number} polls", _with_node(state, number, node)

    @staticmethod
    def _may_tick(state: State) -> bool:
        """Returns whether connected entries have polled and renewed in time."""
        for number, node in enumerate(state.nodes):
            if not node.running or node.disconnected:
                continue
            for other in _registered(state):
                if state.ages[other] >= POLL_TICKS and other not in node.known:
                    return False
            if state.leases[number] == 0:
                return False
        return True

    @staticmethod
    def _tick(state: State) -> State:
        nodes = []
        for node in state.nodes:
            nodes.append(
                node._replace(
                    own_lease=max(0, node.own_lease - 1),
                    joined=min(JOIN_TICKS, node.joined + 1)
                    if node.running
                    else 0,
                )
            )
        leases = tuple(max(0, lease - 1) for lease in state.leases)
        ages = tuple(min(POLL_TICKS, age + 1) for age in state.ages)
        return State(nodes=tuple(nodes), leases=leases, ages=ages)

    def within_bound(self, state: State) -> bool:
        """Returns whether the shares sum to at most the bound."""
        return sum(self.share(node) for node in state.nodes) <= 1


def _registered(state: State) -> set[int]:
    return {number for number, lease in enumerate(state.leases) if lease > 0}


def _with_value(
    values: tuple[int, ...], number: int, value: int
) -> tuple[int, ...]:
    changed = list(values)
    changed[number] = value
    return tuple(changed)


def _with_node(state: State, number: int, node: Node) -> State:
    nodes = list(state.nodes)
    nodes[number] = node
    return state._replace(nodes=tuple(nodes))


def protocol(name: str, start: None, guards: Guards) -> Protocol:
    """Returns the protocol for the model checker."""
    del start
    model = Model(guards=guards)

    def within_bound(fields: dict) -> bool:
        return model.within_bound(State(**fields))

    return Protocol(
        name=name,
        candidate=False,
        fields=State._fields,
        initial=model.initial(),
        transitions=model.transitions,
        invariants={"shares_within_bound": within_bound},
    )


MODELS = checked_models(
    module="shares",
    build=with_guards(protocol, Guards()),
    correct=(("entries join, leave and are disconnected", None),),
    mutants=(
        ("waits_to_join", None),
        ("waits_for_leases", None),
        ("stops_with_lease", None),
        ("counts_from_sending", None),
        ("lease_needs_poll", None),
    ),
)
