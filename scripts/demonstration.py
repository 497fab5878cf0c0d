"""What demonstrations share: processes that end with them, and their words."""

from collections.abc import Callable
import sys

from features.support.harness import Processes


def say(text: str) -> None:
    """Prints at once, so that a demonstration can be followed."""
    print(text, flush=True)


def show(run: Callable[[Processes], None]) -> None:
    """Runs a demonstration; its processes end with it."""
    processes = Processes()
    try:
        run(processes)
    except AssertionError as error:
        say(f"the demonstration failed: {error}")
        say(processes.log_tails())
        sys.exit(1)
    finally:
        processes.end()
