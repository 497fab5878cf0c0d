"""What each module of the specification offers to the model check."""

from typing import NamedTuple

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
