"""Specification of the order of words: configurations and leaving upstreams.

Entries learn from the store or from each other, in any order, and miss what
happens meanwhile. The operator writes newer configurations; an older one may
be stored late. An upstream registers, leaves, and is removed; a write from
before its leaving may be made late, also after its removal. A zone is
evacuated and taken back. Processes restart and forget; a restarted entry has a
new incarnation and owes nothing.

`spec/README.md` maps each action to the function of the core.
"""

from collections.abc import Iterator
from typing import NamedTuple

from minicheck import Protocol

from spec.checked_model import checked_models
from spec.checked_model import with_guards

NODES = 2
VERSIONS = 2
ORDERS = 2
# Changes of the store that are followed; enough for each kind of write once,
# one of them twice.
REVISIONS = 6
NONE, READY, LEAVING = "none", "ready", "leaving"


class Store(NamedTuple):
    """The platform's store.

    Attributes:
      revision: number of its last change.
      version: version of the stored configuration.
      newest: newest version that was ever stored.
      upstream: the registration of the one upstream.
      late: whether a write of `READY` from before the leaving is under way.
      orders: orders about the zone so far; after an odd number it is evacuated.
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
      revision: revision of the store that its picture is as of; 0 for none.
      version: version in force; 0 for none.
      upstream: what it believes of the upstream.
      left: whether it remembers that the upstream left.
      orders: orders about the zone that it knows of.
      fault: what went wrong in this incarnation.
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


class Word(NamedTuple):
    """What the store or an entry tells.

    Attributes:
      revision: revision of the store that it is as of.
      version: version of the configuration.
      upstream: the upstream's registration.
      orders: orders about the zone.
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
    refuses_behind: bool = True


Step = tuple[str, State]


class Model:
    """The actions under one set of guards."""

    def __init__(self, *, guards: Guards) -> None:
        """Takes the guards in place."""
        self._guards = guards

    @staticmethod
    def initial() -> State:
        """The upstream is registered; no entry knows anything."""
        return State(store=Store(), nodes=(Node(),) * NODES)

    def transitions(self, state: State) -> Iterator[Step]:
        """Yields everything that may happen next."""
        if state.store.revision < REVISIONS:
            yield from _writes(state)
        for number, node in enumerate(state.nodes):
            if node.revision:
                yield f"{number} restarts", _put(state, number, Node())
            yield f"{number} asks the store", self._ask_store(state, number)
            for other, peer in enumerate(state.nodes):
                if other == number or not peer.revision:
                    continue
                if self._guards.refuses_behind:
                    if peer.revision < node.revision:
                        continue
                label = f"{number} asks {other}"
                yield label, self._ask_peer(state, number, peer)

    def _ask_store(self, state: State, number: int) -> State:
        store = state.store
        word = Word(store.revision, store.version, store.upstream, store.orders)
        return _put(state, number, self._take(state.nodes[number], word))

    def _ask_peer(self, state: State, number: int, peer: Node) -> State:
        word = Word(peer.revision, peer.version, peer.upstream, peer.orders)
        return _put(state, number, self._take(state.nodes[number], word))

    def _take(self, node: Node, word: Word) -> Node:
        fault = node.fault
        version = word.version
        upstream = word.upstream
        if word.orders < node.orders:
            fault = "an order about the zone is undone"
        if version < node.version:
            if self._guards.newer_only:
                version = node.version
            else:
                fault = "an older configuration is in force again"
        left = node.left or node.upstream == LEAVING
        if upstream == READY and self._marked(node):
            upstream = LEAVING
        if upstream == READY and left:
            fault = "an upstream that left gets requests"
        return Node(
            revision=word.revision,
            version=version,
            upstream=upstream,
            orders=word.orders,
            left=left or upstream == LEAVING,
            fault=fault,
        )

    def _marked(self, node: Node) -> bool:
        if node.upstream == LEAVING:
            return self._guards.keeps_mark
        return node.left and self._guards.remembers_left


def _writes(state: State) -> Iterator[Step]:
    """Yields what the operator and the upstream may have stored."""
    store = state.store
    revision = store.revision + 1
    if store.newest < VERSIONS:
        newest = store.newest + 1
        stored = store._replace(
            revision=revision, version=newest, newest=newest
        )
        yield "a newer configuration", state._replace(store=stored)
    if store.version > 1:
        stored = store._replace(revision=revision, version=store.version - 1)
        yield "an older one is stored late", state._replace(store=stored)
    if store.orders < ORDERS:
        stored = store._replace(revision=revision, orders=store.orders + 1)
        yield "the zone is evacuated, or back", state._replace(store=stored)
    if store.upstream == READY:
        stored = store._replace(revision=revision, upstream=LEAVING)
        yield "the upstream leaves", state._replace(store=stored)
    if store.upstream == LEAVING:
        stored = store._replace(revision=revision, upstream=NONE)
        yield "it is removed", state._replace(store=stored)
    if store.late and store.upstream != READY:
        stored = store._replace(revision=revision, upstream=READY, late=False)
        yield "a late write of it", state._replace(store=stored)


def _put(state: State, number: int, node: Node) -> State:
    nodes = list(state.nodes)
    nodes[number] = node
    return state._replace(nodes=tuple(nodes))


def _without_fault(fields: dict) -> bool:
    return not any(node.fault for node in fields["nodes"])


def protocol(name: str, start: None, guards: Guards) -> Protocol:
    """Returns the protocol under a set of guards; it has one start."""
    del start
    model = Model(guards=guards)
    return Protocol(
        name=name,
        candidate=False,
        fields=State._fields,
        initial=model.initial(),
        transitions=model.transitions,
        invariants={"no_word_is_undone": _without_fault},
    )


MODELS = checked_models(
    module="words",
    build=with_guards(protocol, Guards()),
    right=(("words come in any order", None),),
    mutants=(
        ("newer_only", None),
        ("keeps_mark", None),
        ("remembers_left", None),
        ("refuses_behind", None),
    ),
)
