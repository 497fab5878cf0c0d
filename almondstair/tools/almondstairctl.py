"""Command-line tool for operators.

It connects to the operators' listener of an entry. Every failure has a kind,
and each kind has an exit code; `docs/ERRORS.md` lists them.
"""

import argparse
import getpass
import os
import sys

import fire
from fire import core as fire_core

from almondstair import errors
from almondstair.tools import commands
from almondstair.tools import gateway_commands
from almondstair.tools import session as session_module
from almondstair.tools import system_status
from almondstair.tools import tables

ENTRY_VARIABLE = "ALMONDSTAIR_ENTRY"
_PROGRAM = "almondstairctl"
_FIRE_USAGE_EXIT_CODE = 2
_INTERRUPTED_EXIT_CODE = 130


class Control:
    """Operates almondstair through the operators' listener of an entry.

    Examples:
      almondstairctl status --entry=127.0.0.1:20104
      almondstairctl config show > deployment.toml
      almondstairctl profile set local headroom_fraction 0.2
      almondstairctl vm leave matching-se1-1
      almondstairctl edit status edit-5b0c0f6e --json
      almondstairctl gateway why 9c41d07be2a35f68 /var/log/gateway-*.log

    Options of every command:
      --entry=IP:PORT[,IP:PORT...]: operators' listeners, tried in this order
        until one answers; by default from ALMONDSTAIR_ENTRY.
      --author=NAME: author of edits; by default the user's name.
      --json: print JSON.
    """

    def __init__(self, session: session_module.Session) -> None:
        """Makes the command groups."""
        self._session = session
        self.config = commands.ConfigCommands(session)
        self.profile = commands.ProfileCommands(session)
        self.vm = commands.VmCommands(session)
        self.edit = commands.EditCommands(session)
        self.settings = commands.SettingsCommands(session)
        self.gateway = gateway_commands.GatewayCommands(session)

    @commands.command
    def status(self) -> None:
        """Shows entries, upstreams, regions and links.

        Each entry is queried, since only the home of an upstream knows what
        runs there. Values from an entry that does not answer are unknown.

        Examples:
          almondstairctl status
          almondstairctl status --json
        """
        body = system_status.collect(self._session.client)
        self._session.show(
            body,
            f"entry table of {body['entry']}, epoch {body['epoch']}",
            tables.entries(body["entries"]),
            tables.upstreams(body["upstreams"]),
            tables.regions(body["regions"]),
            tables.links(body["links"]),
        )


def main(arguments: list[str] | None = None) -> None:
    """Runs one command and exits with the code of its error kind.

    Args:
      arguments: the command line, by default the process's.
    """
    if arguments is None:
        arguments = sys.argv[1:]
    sys.exit(run(arguments))


def run(arguments: list[str]) -> int:
    """Runs one command.

    Args:
      arguments: the command line without the program's name.

    Returns:
      The exit code.
    """
    options, rest = _options().parse_known_args(arguments)
    session = session_module.Session(
        entry=options.entry, author=options.author, json=options.json
    )
    try:
        exit_code = _run_command(session, arguments=rest)
    except errors.AlmondstairError as error:
        session.show_error(error)
        return error.rule.exit_code
    except KeyboardInterrupt:
        session.print_note("stopped waiting; what was sent stays in force")
        return _INTERRUPTED_EXIT_CODE
    session.print_unreachable()
    return exit_code


def _run_command(
    session: session_module.Session, *, arguments: list[str]
) -> int:
    try:
        fire.Fire(
            Control(session),
            command=arguments,
            name=_PROGRAM,
            serialize=commands.run_prepared,
        )
    except fire_core.FireExit as error:
        if error.code == _FIRE_USAGE_EXIT_CODE:
            return errors.ERROR_TABLE[errors.ErrorKind.USAGE].exit_code
        return int(error.code or 0)
    return 0


def _options() -> argparse.ArgumentParser:
    """Returns the parser of the options that every command accepts.

    They are parsed before the rest, so that they can stand anywhere in the
    command line and the help of each group shows only the group.
    """
    parser = argparse.ArgumentParser(
        prog=_PROGRAM, add_help=False, allow_abbrev=False
    )
    parser.add_argument("--entry", default=os.environ.get(ENTRY_VARIABLE, ""))
    parser.add_argument("--author", default=_user())
    parser.add_argument("--json", action="store_true")
    return parser


def _user() -> str:
    try:
        return getpass.getuser()
    except (KeyError, OSError):
        return "unknown"


if __name__ == "__main__":
    main()
