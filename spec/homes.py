"""Specification of how the home role of an upstream moves between entries.

The upstream has a single slot. Up to three entries of one region come and go.
Later rows of a table rank higher, so each join and each loss moves the home. At
any moment the environment may:

* keep an entry inactive for any time (frozen, or disconnected from the
  platform, in which case it goes on with the table that it last applied);
* delay, reorder, duplicate or lose any report (reports stay in the network for
  ever, and no entry has to receive one);
* terminate a process, whose request goes on at the upstream until its deadline;
* restart it under a new incarnation;
* change the entry table: join, replace an incarnation, mark leaving, remove.

`spec/README.md` maps each action to the function of the core.
"""

from collections.abc import Iterator
from typing import NamedTuple

from minicheck import Protocol

from spec.checked_model import checked_models
from spec.checked_model import with_guards

SLOTS = 1
LONGEST_DEADLINE = 2


class Row(NamedTuple):
    """One entry of a table."""

    incarnation: int
    leaving: bool = False


class Table(NamedTuple):
    """The entry table of one epoch; None for entries that are not in it."""

    rows: tuple[Row | None, ...]
    lost_epoch: int


class Source(NamedTuple):
    """A process by its entry and incarnation."""

    entry: int
    incarnation: int


NO_SOURCE = Source(-1, 0)


class Node(NamedTuple):
    """One process.

    Attributes:
      alive: whether the process runs.
      incarnation: number of its start.
      epoch: epoch of the table that it last applied.
      held_epoch: last epoch in which it was home, 0 for never.
      held_back: time until work of other processes has certainly ended.
      source: process whose work `held_back` covers; `NO_SOURCE` if that
        process was lost.
      running: time left to the deadline of its request, 0 for none.
    """

    alive: bool = True
    incarnation: int = 0
    epoch: int = 0
    held_epoch: int = 0
    held_back: int = 0
    source: Source = NO_SOURCE
    running: int = 0


class Report(NamedTuple):
    """A report in the network."""

    sender: int
    incarnation: int
    epoch: int
    held_epoch: int
    busy_left: int


class State(NamedTuple):
    """The whole system.

    Attributes:
      tables: the table of each epoch so far.
      nodes: the processes.
      network: every report that may still be used.
      orphans: time left of each request whose process has died.
      deaths: number of processes that may still die.
      changes: number of table changes that may still happen.
    """

    tables: tuple[Table, ...]
    nodes: tuple[Node, ...]
    network: frozenset[Report]
    orphans: tuple[int, ...]
    deaths: int
    changes: int


class Guards(NamedTuple):
    """The guards of the protocol; a mutant lacks one."""

    waits_for_holder: bool = True
    holds_slots_of_lost: bool = True
    exact_epoch: bool = True
    checks_incarnation: bool = True
    reports_busy: bool = True
    frees_only_source: bool = True


Step = tuple[str, State]


def home_of(table: Table) -> int | None:
    """Returns the home under a table, None if there is none."""
    home = None
    for number, row in enumerate(table.rows):
        if row is not None and not row.leaving:
            home = number
    return home


def is_member(state: State, number: int, guards: Guards) -> bool:
    """Returns whether the table that a process applied has its incarnation."""
    node = state.nodes[number]
    row = state.tables[node.epoch].rows[number]
    if not node.alive or row is None:
        return False
    return row.incarnation == node.incarnation or not guards.checks_incarnation


def is_holder(state: State, number: int, guards: Guards) -> bool:
    """Returns whether a process acts as the home."""
    node = state.nodes[number]
    if not is_member(state, number, guards) or node.epoch == 0:
        return False
    if home_of(state.tables[node.epoch]) != number:
        return False
    return node.held_epoch == node.epoch


def with_node(state: State, number: int, node: Node) -> State:
    """Returns the state with one process changed."""
    nodes = list(state.nodes)
    nodes[number] = node
    return state._replace(nodes=tuple(nodes))


def without_stale_reports(state: State) -> State:
    """Removes the reports that can never be used again.

    Only the home of a report's epoch uses it, until that process applies a
    later table or dies. Removing the others keeps the number of states down.
    """
    kept = set()
    for report in state.network:
        table = state.tables[report.epoch]
        home = home_of(table)
        if home is None:
            continue
        row = table.rows[home]
        node = state.nodes[home]
        if row is None or row.incarnation != node.incarnation:
            continue
        if node.alive and node.epoch <= report.epoch:
            kept.add(report)
    return state._replace(network=frozenset(kept))


def tick(state: State) -> Iterator[Step]:
    """Time passes for every process, frozen or not."""
    nodes = []
    for node in state.nodes:
        held_back = max(0, node.held_back - 1)
        source = node.source if held_back else NO_SOURCE
        nodes.append(
            node._replace(
                held_back=held_back,
                source=source,
                running=max(0, node.running - 1),
            )
        )
    orphans = []
    for left in state.orphans:
        if left > 1:
            orphans.append(left - 1)
    yield (
        "tick",
        state._replace(nodes=tuple(nodes), orphans=tuple(orphans)),
    )


def apply_table(state: State, number: int) -> Iterator[Step]:
    """`Homes.update_table`: applies any newer table, perhaps skipping some."""
    node = state.nodes[number]
    if not node.alive:
        return
    for epoch in range(node.epoch + 1, len(state.tables)):
        held_epoch = node.held_epoch
        kept = held_epoch == node.epoch and held_epoch > 0
        if kept and home_of(state.tables[epoch]) == number:
            held_epoch = epoch
        changed = node._replace(epoch=epoch, held_epoch=held_epoch)
        yield f"apply {number} {epoch}", with_node(state, number, changed)


def send_report(state: State, number: int, guards: Guards) -> Iterator[Step]:
    """`Homes.report_to`: the last home epoch and the work still running."""
    node = state.nodes[number]
    if not is_member(state, number, guards) or node.epoch == 0:
        return
    if home_of(state.tables[node.epoch]) in (number, None):
        return
    busy_left = max(node.running, node.held_back)
    if not guards.reports_busy:
        busy_left = 0
    report = Report(
        number, node.incarnation, node.epoch, node.held_epoch, busy_left
    )
    if report not in state.network:
        network = state.network | {report}
        yield f"report {number}", state._replace(network=network)


def usable_reports(
    state: State, number: int, sender: int, guards: Guards
) -> list[Report]:
    """`Homes.record_report`: reports that a process accepts under its epoch."""
    epoch = state.nodes[number].epoch
    row = state.tables[epoch].rows[sender]
    reports = []
    for report in state.network:
        if report.sender != sender or row is None:
            continue
        if guards.checks_incarnation and report.incarnation != row.incarnation:
            continue
        if guards.exact_epoch and report.epoch != epoch:
            continue
        reports.append(report)
    return reports


def take_over(state: State, number: int, guards: Guards) -> Iterator[Step]:
    """`Homes._take_over`: starts once the last home is accounted for."""
    node = state.nodes[number]
    if not is_member(state, number, guards) or node.epoch == 0:
        return
    table = state.tables[node.epoch]
    if home_of(table) != number or node.held_epoch == node.epoch:
        return
    for held_back, source in held_back_choices(state, number, guards):
        changed = node._replace(
            held_epoch=node.epoch,
            held_back=held_back,
            source=source if held_back else NO_SOURCE,
        )
        yield f"take over {number}", with_node(state, number, changed)


def release_ended(state: State, number: int, guards: Guards) -> Iterator[Step]:
    """`Homes._free_finished_work`: the former home reports less work."""
    node = state.nodes[number]
    if not is_holder(state, number, guards) or node.source == NO_SOURCE:
        return
    for report in usable_reports(state, number, node.source.entry, guards):
        same = report.incarnation == node.source.incarnation
        if guards.frees_only_source and not same:
            continue
        if report.busy_left < node.held_back:
            source = node.source if report.busy_left else NO_SOURCE
            changed = node._replace(held_back=report.busy_left, source=source)
            yield f"free {number}", with_node(state, number, changed)


def held_back_choices(
    state: State, number: int, guards: Guards
) -> Iterator[tuple[int, Source]]:
    """Yields the time to wait, for each way to identify the last home.

    Each comes with the process whose later reports may shorten the time.
    """
    if not guards.waits_for_holder:
        yield 0, NO_SOURCE
        return
    node = state.nodes[number]
    table = state.tables[node.epoch]
    choices: list[list[Report]] = []
    all_reported = True
    for sender, row in enumerate(table.rows):
        if row is None or sender == number:
            continue
        reports = usable_reports(state, number, sender, guards)
        choices.append(reports)
        all_reported = all_reported and bool(reports)
        for report in reports:
            if report.held_epoch == node.epoch - 1 and report.held_epoch > 0:
                yield report.busy_left, Source(sender, report.incarnation)
    if not all_reported:
        return
    own = Report(number, 0, 0, node.held_epoch, node.held_back)
    for best in best_choices(choices, own):
        known = best.held_epoch >= table.lost_epoch
        if known or not guards.holds_slots_of_lost:
            yield best.busy_left, Source(best.sender, best.incarnation)
        elif guards.frees_only_source:
            yield LONGEST_DEADLINE, NO_SOURCE
        else:
            yield LONGEST_DEADLINE, Source(best.sender, best.incarnation)


def best_choices(choices: list[list[Report]], own: Report) -> set[Report]:
    """Returns each report that may have the latest home epoch.

    One report of each list is received, besides the process's own.
    """
    best = {own}
    for reports in choices:
        after = set()
        for known in best:
            for report in reports:
                after.add(max(known, report, key=lambda r: r.held_epoch))
        best = after
    return best


def dispatch(state: State, number: int, guards: Guards) -> Iterator[Step]:
    """`SlotTable.acquire_at`: a request with the longest deadline."""
    node = state.nodes[number]
    if not is_holder(state, number, guards):
        return
    if node.running or node.held_back:
        return
    changed = node._replace(running=LONGEST_DEADLINE)
    yield f"dispatch {number}", with_node(state, number, changed)


def finish(state: State, number: int) -> Iterator[Step]:
    """`SlotTable.release`: the response comes before the deadline."""
    node = state.nodes[number]
    if node.alive and node.running:
        changed = node._replace(running=0)
        yield f"finish {number}", with_node(state, number, changed)


def die(state: State, number: int) -> Iterator[Step]:
    """The process terminates; its request goes on at the upstream."""
    node = state.nodes[number]
    if not node.alive or state.deaths == 0:
        return
    orphans = list(state.orphans)
    if node.running:
        orphans.append(node.running)
    dead = Node(alive=False, incarnation=node.incarnation)
    changed = with_node(state, number, dead)
    yield (
        f"die {number}",
        changed._replace(
            orphans=tuple(sorted(orphans)), deaths=state.deaths - 1
        ),
    )


def restart(state: State, number: int) -> Iterator[Step]:
    """The process restarts with no memory of its former state."""
    node = state.nodes[number]
    if not node.alive:
        fresh = Node(incarnation=node.incarnation + 1)
        yield f"restart {number}", with_node(state, number, fresh)


def change_table(state: State, number: int) -> Iterator[Step]:
    """Any entry changes the table by compare-and-swap."""
    epoch = len(state.tables)
    if state.changes == 0:
        return
    table = state.tables[-1]
    row = table.rows[number]
    node = state.nodes[number]
    lost_epoch = table.lost_epoch
    if row is None and node.alive:
        yield _new_table(
            state, f"join {number}", number, Row(node.incarnation), lost_epoch
        )
    if row is None:
        return
    if node.alive and row.incarnation != node.incarnation:
        yield _new_table(
            state, f"replace {number}", number, Row(node.incarnation), epoch
        )
    if not node.alive:
        yield _new_table(state, f"lose {number}", number, None, epoch)
    if node.alive and not row.leaving:
        leaving = row._replace(leaving=True)
        yield _new_table(state, f"leave {number}", number, leaving, lost_epoch)
    if row.leaving and _is_idle(state, number):
        yield _new_table(state, f"drop {number}", number, None, lost_epoch)


def _is_idle(state: State, number: int) -> bool:
    """`Homes.has_released_all`: a leaving entry has no work to hand over."""
    node = state.nodes[number]
    row = state.tables[node.epoch].rows[number]
    if row is None or not row.leaving or not node.alive:
        return False
    if row.incarnation != node.incarnation:
        return False
    return node.running == 0 and node.held_back == 0


def _new_table(
    state: State, label: str, number: int, row: Row | None, lost_epoch: int
) -> Step:
    rows = list(state.tables[-1].rows)
    rows[number] = row
    table = Table(tuple(rows), lost_epoch)
    return label, state._replace(
        tables=state.tables + (table,), changes=state.changes - 1
    )


def transitions(state: State, guards: Guards) -> Iterator[Step]:
    """Yields every action of every process and of the environment."""
    yield from tick(state)
    for number in range(len(state.nodes)):
        yield from apply_table(state, number)
        yield from send_report(state, number, guards)
        yield from take_over(state, number, guards)
        yield from release_ended(state, number, guards)
        yield from dispatch(state, number, guards)
        yield from finish(state, number)
        yield from die(state, number)
        yield from restart(state, number)
        yield from change_table(state, number)


def in_flight(state: State) -> int:
    """Returns the number of requests that the upstream runs."""
    count = len(state.orphans)
    for node in state.nodes:
        if node.alive and node.running:
            count += 1
    return count


def unstarted_pair(*, deaths: int, changes: int) -> State:
    """Returns two entries before the first table, for starts and restarts."""
    tables = (Table((None, None), 0),)
    nodes = (Node(), Node())
    return State(tables, nodes, frozenset(), (), deaths, changes)


def running_pair(*, deaths: int, changes: int) -> State:
    """Returns two entries, of which the second is home; a third may join."""
    rows = (Row(0), Row(0), None)
    tables = (Table((None,) * 3, 0), Table(rows, 0))
    home = Node(epoch=1, held_epoch=1)
    nodes = (Node(epoch=1), home, Node())
    return State(tables, nodes, frozenset(), (), deaths, changes)


def protocol(name: str, start: State, guards: Guards) -> Protocol:
    """Returns the protocol for the model checker."""
    prunes = guards.exact_epoch and guards.checks_incarnation

    def steps(state: State) -> list[Step]:
        found = []
        for label, after in transitions(state, guards):
            if prunes:
                after = without_stale_reports(after)  # noqa: PLW2901
            found.append((label, after))
        return found

    def within_slots(fields: dict) -> bool:
        return in_flight(State(**fields)) <= SLOTS

    return Protocol(
        name=name,
        candidate=False,
        fields=State._fields,
        initial=start,
        transitions=steps,
        invariants={"in_flight_within_slots": within_slots},
    )


START = unstarted_pair(deaths=1, changes=4)
SMALL_START = unstarted_pair(deaths=1, changes=2)
PAIR = running_pair(deaths=1, changes=2)
SHORT_START = unstarted_pair(deaths=1, changes=3)
PAIR_WITHOUT_DEATHS = running_pair(deaths=0, changes=2)

MUTANTS = (
    ("waits_for_holder", SMALL_START),
    ("holds_slots_of_lost", SMALL_START),
    ("exact_epoch", PAIR_WITHOUT_DEATHS),
    ("checks_incarnation", SMALL_START),
    ("reports_busy", SMALL_START),
    ("frees_only_source", SHORT_START),
)


MODELS = checked_models(
    module="homes",
    build=with_guards(protocol, Guards()),
    correct=(
        ("two entries from the first table on", START),
        ("a running pair and a third entry", PAIR),
    ),
    mutants=MUTANTS,
)
