"""The emulator's command line: `python -m emulator --help`."""

import importlib
from pathlib import Path
from typing import Any

import fire

from emulator import store
from emulator import upstream_process

ROOT = Path(__file__).resolve().parents[1]


class Commands:
    """The users' platform on one machine, and experiments on it."""

    def run(self, deployment: str, seconds: float = 30.0) -> None:
        """Runs a deployment with its load, and shows where it is reached.

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
        """Plays two builds or two settings in turns and writes a page.

        Args:
          deployment: path of the deployment file; see emulator/examples.
          page: where the page with tables and plots is written.
          source_a: root of the checkout that side a runs.
          source_b: root of the checkout that side b runs.
          bounds_a: bounds of side a that differ, as `{maxShift: 0.3}`.
          bounds_b: the same for side b.
          seed: seed of the first pair of runs.
          seconds: length of the load of each run.
          rounds: how many pairs are played.
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
    ) -> None:
        """Replays load patterns in virtual time with the real decisions.

        Args:
          *patterns: paths of pattern files; see emulator/patterns.
          seeds: how many plays of each, side by side.
          without: mechanisms to do without, separated by commas; the table then
            compares with and without, seed by seed.
          constants: other values for constants of almondstair.core, separated
            by commas, as `choosing.CROWDED_USE=0.9`.
          jobs: processes that play at a time.
        """
        importlib.import_module("emulator.replaying").replay(
            patterns,
            seeds=seeds,
            without=_names(without),
            constants=_names(constants),
            jobs=jobs,
        )

    def store(self, address: str, views: dict[str, str] | None = None) -> None:
        """Serves an empty key-value store.

        Args:
          address: `ip:port` to listen on.
          views: availability zones by further addresses; each shows upstreams
            and gateways as they are reached from its zone.
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
          announce: address to register, if it is reached through another.
        """
        upstream_process.main(address, store, plan, announce)


def _names(given: str | tuple[str, ...]) -> list[str]:
    """Returns what was given, separated by commas or as a list."""
    names = given.split(",") if isinstance(given, str) else given
    return [name for name in names if name]


def _comparing() -> Any:
    """Returns what compares; upstreams start without its plots' library."""
    return importlib.import_module("emulator.comparing")


def main() -> None:
    """Runs the command that is named."""
    fire.Fire(Commands, name="emulator")


if __name__ == "__main__":
    main()
