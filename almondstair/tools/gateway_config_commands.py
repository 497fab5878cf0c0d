"""Commands for the configuration in force on gateways."""

import difflib
import json

from almondstair import errors
from almondstair.tools import commands
from almondstair.tools import gateway_client
from almondstair.tools import gateway_tables
from almondstair.tools import session as session_module


class GatewayConfigCommands:
    """Shows and compares the configurations in force on gateways.

    The store may already hold a newer configuration.
    """

    def __init__(self, session: session_module.Session) -> None:
        """Keeps the session."""
        self._session = session

    @commands.command
    def show(self, address: str, *, version: int = 0) -> None:
        """Prints the configuration that a gateway has in force.

        Args:
          address: `ip:port` of the gateway's metrics address.
          version: an earlier version that it keeps; 0 for the one in force.

        Examples:
          almondstairctl gateway config show 10.1.0.35:9464 > configuration.json
          almondstairctl gateway config show 10.1.0.35:9464 --version=7
        """
        body = gateway_client.fetch_configuration(address, version=version)
        if self._session.json:
            self._session.show(body)
            return
        print(_lines_of(body["text"]))
        self._session.print_note(
            f"version {body['version']} on {body['entry']}, which read "
            f"the store {body['store_age_s']:.1f} s ago"
        )

    @commands.command
    def history(self, address: str) -> None:
        """Lists the versions that a gateway had in force, newest first.

        Args:
          address: `ip:port` of the gateway's metrics address.

        Examples:
          almondstairctl gateway config history 10.1.0.35:9464
        """
        body = gateway_client.fetch_configuration(address)
        shown = {
            "entry": body["entry"],
            "store_age_s": body["store_age_s"],
            "versions": body["versions"],
        }
        self._session.show(shown, gateway_tables.versions(body))

    @commands.command
    def diff(self, address: str, other: str = "", *, version: int = 0) -> None:
        """Shows how two configurations in force differ.

        Args:
          address: `ip:port` of a gateway's metrics address.
          other: the address of another gateway to compare with.
          version: an earlier version on the first gateway to compare with.

        Examples:
          almondstairctl gateway config diff 10.1.0.35:9464 10.2.0.28:9464
          almondstairctl gateway config diff 10.1.0.35:9464 --version=7
        """
        if bool(other) == bool(version):
            raise errors.AlmondstairError(
                kind=errors.ErrorKind.USAGE,
                detail="name either another gateway or a version",
            )
        newer = gateway_client.fetch_configuration(address)
        older = gateway_client.fetch_configuration(
            other or address, version=version
        )
        lines = list(
            difflib.unified_diff(
                _lines_of(older["text"]).splitlines(),
                _lines_of(newer["text"]).splitlines(),
                fromfile=f"version {older['version']} on {older['entry']}",
                tofile=f"version {newer['version']} on {newer['entry']}",
                lineterm="",
            )
        )
        body = {
            "versions": [older["version"], newer["version"]],
            "store_age_s": [older["store_age_s"], newer["store_age_s"]],
            "lines": lines,
        }
        if self._session.json:
            self._session.show(body)
            return
        print("\n".join(lines))
        if not lines:
            self._session.print_note("nothing differs")


def _lines_of(text: str) -> str:
    """Returns a stored text as JSON with one field per line."""
    try:
        return json.dumps(json.loads(text), indent=2)
    except json.JSONDecodeError:
        # Shown as stored, so that the operator sees that it is invalid.
        return text
