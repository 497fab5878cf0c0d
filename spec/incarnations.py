"""Specification of an upstream that restarts under the same id.

Each start is a new incarnation, identified by its start time. An entry learns
of it from the store, from another entry whose state may be older, and from the
response at its address. The store may apply a write of an earlier incarnation
late. A registration may lapse, which each entry observes at its own time.

`spec/README.md` maps each action to the function of the core.
"""

from collections.abc import Iterator
from typing import NamedTuple

from minicheck import Protocol

from spec.checked_model import checked_models
from spec.checked_model import with_guards

NODES = 2
MAX_INCARNATIONS = 2
MAX_REVISIONS = 5
NONE = 0


class Store(NamedTuple):
    """The platform's store and the running upstream.

    Attributes:
      revision: revision of the last change.
      incarnation: the registered incarnation; 0 for none.
      running: the newest incarnation that has started.
      late: an incarnation whose write is still in flight; 0 for none.
    """

    revision: int = 1
    incarnation: int = 1
    running: int = 1
    late: int = NONE


class Node(NamedTuple):
    """One entry.

    Attributes:
      revision: store revision of its view; 0 for none.
      incarnation: the incarnation that it sends to; 0 for none.
      newest_ended: the newest incarnation that it remembers as ended.
      newest_used: the newest incarnation that it ever sent to; no guard reads
        it.
      replaced: the newest incarnation that it found replaced.
      load: the incarnation whose load it uses; 0 for none.
      fault: the violation that occurred at this entry; "" for none.
    """

    revision: int = 0
    incarnation: int = NONE
    newest_ended: int = NONE
    newest_used: int = NONE
    replaced: int = NONE
    load: int = NONE
    fault: str = ""


class State(NamedTuple):
    """The whole system."""

    store: Store
    nodes: tuple[Node, ...]


class Guards(NamedTuple):
    """The guards of the protocol; a mutant lacks one."""

    ignores_older: bool = True
    remembers_newest: bool = True
    remembers_replaced: bool = True
    resets_load: bool = True
    load_names_incarnation: bool = True


Step = tuple[str, State]


class Model:
    """The actions under one set of guards."""

    def __init__(self, *, guards: Guards) -> None:
        """Initialises the model with its enabled guards."""
        self._guards = guards

    @staticmethod
    def initial() -> State:
        """Returns the state with one registration that no entry knows of."""
        return State(store=Store(), nodes=(Node(),) * NODES)

    def transitions(self, state: State) -> Iterator[Step]:
        """Yields every possible next step."""
        if state.store.revision < MAX_REVISIONS:
            yield from _store_changes(state)
        for number, node in enumerate(state.nodes):
            updated = self._apply(
                node, state.store.revision, state.store.incarnation
            )
            yield (
                f"{number} reads the store",
                _with_node(state, number, updated),
            )
            if node.incarnation and node.incarnation != state.store.running:
                yield (
                    f"{number} reaches another incarnation",
                    _with_node(state, number, self._found_replaced(node)),
                )
            if node.incarnation and node.load != node.incarnation:
                loaded = node._replace(load=node.incarnation)
                yield (
                    f"{number} learns the load from its requests",
                    _with_node(state, number, loaded),
                )
            for other, peer in enumerate(state.nodes):
                if other != number and peer.revision:
                    yield from self._receive_from(state, number, other)

    def _receive_from(
        self, state: State, number: int, other: int
    ) -> Iterator[Step]:
        node = state.nodes[number]
        peer = state.nodes[other]
        if peer.revision >= node.revision:
            updated = self._apply(node, peer.revision, peer.incarnation)
            yield f"{number} reads {other}", _with_node(state, number, updated)
        if peer.load and node.incarnation:
            load = node.load
            if (
                not self._guards.load_names_incarnation
                or peer.load == node.incarnation
            ):
                load = peer.load
            received = _with_load_fault(node._replace(load=load))
            yield (
                f"{number} receives {other}'s load",
                _with_node(state, number, received),
            )

    def _found_replaced(self, node: Node) -> Node:
        return node._replace(
            replaced=max(node.replaced, node.incarnation),
            newest_ended=max(node.newest_ended, node.incarnation),
            newest_used=max(node.newest_used, node.incarnation),
            incarnation=NONE,
            load=NONE,
        )

    def _apply(self, node: Node, revision: int, incarnation: int) -> Node:
        guards = self._guards
        fault = node.fault
        newest_used = max(node.newest_ended, node.incarnation)
        outdated = (
            (guards.ignores_older and incarnation < node.incarnation)
            or (guards.remembers_newest and incarnation < node.newest_ended)
            or (guards.remembers_replaced and incarnation <= node.replaced)
        )
        applied = node.incarnation if incarnation and outdated else incarnation
        newest_used = max(node.newest_used, node.incarnation)
        if applied and applied < newest_used:
            fault = "an earlier incarnation is in use again"
        if applied and applied <= node.replaced:
            fault = "a replaced incarnation is in use again"
        newest_ended = node.newest_ended
        if applied != node.incarnation:
            newest_ended = max(newest_ended, node.incarnation)
        load = node.load
        if guards.resets_load and applied != node.incarnation:
            load = NONE
        return _with_load_fault(
            Node(
                revision=revision,
                incarnation=applied,
                newest_ended=newest_ended,
                newest_used=max(newest_used, applied),
                replaced=node.replaced,
                load=load,
                fault=fault,
            )
        )


def _with_load_fault(node: Node) -> Node:
    if node.incarnation and node.load and node.load != node.incarnation:
        return node._replace(fault="the load is of another incarnation")
    return node


def _store_changes(state: State) -> Iterator[Step]:
    """Yields the changes of the store by the upstream and the platform."""
    store = state.store
    revision = store.revision + 1
    if store.running < MAX_INCARNATIONS:
        incarnation = store.running + 1
        started = store._replace(
            revision=revision, incarnation=incarnation, running=incarnation
        )
        yield "the upstream restarts", state._replace(store=started)
        delayed = started._replace(late=store.running)
        yield (
            "the upstream restarts, a write is delayed",
            state._replace(store=delayed),
        )
    if store.incarnation:
        lapsed = store._replace(revision=revision, incarnation=NONE)
        yield "the registration lapses", state._replace(store=lapsed)
    if store.late:
        stored = store._replace(
            revision=revision, incarnation=store.late, late=NONE
        )
        yield "the delayed write is applied", state._replace(store=stored)
    if store.incarnation != store.running:
        reregistered = store._replace(
            revision=revision, incarnation=store.running
        )
        yield "the upstream registers again", state._replace(store=reregistered)


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
        invariants={"no_earlier_incarnation_in_use": _without_fault},
    )


MODELS = checked_models(
    module="incarnations",
    build=with_guards(protocol, Guards()),
    correct=(("restarts under one id", None),),
    mutants=(
        ("ignores_older", None),
        ("remembers_newest", None),
        ("remembers_replaced", None),
        ("resets_load", None),
        ("load_names_incarnation", None),
    ),
)
