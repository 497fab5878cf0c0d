"""Shared parts of the demonstrations: processes and printing."""

from collections.abc import Callable
import sys

from features.support.harness import Processes


def print_now(text: str) -> None:
    """Prints a line at once, so that a demonstration can be followed."""
    print(text, flush=True)


def run_demonstration(run: Callable[[Processes], None]) -> None:
    """Runs a demonstration and ends its processes afterwards."""
    processes = Processes()
    try:
        run(processes)
    except AssertionError as error:
        print_now(f"the demonstration failed: {error}")
        print_now(processes.log_tails())
        sys.exit(1)
    finally:
        processes.end()
