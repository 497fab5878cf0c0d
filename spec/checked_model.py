"""What each module of the specification offers to the model check."""

from collections.abc import Callable, Sequence
from typing import Any, NamedTuple

import minicheck


class CheckedModel(NamedTuple):
    """A protocol and what the check has to find out about it.

    Attributes:
      name: name in reports.
      protocol: the protocol, ready for `minicheck.check_safety`.
      expect_holds: True for a right protocol, False for a mutant that must
        yield a counterexample.
      guard: which guard was removed from the mutant; "" for the right one.
    """

    name: str
    protocol: minicheck.Protocol
    expect_holds: bool
    guard: str = ""


def with_guards(
    protocol: Callable[[str, Any, Any], minicheck.Protocol], guards: Any
) -> Callable[[str, Any, str], minicheck.Protocol]:
    """Returns what makes a protocol with all of its guards but one.

    Args:
      protocol: makes a protocol from a name, a start and its guards.
      guards: every guard in place, as a named tuple of truths.
    """

    def build(name: str, start: Any, without: str) -> minicheck.Protocol:
        kept = guards
        if without:
            kept = guards._replace(**{without: False})
        return protocol(name, start, kept)

    return build


def checked_models(
    *,
    module: str,
    build: Callable[[str, Any, str], minicheck.Protocol],
    right: Sequence[tuple[str, Any]],
    mutants: Sequence[tuple[str, Any]],
) -> tuple[CheckedModel, ...]:
    """Returns the right models of a module and its mutants.

    Args:
      module: name of the module, first in the name of each model.
      build: makes a protocol from a name, a start and the guard to leave out,
        "" for none.
      right: what distinguishes each right model, and its start.
      mutants: the guard that each mutant lacks, and its start.
    """
    models = []
    for what, start in right:
        name = f"{module}: {what}"
        models.append(
            CheckedModel(name, build(name, start, ""), expect_holds=True)
        )
    for guard, start in mutants:
        name = f"{module} without: {guard}"
        mutant = build(name, start, guard)
        models.append(
            CheckedModel(name, mutant, expect_holds=False, guard=guard)
        )
    return tuple(models)
