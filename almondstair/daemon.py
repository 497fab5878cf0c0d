"""The almondstaird daemon, which runs an entry."""

import argparse
import asyncio
from collections.abc import Sequence
import gc
import signal
import sys

import zmq

from almondstair import __version__
from almondstair import log
from almondstair import settings
from almondstair.entry import Entry
from almondstair.errors import ERROR_TABLE
from almondstair.errors import AlmondstairError
from almondstair.errors import ErrorKind

OBJECTS_PER_COLLECTION = 20_000
DESCRIPTION = """Runs one entry of almondstair: serves lookups, requests from
callers and other entries, and operators. SIGTERM or SIGINT drains the requests
in flight and stops it."""


def main(arguments: Sequence[str] | None = None) -> None:
    """Reads the settings and runs the entry until a signal stops it."""
    options = _parse_arguments(arguments)
    try:
        loaded = settings.load(options.settings)
        log.setup(
            level=loaded.settings.log.level, file=loaded.settings.log.file
        )
        asyncio.run(_run(loaded))
    except AlmondstairError as error:
        print(f"almondstaird: {error}", file=sys.stderr)
        sys.exit(error.rule.exit_code)
    except (OSError, zmq.ZMQError) as error:
        log.event(log.Event.FATAL, detail=str(error))
        print(f"almondstaird: cannot listen: {error}", file=sys.stderr)
        sys.exit(ERROR_TABLE[ErrorKind.INTERNAL].exit_code)


def _parse_arguments(arguments: Sequence[str] | None) -> argparse.Namespace:
    parser = argparse.ArgumentParser(
        prog="almondstaird", description=DESCRIPTION
    )
    parser.add_argument(
        "--settings", required=True, help="TOML file with the settings"
    )
    parser.add_argument(
        "--version", action="version", version=f"almondstair {__version__}"
    )
    return parser.parse_args(arguments)


def _tune_garbage_collector() -> None:
    """Makes garbage collections rare and exempts the objects that exist now.

    By default a collection runs after 700 new objects, which is every few
    requests, and also traverses modules and tables that are never freed.
    """
    gc.collect()
    gc.freeze()
    gc.set_threshold(OBJECTS_PER_COLLECTION)


async def _run(loaded: settings.LoadedSettings) -> None:
    stopping = asyncio.Event()
    loop = asyncio.get_running_loop()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, stopping.set)
    entry = Entry(loaded=loaded)
    await entry.start()
    _tune_garbage_collector()
    await stopping.wait()
    await entry.stop()


if __name__ == "__main__":
    main()
