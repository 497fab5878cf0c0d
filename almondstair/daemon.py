"""almondstaird: the daemon of an entry VM."""

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
DESCRIPTION = """Serves one entry of almondstair: look-ups, requests of callers
and of other entries, operators. SIGTERM or SIGINT makes it leave without
cutting off a request."""


def main(arguments: Sequence[str] | None = None) -> None:
    """Reads the settings, makes the entry, runs it until it is told to stop."""
    options = _parse(arguments)
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


def _parse(arguments: Sequence[str] | None) -> argparse.Namespace:
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


def _spare_collections() -> None:
    """Makes the garbage collector look at young objects, and seldom.

    By default it runs after every 700 new objects, a few requests' worth, and
    then walks over the modules and tables that never go away.
    """
    gc.collect()
    gc.freeze()
    gc.set_threshold(OBJECTS_PER_COLLECTION)


async def _run(loaded: settings.Loaded) -> None:
    stopping = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stopping.set)
    entry = Entry(loaded=loaded)
    await entry.start()
    _spare_collections()
    await stopping.wait()
    await entry.stop()


if __name__ == "__main__":
    main()
