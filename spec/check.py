"""Checks every model of the specification: `python -m spec.check [NAME ...]`.

Each protocol must hold in every state that can be reached, and each mutant,
which lacks one guard, must yield a counterexample. Prints the number of states
and the result of each; exits with 1 on any surprise.
"""

from importlib import import_module
import sys
import time
from typing import NamedTuple

import minicheck

from spec.checked_model import CheckedModel

MODULES = (
    "loans",
    "homes",
    "reserve",
    "claims",
    "shares",
    "words",
    "incarnations",
)
MOST_STATES = 1_000_000


class Finding(NamedTuple):
    """What the checker found out about one model.

    Attributes:
      states: how many states it reached.
      exhaustive: whether these are all.
      broken: for each broken invariant the labels of the shortest way there.
      seconds: how long it took.
    """

    states: int
    exhaustive: bool
    broken: dict[str, list[str]]
    seconds: float


def check(model: CheckedModel) -> Finding:
    """Explores one model."""
    started_s = time.monotonic()
    result = minicheck.check_safety(model.protocol, max_states=MOST_STATES)
    broken = {}
    for invariant, verdict in result["properties"].items():
        if verdict["holds"] is not False:
            continue
        labels = []
        for step in verdict["counterexample"][1:]:
            labels.append(step["label"])
        broken[invariant] = labels
    seconds = time.monotonic() - started_s
    return Finding(
        result["reachable_states"], result["exhaustive"], broken, seconds
    )


def is_as_expected(model: CheckedModel, finding: Finding) -> bool:
    """Says whether a finding is the one that the model must give."""
    if model.expect_holds:
        return finding.exhaustive and not finding.broken
    return bool(finding.broken)


def describe(model: CheckedModel, finding: Finding) -> str:
    """Returns the lines that report one model."""
    result = "holds in all of them"
    if not finding.exhaustive:
        result = "NOT all states explored"
    if finding.broken:
        result = "counterexample"
    word = "ok" if is_as_expected(model, finding) else "SURPRISE"
    lines = [
        f"{word:9}{model.name}: {finding.states} states, {result}"
        f" ({finding.seconds:.1f} s)"
    ]
    for invariant, labels in finding.broken.items():
        lines.append(f"{'':11}{invariant}: {'; '.join(labels)}")
    return "\n".join(lines)


def main(names: list[str]) -> int:
    """Checks the named modules, or all of them, and returns the exit code."""
    surprises = 0
    models = 0
    states = 0
    started_s = time.monotonic()
    for name in names or MODULES:
        module = import_module(f"spec.{name}")
        for model in module.MODELS:
            finding = check(model)
            print(describe(model, finding), flush=True)
            models += 1
            states += finding.states
            if not is_as_expected(model, finding):
                surprises += 1
    seconds = time.monotonic() - started_s
    print(
        f"model check: {models} models, {states} states, "
        f"{surprises} surprises, {seconds:.1f} s"
    )
    return 1 if surprises else 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
