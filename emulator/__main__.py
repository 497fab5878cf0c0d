"""The emulator's command line: `python -m emulator --help`."""

import importlib
from pathlib import Path
from typing import Any

import fire

from emulator import store
from emulator import upstream_process

ROOT = Path(__file__).resolve().parents[1]


class Commands:
    """Emulates the users' platform on one host and runs experiments on it."""

    def run(self, deployment: str, seconds: float = 30.0) -> None:
        """Runs a deployment with its load and prints its addresses.

        Args:
          deployment: path of the deployment file; see emulator/examples.
          seconds: length of the load.
        """
        _comparing().run(deployment, seconds=seconds)

    def compare(
        self,
        deployment: str,
        *,
        page: str = "experiment.html",
        source_a: str = str(ROOT),
        source_b: str = str(ROOT),
        bounds_a: dict[str, float] | None = None,
        bounds_b: dict[str, float] | None = None,
        seed: int = 1,
        seconds: float = 20.0,
        rounds: int = 2,
    ) -> None:
        """Runs two builds or settings alternately and writes a report page.

        Args:
          deployment: path of the deployment file; see emulator/examples.
          page: path of the HTML page with tables and plots.
          source_a: root of the checkout that side a runs.
          source_b: root of the checkout that side b runs.
          bounds_a: overridden bounds of side a, as `{maxShift: 0.3}`.
          bounds_b: overridden bounds of side b.
          seed: seed of the first pair of runs.
          seconds: length of the load of each run.
          rounds: number of pairs of runs.
        """
        comparing = _comparing()
        comparing.compare(
            deployment,
            sides=(
                comparing.Side("a", Path(source_a), bounds_a or {}),
                comparing.Side("b", Path(source_b), bounds_b or {}),
            ),
            page=Path(page),
            seed=seed,
            seconds=seconds,
            rounds=rounds,
        )

    def replay(
        self,
        *patterns: str,
        seeds: int = 20,
        without: str | tuple[str, ...] = (),
        constants: str | tuple[str, ...] = (),
        jobs: int = 4,
        parts: str = "",
    ) -> None:
        """Replays load patterns in virtual time with the real placement code.

        Args:
          *patterns: paths of pattern files; see emulator/patterns.
          seeds: number of replays of each pattern, each with its own seed.
          without: mechanisms to switch off, separated by commas; the table then
            compares replays with and without them, seed by seed.
          constants: overridden constants of almondstair.core, separated by
            commas, as `choosing.CROWDED_USE=0.9`.
          jobs: number of parallel processes.
          parts: modes of the parts for overload, as `returns=on`; the table
            compares replays with these parts switched off and with the modes.
        """
        importlib.import_module("emulator.replaying").replay(
            patterns,
            seeds=seeds,
            without=_names(without),
            constants=_names(constants),
            jobs=jobs,
            parts=parts,
        )

    def store(self, address: str, views: dict[str, str] | None = None) -> None:
        """Serves an empty key-value store.

        Args:
          address: `ip:port` to listen on.
          views: availability zone by additional `ip:port`; each address serves
            the store with the addresses that its zone uses.
        """
        store.main(address, dict(views or {}))

    def upstream(
        self,
        address: str,
        store: str,
        plan: str = "{}",
        announce: str = "",
    ) -> None:
        """Runs an upstream that registers in a store.

        Args:
          address: `ip:port` to listen on.
          store: `ip:port` of the store.
          plan: its behaviour as JSON; see `UpstreamPlan`.
          announce: address to register; the listening address by default.
        """
        upstream_process.main(address, store, plan, announce)


def _names(given: str | tuple[str, ...]) -> list[str]:
    """Returns the names of a comma-separated text or of a list."""
    names = given.split(",") if isinstance(given, str) else given
    return [name for name in names if name]


def _comparing() -> Any:
    """Imports `comparing` on demand, so that upstreams need no pygal."""
    return importlib.import_module("emulator.comparing")


def main() -> None:
    """Runs the command line."""
    fire.Fire(Commands, name="emulator")


if __name__ == "__main__":
    main()
