"""What a seed does and when."""

from collections.abc import Sequence
import enum
import random
from typing import NamedTuple

# Faults begin after the start has settled and end before the last calm span.
START_SETTLE_S = 3.0
FINAL_CALM_S = 8.0


class Kind(enum.StrEnum):
    """Kinds of faults."""

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


# The kinds that the kept seeds were found with; with more of them a seed would
# play another plan.
FIRST_KINDS = tuple(Kind)[: tuple(Kind).index(Kind.UPSTREAM_RESTART)]


class Step(NamedTuple):
    """One fault.

    Attributes:
      at_s: when, in seconds from the start.
      kind: what.
      target: index of the process that it strikes.
      for_s: how long it lasts, in seconds.
      how: variant.
    """

    at_s: float
    kind: Kind
    target: int
    duration_s: float
    variant: str


STORE_MODES = ("busy", "limited", "reset", "silent", "slow", "lost", "late")
HARMS = ("delay", "reset", "silence", "one_way")
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
# What another writer leaves among the registrations: under an upstream's own
# key, or under one of its own.
FOREIGN_RECORDS = ("own_key", "no_text", "no_slots", "no_address", "no_state")
_VARIANTS = {
    Kind.STORE: STORE_MODES,
    Kind.STORE_PROXY: HARMS,
    Kind.UPSTREAM_PROXY: HARMS,
    Kind.UPSTREAM_FAULT: UPSTREAM_FAULTS,
    Kind.FOREIGN_WRITER: FOREIGN_RECORDS,
}


def make(
    seed: int,
    *,
    seconds: float,
    count: int = 0,
    kinds: Sequence[Kind] = tuple(Kind),
) -> list[Step]:
    """Returns the steps of a seed; they overlap and come in series.

    Args:
      seed: the seed.
      seconds: length of the run.
      count: how many steps; by default one for each 1.5 s.
      kinds: the kinds to draw from.
    """
    chance = random.Random(seed)
    span_s = max(1.0, seconds - START_SETTLE_S - FINAL_CALM_S)
    steps = []
    for _ in range(count or max(2, int(span_s / 1.5))):
        kind = chance.choice(kinds)
        steps.append(
            Step(
                at_s=START_SETTLE_S + chance.random() * span_s,
                kind=kind,
                target=chance.randrange(1000),
                duration_s=chance.uniform(0.3, 4.0),
                variant=chance.choice(_VARIANTS.get(kind, ("",))),
            )
        )
    return sorted(steps, key=lambda step: step.at_s)
