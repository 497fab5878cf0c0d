"""Checks the models of the specification: `python -m spec.check [NAME ...]`.

The invariants of each protocol must hold in every reachable state, and each
mutant, which lacks one guard, must yield a counterexample. Prints the number of
states and the result for each model; exits with 1 if any result is unexpected.
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
    "retries",
    "relays",
    "statements",
    "update_order",
    "incarnations",
)
MAX_STATES = 1_000_000


class Finding(NamedTuple):
    """Holds the result of checking one model.

    Attributes:
      states: number of states reached.
      exhaustive: whether these are all reachable states.
      violations: violated invariants, each with the step labels of the
        shortest path to the violation.
      seconds: duration of the check.
    """

    states: int
    exhaustive: bool
    violations: dict[str, list[str]]
    seconds: float


def check(model: CheckedModel) -> Finding:
    """Explores the states of one model."""
    started_s = time.monotonic()
    result = minicheck.check_safety(model.protocol, max_states=MAX_STATES)
    violations = {}
    for invariant, verdict in result["properties"].items():
        if verdict["holds"] is not False:
            continue
        labels = []
        for step in verdict["counterexample"][1:]:
            labels.append(step["label"])
        violations[invariant] = labels
    seconds = time.monotonic() - started_s
    return Finding(
        result["reachable_states"], result["exhaustive"], violations, seconds
    )


def is_as_expected(model: CheckedModel, finding: Finding) -> bool:
    """Returns whether a finding is the one expected of the model."""
    if model.expect_holds:
        return finding.exhaustive and not finding.violations
    return bool(finding.violations)


def describe(model: CheckedModel, finding: Finding) -> str:
    """Returns the report of one model, with a line for each violation."""
    result = "holds in all of them"
    if not finding.exhaustive:
        result = "NOT all states explored"
    if finding.violations:
        result = "counterexample"
    status = "ok" if is_as_expected(model, finding) else "SURPRISE"
    lines = [
        f"{status:9}{model.name}: {finding.states} states, {result}"
        f" ({finding.seconds:.1f} s)"
    ]
    for invariant, labels in finding.violations.items():
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
