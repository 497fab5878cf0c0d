"""Specification of the order of updates: configurations, leaving upstreams.

Entries read the store or each other, in any order, and may miss intermediate
states. The operator writes newer configurations; an older one may be stored
late. An upstream registers, leaves and is removed; a write from before it left
may be applied late, even after its removal. A zone is evacuated and restored.
Processes restart without their former state; a restarted entry is a new
incarnation, for which the invariant starts anew.

`spec/README.md` maps each action to the function of the core.
"""

from collections.abc import Iterator
from typing import NamedTuple

from minicheck import Protocol

from spec.checked_model import checked_models
from spec.checked_model import with_guards

NODES = 2
MAX_VERSIONS = 2
MAX_ORDERS = 2
# Bounds the number of states: a run has at most five changes of the store.
MAX_REVISIONS = 6
NONE, READY, LEAVING = "none", "ready", "leaving"


class Store(NamedTuple):
    """The platform's store.

    Attributes:
      revision: revision of the last change.
      version: version of the stored configuration.
      newest: newest version ever stored.
      upstream: the registration of the one upstream.
      late: whether a write of `READY` from before it left is in flight.
      orders: number of orders to evacuate or restore the zone; after an odd
        number it is evacuated.
    """

    revision: int = 1
    version: int = 1
    newest: int = 1
    upstream: str = READY
    late: bool = True
    orders: int = 0


class Node(NamedTuple):
    """One entry.

    Attributes:
      revision: store revision of its view; 0 for none.
      version: version in force; 0 for none.
      upstream: state of the upstream in its view.
      left: whether it remembers that the upstream left.
      orders: number of orders about the zone that it knows of.
      fault: the violation seen in this incarnation; "" for none.
    """

    revision: int = 0
    version: int = 0
    upstream: str = NONE
    left: bool = False
    orders: int = 0
    fault: str = ""


class State(NamedTuple):
    """The whole system.

    Attributes:
      store: the store.
      nodes: the entries.
    """

    store: Store
    nodes: tuple[Node, ...]


class Update(NamedTuple):
    """What an entry reads from the store or from another entry.

    Attributes:
      revision: store revision that it reflects.
      version: version of the configuration.
      upstream: registration of the upstream.
      orders: number of orders about the zone.
    """

    revision: int
    version: int
    upstream: str
    orders: int


class Guards(NamedTuple):
    """The guards of the protocol; a mutant lacks one."""

    newer_only: bool = True
    keeps_mark: bool = True
    remembers_left: bool = True
    refuses_older_peers: bool = True


Step = tuple[str, State]


class Model:
    """The actions under one set of guards."""

    def __init__(self, *, guards: Guards) -> None:
        """Initialises the model with its enabled guards."""
        self._guards = guards

    @staticmethod
    def initial() -> State:
        """Returns the state with the upstream registered and no entry aware."""
        return State(store=Store(), nodes=(Node(),) * NODES)

    def transitions(self, state: State) -> Iterator[Step]:
        """Yields every possible next step."""
        if state.store.revision < MAX_REVISIONS:
            yield from _store_changes(state)
        for number, node in enumerate(state.nodes):
            if node.revision:
                yield f"{number} restarts", _with_node(state, number, Node())
            yield f"{number} reads the store", self._read_store(state, number)
            for other, peer in enumerate(state.nodes):
                if other == number or not peer.revision:
                    continue
                if self._guards.refuses_older_peers:
                    if peer.revision < node.revision:
                        continue
                label = f"{number} reads {other}"
                yield label, self._read_peer(state, number, peer)

    def _read_store(self, state: State, number: int) -> State:
        store = state.store
        update = Update(
            store.revision, store.version, store.upstream, store.orders
        )
        return _with_node(
            state, number, self._apply(state.nodes[number], update)
        )

    def _read_peer(self, state: State, number: int, peer: Node) -> State:
        update = Update(peer.revision, peer.version, peer.upstream, peer.orders)
        return _with_node(
            state, number, self._apply(state.nodes[number], update)
        )

    def _apply(self, node: Node, update: Update) -> Node:
        fault = node.fault
        version = update.version
        upstream = update.upstream
        if update.orders < node.orders:
            fault = "an order about the zone is undone"
        if version < node.version:
            if self._guards.newer_only:
                version = node.version
            else:
                fault = "an older configuration is in force again"
        left = node.left or node.upstream == LEAVING
        if upstream == READY and self._counts_as_leaving(node):
            upstream = LEAVING
        if upstream == READY and left:
            fault = "an upstream that left gets requests"
        return Node(
            revision=update.revision,
            version=version,
            upstream=upstream,
            orders=update.orders,
            left=left or upstream == LEAVING,
            fault=fault,
        )

    def _counts_as_leaving(self, node: Node) -> bool:
        if node.upstream == LEAVING:
            return self._guards.keeps_mark
        return node.left and self._guards.remembers_left


def _store_changes(state: State) -> Iterator[Step]:
    """Yields the changes of the store by the operator and the upstream."""
    store = state.store
    revision = store.revision + 1
    if store.newest < MAX_VERSIONS:
        newest = store.newest + 1
        stored = store._replace(
            revision=revision, version=newest, newest=newest
        )
        yield "a newer configuration", state._replace(store=stored)
    if store.version > 1:
        stored = store._replace(revision=revision, version=store.version - 1)
        yield (
            "an older configuration is stored late",
            state._replace(store=stored),
        )
    if store.orders < MAX_ORDERS:
        stored = store._replace(revision=revision, orders=store.orders + 1)
        yield "the zone is evacuated or restored", state._replace(store=stored)
    if store.upstream == READY:
        stored = store._replace(revision=revision, upstream=LEAVING)
        yield "the upstream leaves", state._replace(store=stored)
    if store.upstream == LEAVING:
        stored = store._replace(revision=revision, upstream=NONE)
        yield "the upstream is removed", state._replace(store=stored)
    if store.late and store.upstream != READY:
        stored = store._replace(revision=revision, upstream=READY, late=False)
        yield (
            "a late write of the upstream is applied",
            state._replace(store=stored),
        )


def _with_node(state: State, number: int, node: Node) -> State:
    nodes = list(state.nodes)
    nodes[number] = node
    return state._replace(nodes=tuple(nodes))


def _without_fault(fields: dict) -> bool:
    return not any(node.fault for node in fields["nodes"])


def protocol(name: str, start: None, guards: Guards) -> Protocol:
    """Returns the protocol for the model checker; it has one start state."""
    del start
    model = Model(guards=guards)
    return Protocol(
        name=name,
        candidate=False,
        fields=State._fields,
        initial=model.initial(),
        transitions=model.transitions,
        invariants={"no_update_is_undone": _without_fault},
    )


MODELS = checked_models(
    module="update_order",
    build=with_guards(protocol, Guards()),
    correct=(("updates arrive in any order", None),),
    mutants=(
        ("newer_only", None),
        ("keeps_mark", None),
        ("remembers_left", None),
        ("refuses_older_peers", None),
    ),
)
