"""Specification of a bound that entries share without talking to each other.

The bound is a sum over all entries. Each takes the bound divided by the number
of entries that it knows. Entries register under a lease, learn of each other by
polls of the store, and may be cut off from it at any moment: then they neither
renew nor poll, and go on with what they knew. Time passes in ticks for all.

`spec/README.md` maps each action to the function of the core.
"""

from collections.abc import Iterator
from fractions import Fraction
from typing import NamedTuple

from minicheck import Protocol

from spec.checked_model import checked_models
from spec.checked_model import with_guards

NODES = 2
LEASE = 2
POLL = 1
JOIN = LEASE + POLL


class Node(NamedTuple):
    """One entry.

    Attributes:
      running: whether its process lives.
      cut: whether it is cut off from the store.
      known: entries that it counts, itself among them.
      own_lease: time left in which its registration and its picture of the
        others are both good, by its own count.
      joined: time since its registration, at most `JOIN`.
    """

    running: bool = False
    cut: bool = False
    known: frozenset[int] = frozenset()
    own_lease: int = 0
    joined: int = 0


class State(NamedTuple):
    """The whole system.

    Attributes:
      nodes: the entries.
      leases: time left of each registration in the store; 0 for none.
      ages: time since each registration, at most `POLL`.
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
    needs_both: bool = True


Step = tuple[str, State]


class Model:
    """The actions under one set of guards."""

    def __init__(self, *, guards: Guards) -> None:
        """Takes the guards in place."""
        self._guards = guards
        self._join = JOIN
        if not guards.waits_for_leases:
            self._join = POLL
        if not guards.waits_to_join:
            self._join = 0

    def initial(self) -> State:
        """One entry has been there for long; the others have not started."""
        first = Node(
            running=True,
            known=frozenset((0,)),
            own_lease=LEASE,
            joined=JOIN,
        )
        nodes = (first, *(Node() for _ in range(NODES - 1)))
        return State(
            nodes=nodes,
            leases=(LEASE, *(0,) * (NODES - 1)),
            ages=(POLL, *(0,) * (NODES - 1)),
        )

    def share(self, node: Node) -> Fraction:
        """Returns the part of the bound that an entry may take now."""
        if not node.running or node.joined < self._join:
            return Fraction(0)
        if self._guards.stops_with_lease and node.own_lease == 0:
            return Fraction(0)
        return Fraction(1, len(node.known))

    def transitions(self, state: State) -> Iterator[Step]:
        """Yields everything that may happen next."""
        for number, node in enumerate(state.nodes):
            if not node.running:
                yield self._start(state, number)
                continue
            yield f"{number} dies", _put(state, number, Node())
            cut = node._replace(cut=not node.cut)
            word = "is back" if node.cut else "is cut off"
            yield f"{number} {word}", _put(state, number, cut)
            if not node.cut:
                yield self._renew(state, number)
                yield self._poll(state, number)
                yield self._refresh(state, number)
        if self._may_pass(state):
            yield "a tick", self._tick(state)

    def _start(self, state: State, number: int) -> Step:
        known = frozenset(_registered(state) | {number})
        node = Node(running=True, known=known, own_lease=LEASE)
        leases = _with(state.leases, number, LEASE)
        ages = _with(state.ages, number, 0)
        state = _put(state, number, node)
        return f"{number} starts", state._replace(leases=leases, ages=ages)

    def _renew(self, state: State, number: int) -> Step:
        """Renews the registration, without looking who else there is."""
        node = state.nodes[number]
        ages = state.ages
        if state.leases[number] == 0:
            # Its registration had ended: it registers anew.
            ages = _with(ages, number, 0)
            node = node._replace(joined=0)
        if not self._guards.needs_both:
            node = node._replace(own_lease=self._own_lease())
        leases = _with(state.leases, number, LEASE)
        state = _put(state, number, node)
        return f"{number} renews", state._replace(leases=leases, ages=ages)

    def _own_lease(self) -> int:
        return LEASE if self._guards.counts_from_sending else LEASE + 1

    def _refresh(self, state: State, number: int) -> Step:
        """Renews and polls: only both together make its shares last."""
        _, state = self._renew(state, number)
        _, state = self._poll(state, number)
        node = state.nodes[number]._replace(own_lease=self._own_lease())
        return f"{number} refreshes", _put(state, number, node)

    @staticmethod
    def _poll(state: State, number: int) -> Step:
        known = frozenset(_registered(state) | {number})
        node = state.nodes[number]._replace(known=known)
        return f"{number} polls", _put(state, number, node)

    @staticmethod
    def _may_pass(state: State) -> bool:
        """Entries that reach the store poll before a registration is old."""
        for number, node in enumerate(state.nodes):
            if not node.running or node.cut:
                continue
            for other in _registered(state):
                if state.ages[other] >= POLL and other not in node.known:
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
                    joined=min(JOIN, node.joined + 1) if node.running else 0,
                )
            )
        leases = tuple(max(0, lease - 1) for lease in state.leases)
        ages = tuple(min(POLL, age + 1) for age in state.ages)
        return State(nodes=tuple(nodes), leases=leases, ages=ages)

    def within_bound(self, state: State) -> bool:
        """The parts that may be taken now sum to the bound at most."""
        return sum(self.share(node) for node in state.nodes) <= 1


def _registered(state: State) -> set[int]:
    return {number for number, lease in enumerate(state.leases) if lease > 0}


def _with(values: tuple[int, ...], number: int, value: int) -> tuple[int, ...]:
    changed = list(values)
    changed[number] = value
    return tuple(changed)


def _put(state: State, number: int, node: Node) -> State:
    nodes = list(state.nodes)
    nodes[number] = node
    return state._replace(nodes=tuple(nodes))


def protocol(name: str, start: None, guards: Guards) -> Protocol:
    """Returns the protocol for the checker."""
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
    right=(("entries join, leave and are cut off", None),),
    mutants=(
        ("waits_to_join", None),
        ("waits_for_leases", None),
        ("stops_with_lease", None),
        ("counts_from_sending", None),
        ("needs_both", None),
    ),
)
