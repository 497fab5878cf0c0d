"""Models that the modules of the specification hand to the model checker."""

from collections.abc import Callable, Sequence
from typing import Any, NamedTuple

import minicheck


class CheckedModel(NamedTuple):
    """Holds a protocol and the result that the check must give.

    Attributes:
      name: name in reports.
      protocol: the protocol, ready for `minicheck.check_safety`.
      expect_holds: True for a correct protocol, False for a mutant that must
        yield a counterexample.
      guard: the guard that the mutant lacks; "" for a correct protocol.
    """

    name: str
    protocol: minicheck.Protocol
    expect_holds: bool
    guard: str = ""


def with_guards(
    protocol: Callable[[str, Any, Any], minicheck.Protocol], guards: Any
) -> Callable[[str, Any, str], minicheck.Protocol]:
    """Returns a function that builds a protocol, perhaps without one guard.

    Args:
      protocol: builds a protocol from a name, a start and its guards.
      guards: a named tuple of booleans with every guard enabled.
    """

    def build(name: str, start: Any, without: str) -> minicheck.Protocol:
        active = guards
        if without:
            active = guards._replace(**{without: False})
        return protocol(name, start, active)

    return build


def checked_models(
    *,
    module: str,
    build: Callable[[str, Any, str], minicheck.Protocol],
    correct: Sequence[tuple[str, Any]],
    mutants: Sequence[tuple[str, Any]],
) -> tuple[CheckedModel, ...]:
    """Returns the correct models of a module and its mutants.

    Args:
      module: name of the module, the prefix of each model's name.
      build: builds a protocol from a name, a start and the guard to leave out,
        "" for none.
      correct: the variant of each correct model, and its start.
      mutants: the guard that each mutant lacks, and its start state.
    """
    models = []
    for variant, start in correct:
        name = f"{module}: {variant}"
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
