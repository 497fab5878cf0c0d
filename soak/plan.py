"""Plans of faults, made from a seed."""

from collections.abc import Sequence
import enum
import random
from typing import NamedTuple

from emulator import foreign_values
from emulator.endless import FORMS

# No fault begins while the processes start, nor in the last seconds, so that
# most faults have ended when the recovery is checked.
START_SETTLE_S = 3.0
FINAL_CALM_S = 8.0


class FaultKind(enum.StrEnum):
    """Names the kinds of faults."""

    STORE = "store"
    STORE_PROXY = "store_proxy"
    UPSTREAM_PROXY = "upstream_proxy"
    UPSTREAM_FAULT = "upstream_fault"
    UPSTREAM_KILL = "upstream_kill"
    UPSTREAM_DRAIN = "upstream_drain"
    UPSTREAM_FREEZE = "upstream_freeze"
    GATEWAY_KILL = "gateway_kill"
    GATEWAY_STOP = "gateway_stop"
    GATEWAY_FREEZE = "gateway_freeze"
    GATEWAY_HANGUP = "gateway_hangup"
    KILL_ALL = "kill_all"
    CONFIGURE = "configure"
    EVACUATE = "evacuate"
    HISTORY = "history"
    UPSTREAM_RESTART = "upstream_restart"
    FOREIGN_WRITER = "foreign_writer"
    UPSTREAM_LIMIT = "upstream_limit"
    LINKS = "links"
    UPSTREAM_REST = "upstream_rest"
    UPSTREAM_LEAVES = "upstream_leaves"
    STORE_RESTORE = "store_restore"
    UPSTREAM_ENDLESS = "upstream_endless"


# Kinds that the kept seeds were found with; drawing from more kinds would give
# a seed another plan.
FIRST_KINDS = tuple(FaultKind)[
    : tuple(FaultKind).index(FaultKind.UPSTREAM_RESTART)
]
# All kinds that are drawn together. Limits are drawn by themselves, so that a
# seed has the same plan of the others with and without them.
DRAWN_KINDS = tuple(FaultKind)[
    : tuple(FaultKind).index(FaultKind.UPSTREAM_LIMIT)
]


# Kinds that come in series, one begun before the other has ended.
SERIES_KINDS = (
    FaultKind.GATEWAY_STOP,
    FaultKind.GATEWAY_HANGUP,
    FaultKind.CONFIGURE,
    FaultKind.UPSTREAM_DRAIN,
    FaultKind.UPSTREAM_RESTART,
    FaultKind.GATEWAY_KILL,
)


class Step(NamedTuple):
    """Describes one fault.

    Attributes:
      at_s: when it begins, in seconds from the start.
      kind: its kind.
      target: number that selects the process, modulo the number of them.
      duration_s: how long it lasts, in seconds.
      variant: variant of the kind, empty if it has none.
    """

    at_s: float
    kind: FaultKind
    target: int
    duration_s: float
    variant: str


STORE_MODES = ("busy", "limited", "reset", "silent", "slow", "lost", "late")
PROXY_FAULTS = ("delay", "reset", "silence", "one_way")
LINK_FAULTS = ("hang", "reset", "refuse", "silence", "one_way")
# Spans in which the links of a zone's gateways fail, in seconds.
MIN_CUT_S = 1.0
MAX_CUT_S = 6.0
UPSTREAM_FAULTS = (
    "extra",
    "late_extra",
    "cut",
    "unframed",
    "lost",
    "shed",
    "fail",
    "trailing",
    "slow",
)
# Limits that upstreams state, in requests per second; the last two are invalid.
LIMITS = ("0", "0.5", "2.7", "6", "nan", "-3")
# A limit is checked from some seconds after its begin on, so it lasts longer
# than other faults.
MIN_LIMIT_S = 6.0
# Invalid registrations by another writer: under the key of an upstream for
# `own_key`, else under a key of the writer's own.
FOREIGN_RECORDS = ("own_key", "no_text", "no_slots", "no_address", "no_state")
# How often the store is restored from one copy.
RESTORES = ("once", "twice")
# Age of that copy when the store goes away, in seconds.
MIN_COPY_AGE_S = 1.0
MAX_COPY_AGE_S = 5.0
# Values of the rests that upstreams ask for, in seconds; the last is invalid.
RESTS = ("0.5", "1", "3", "soon")
_VARIANTS = {
    FaultKind.STORE: STORE_MODES,
    FaultKind.STORE_PROXY: PROXY_FAULTS,
    FaultKind.UPSTREAM_PROXY: PROXY_FAULTS,
    FaultKind.UPSTREAM_FAULT: UPSTREAM_FAULTS,
    FaultKind.FOREIGN_WRITER: FOREIGN_RECORDS,
}


def make_plan(
    seed: int,
    *,
    seconds: float,
    count: int = 0,
    kinds: Sequence[FaultKind] = DRAWN_KINDS,
) -> list[Step]:
    """Returns the steps of a seed in order of time; they may overlap.

    Args:
      seed: the seed.
      seconds: length of the run.
      count: number of steps; 0 for one per 1.5 s.
      kinds: the kinds to draw from.
    """
    rng = random.Random(seed)
    span_s = max(1.0, seconds - START_SETTLE_S - FINAL_CALM_S)
    steps = []
    for _ in range(count or max(2, int(span_s / 1.5))):
        kind = rng.choice(kinds)
        steps.append(
            Step(
                at_s=START_SETTLE_S + rng.random() * span_s,
                kind=kind,
                target=rng.randrange(1000),
                duration_s=rng.uniform(0.3, 4.0),
                variant=rng.choice(_VARIANTS.get(kind, ("",))),
            )
        )
    return sorted(steps, key=lambda step: step.at_s)


def make_limits(seed: int, *, seconds: float) -> list[Step]:
    """Returns the steps of a seed in which upstreams state limits.

    Args:
      seed: the seed.
      seconds: length of the run.
    """
    rng = random.Random(f"limits of {seed}")
    span_s = max(1.0, seconds - START_SETTLE_S - FINAL_CALM_S)
    steps = []
    for _ in range(max(1, int(span_s / 6))):
        at_s = START_SETTLE_S + rng.random() * span_s / 2
        left_s = START_SETTLE_S + span_s - at_s
        steps.append(
            Step(
                at_s=at_s,
                kind=FaultKind.UPSTREAM_LIMIT,
                target=rng.randrange(1000),
                duration_s=max(MIN_LIMIT_S, rng.uniform(0.5, 1.0) * left_s),
                variant=rng.choice(LIMITS),
            )
        )
    return sorted(steps)


def make_cuts(seed: int, *, seconds: float) -> list[Step]:
    """Returns the steps of a seed in which zones lose their upstreams.

    Args:
      seed: the seed.
      seconds: length of the run.
    """
    rng = random.Random(f"cuts of {seed}")
    span_s = max(1.0, seconds - START_SETTLE_S - FINAL_CALM_S)
    steps = []
    for _ in range(max(1, int(span_s / 4))):
        at_s = START_SETTLE_S + rng.random() * span_s
        left_s = START_SETTLE_S + span_s - at_s
        steps.append(
            Step(
                at_s=at_s,
                kind=FaultKind.LINKS,
                target=rng.randrange(1000),
                duration_s=min(left_s, rng.uniform(MIN_CUT_S, MAX_CUT_S)),
                variant=rng.choice(LINK_FAULTS),
            )
        )
    return sorted(steps)


def make_statements(seed: int, *, seconds: float) -> list[Step]:
    """Returns the steps of a seed in which upstreams leave or want rest.

    Args:
      seed: the seed.
      seconds: length of the run.
    """
    rng = random.Random(f"statements of {seed}")
    span_s = max(1.0, seconds - START_SETTLE_S - FINAL_CALM_S)
    steps = []
    for _ in range(max(2, int(span_s / 3))):
        kind = rng.choice((FaultKind.UPSTREAM_REST, FaultKind.UPSTREAM_LEAVES))
        is_rest = kind is FaultKind.UPSTREAM_REST
        at_s = START_SETTLE_S + rng.random() * span_s
        steps.append(
            Step(
                at_s=at_s,
                kind=kind,
                target=rng.randrange(1000),
                duration_s=rng.uniform(1.0, 5.0),
                variant=rng.choice(RESTS) if is_rest else "",
            )
        )
    return sorted(steps)


def make_restores(seed: int, *, seconds: float) -> list[Step]:
    """Returns the steps of a seed in which the store is restored from a copy.

    Their duration is the age of the copy when the store goes away.

    Args:
      seed: the seed.
      seconds: length of the run.
    """
    rng = random.Random(f"restores of {seed}")
    span_s = max(1.0, seconds - START_SETTLE_S - FINAL_CALM_S)
    steps = []
    for _ in range(max(1, int(span_s / 10))):
        age_s = rng.uniform(MIN_COPY_AGE_S, MAX_COPY_AGE_S)
        steps.append(
            Step(
                at_s=START_SETTLE_S + rng.random() * max(1.0, span_s - age_s),
                kind=FaultKind.STORE_RESTORE,
                target=rng.randrange(1000),
                duration_s=age_s,
                variant=rng.choice(RESTORES),
            )
        )
    return sorted(steps)


def make_foreign(seed: int, *, seconds: float) -> list[Step]:
    """Returns the steps of a seed in which another writer stores anything.

    Args:
      seed: the seed.
      seconds: length of the run.
    """
    rng = random.Random(f"values of another writer of {seed}")
    span_s = max(1.0, seconds - START_SETTLE_S - FINAL_CALM_S)
    steps = []
    for _ in range(max(4, int(span_s))):
        steps.append(
            Step(
                at_s=START_SETTLE_S + rng.random() * span_s,
                kind=FaultKind.FOREIGN_WRITER,
                target=rng.randrange(1000),
                duration_s=rng.uniform(0.3, 6.0),
                variant=rng.choice(foreign_values.FORMS),
            )
        )
    return sorted(steps)


def make_restarts(seed: int, *, seconds: float) -> list[Step]:
    """Returns series of stops, restarts, signals and changes that overlap.

    Args:
      seed: the seed.
      seconds: length of the run.
    """
    rng = random.Random(f"series of restarts of {seed}")
    span_s = max(1.0, seconds - START_SETTLE_S - FINAL_CALM_S)
    steps = []
    for _ in range(max(1, int(span_s / 6))):
        begin_s = START_SETTLE_S + rng.random() * span_s
        for _ in range(rng.randrange(3, 7)):
            begin_s = min(
                begin_s + rng.uniform(0.0, 0.8), START_SETTLE_S + span_s
            )
            steps.append(
                Step(
                    at_s=begin_s,
                    kind=rng.choice(SERIES_KINDS),
                    target=rng.randrange(1000),
                    duration_s=rng.uniform(0.3, 2.0),
                    variant="",
                )
            )
    return sorted(steps)


def make_endless(seed: int, *, seconds: float) -> list[Step]:
    """Returns the steps of a seed in which upstreams send bytes without end.

    Args:
      seed: the seed.
      seconds: length of the run.
    """
    rng = random.Random(f"bytes without end of {seed}")
    span_s = max(1.0, seconds - START_SETTLE_S - FINAL_CALM_S)
    steps = []
    for _ in range(max(2, int(span_s / 4))):
        steps.append(
            Step(
                at_s=START_SETTLE_S + rng.random() * span_s,
                kind=FaultKind.UPSTREAM_ENDLESS,
                target=rng.randrange(1000),
                duration_s=rng.uniform(0.5, 4.0),
                variant=rng.choice(FORMS),
            )
        )
    return sorted(steps)
