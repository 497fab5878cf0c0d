"""Command groups of the command-line tool.

A command runs only after the whole command line has been parsed. If it ran at
once, `vm leave a b` would mark `a` and then reject `b`.
"""

from collections.abc import Callable
import difflib
import functools
import inspect
from pathlib import Path
import time
from typing import Any

from almondstair import configuration_edits
from almondstair import document_faults as faults_module
from almondstair import errors
from almondstair import operator_api
from almondstair import settings as settings_module
from almondstair import validation
from almondstair.tools import session as session_module
from almondstair.tools import tables

_IN_FORCE_SOURCE = "configuration in force"
_MARK_ATTEMPTS = 4


class PreparedCommand:
    """Holds a command that was parsed and has not run yet."""

    def __init__(self, *, action: Callable[[], None]) -> None:
        """Keeps the action."""
        self._action = action

    def _run(self) -> None:
        self._action()


def run_prepared(result: Any) -> Any:
    """Runs a prepared command; returns other results, such as groups."""
    if not isinstance(result, PreparedCommand):
        return result
    result._run()
    return None


def command(method: Callable[..., None]) -> Callable[..., PreparedCommand]:
    """Makes a method return a prepared command instead of running."""

    @functools.wraps(method)
    def prepare(*args: Any, **kwargs: Any) -> PreparedCommand:
        bound = inspect.signature(method).bind(*args, **kwargs)
        _reject_non_text(method, arguments=bound.arguments)
        return PreparedCommand(
            action=functools.partial(method, *args, **kwargs)
        )

    return prepare


def _reject_non_text(
    method: Callable[..., None], *, arguments: dict[str, Any]
) -> None:
    """Rejects an argument of type str that `fire` parsed as a number.

    `fire` reads `1_0` as the number 10, so that a command could act on another
    VM than the one that was typed.
    """
    for name, value in arguments.items():
        if inspect.get_annotations(method).get(name) is not str:
            continue
        values = value if isinstance(value, tuple) else (value,)
        if all(isinstance(each, str) for each in values):
            continue
        raise errors.AlmondstairError(
            kind=errors.ErrorKind.USAGE,
            detail=f"{name} was read as {value!r}, which is not text; "
            "put it in double quotes inside single ones, such as '\"1_0\"'",
        )


class ConfigCommands:
    """Show, check and edit the configuration."""

    def __init__(self, session: session_module.Session) -> None:
        """Keeps the session."""
        self._session = session

    @command
    def show(self) -> None:
        """Prints the configuration as TOML, its version on standard error.

        Examples:
          almondstairctl config show > deployment.toml
          almondstairctl config show --json
        """
        body = self._session.client.configuration()
        if self._session.json:
            self._session.show(body)
            return
        print(body["text"], end="")
        self._session.print_note(
            f"version {body['version']} by {body['author']}"
        )
        for entry, version in body["in_force"].items():
            if version == body["version"]:
                continue
            shown = "unknown" if version is None else str(version)
            self._session.print_note(f"in force on {entry}: {shown}")

    @command
    def check(self, file: str, *, remote: bool = False) -> None:
        """Checks a configuration file and lists every error.

        Examples:
          almondstairctl config check deployment.toml
          almondstairctl config check deployment.toml --remote

        Args:
          file: the TOML file.
          remote: whether an entry checks it too.
        """
        text = _read_file(file)
        settings_module.read_configuration(text, file)
        if remote:
            self._session.client.check(text=text)
        self._session.show({"valid": True}, f"{file} is valid")

    @command
    def diff(self, file: str) -> None:
        """Shows how a file differs from the configuration in force.

        Examples:
          almondstairctl config diff deployment.toml
          almondstairctl config diff deployment.toml --json

        Args:
          file: the TOML file.
        """
        text = _read_file(file)
        current = self._session.client.configuration()
        changed = configuration_edits.describe_changes(current["text"], text)
        body = {"base_version": current["version"], "changed": changed}
        if self._session.json:
            self._session.show(body)
            return
        for line in difflib.unified_diff(
            current["text"].splitlines(keepends=True),
            text.splitlines(keepends=True),
            fromfile=f"version {current['version']}",
            tofile=file,
        ):
            print(line, end="")
        if not changed:
            self._session.print_note("no setting differs")

    @command
    def edit(
        self, file: str, *, base_version: int, wait_s: float = 10.0
    ) -> None:
        """Replaces the configuration with a file.

        Take the version and the text from `config show`. If the configuration
        was edited since, nothing is stored and the changed keys are listed.

        Examples:
          almondstairctl config show > deployment.toml
          almondstairctl config edit deployment.toml --base_version=7

        Args:
          file: the TOML file.
          base_version: the version that the file is based on.
          wait_s: how long to wait for every entry, in seconds.
        """
        text = _read_file(file)
        settings_module.read_configuration(text, file)
        self._session.edit(base_version=base_version, text=text, wait_s=wait_s)

    @command
    def history(self) -> None:
        """Lists the versions of the configuration, newest first.

        Examples:
          almondstairctl config history
        """
        body = self._session.client.history()
        self._session.show(body, tables.history(body["versions"]))


class ProfileCommands:
    """List, change and assign steering profiles."""

    def __init__(self, session: session_module.Session) -> None:
        """Keeps the session."""
        self._session = session

    @command
    def list(self) -> None:
        """Lists the profiles and the services that use them.

        Examples:
          almondstairctl profile list
        """
        body = self._session.client.configuration()
        configuration = settings_module.read_configuration(
            body["text"], _IN_FORCE_SOURCE
        )
        rows: list[dict[str, str]] = []
        for name, profile in configuration.profiles.items():
            row = {"profile": name}
            for field in profile._fields:
                row[field] = str(getattr(profile, field))
            services: list[str] = []
            for service_name, service in configuration.services.items():
                if service.profile == name:
                    services.append(service_name)
            row["services"] = ", ".join(services)
            rows.append(row)
        self._session.show({"profiles": rows}, tables.profiles(rows))

    @command
    def set(
        self,
        profile: str,
        key: str,
        value: configuration_edits.Scalar,
        *,
        wait_s: float = 10.0,
    ) -> None:
        """Sets one field of a profile; setting `policy` makes a new profile.

        Examples:
          almondstairctl profile set local headroom_fraction 0.2
          almondstairctl profile set night policy spread

        Args:
          profile: name of the profile.
          key: name of the field, with its unit suffix.
          value: the new value.
          wait_s: how long to wait for every entry, in seconds.
        """
        if not isinstance(value, str | int | float):
            raise errors.AlmondstairError(
                kind=errors.ErrorKind.USAGE,
                detail=f"{value!r} is not a number, a string or a boolean",
            )
        current = self._session.client.configuration()
        text = configuration_edits.set_profile_field(
            current["text"], profile, key, value
        )
        self._session.edit(
            base_version=current["version"], text=text, wait_s=wait_s
        )

    @command
    def assign(
        self, service: str, profile: str, *, wait_s: float = 10.0
    ) -> None:
        """Assigns a profile to a service.

        Examples:
          almondstairctl profile assign matching spread

        Args:
          service: name of the service.
          profile: name of the profile.
          wait_s: how long to wait for every entry, in seconds.
        """
        current = self._session.client.configuration()
        text = configuration_edits.assign_profile(
            current["text"], service, profile
        )
        self._session.edit(
            base_version=current["version"], text=text, wait_s=wait_s
        )


class VmCommands:
    """Mark VMs as leaving, or remove the mark."""

    def __init__(self, session: session_module.Session) -> None:
        """Keeps the session."""
        self._session = session

    @command
    def leave(self, name: str, *, wait_s: float = 120.0) -> None:
        """Marks a VM as leaving and waits until no work is left on it.

        Examples:
          almondstairctl vm leave matching-se1-1
          almondstairctl vm leave intake-sw1-1 --wait_s=30

        Args:
          name: the upstream or entry.
          wait_s: how long to wait for the work to end, in seconds.
        """
        until_s = time.monotonic() + wait_s
        self._mark(name, leaving=True, wait_s=wait_s)
        started_s = time.monotonic()
        while True:
            drain = self._session.client.drain(name=name)
            elapsed_s = time.monotonic() - started_s
            done = drain["leaving"] and drain["in_flight"] == 0
            if done or time.monotonic() >= until_s:
                break
            self._print_drain(drain, elapsed_s=elapsed_s)
            time.sleep(session_module.POLL_INTERVAL_S)
        if not done:
            left = _count(drain["in_flight"])
            raise errors.AlmondstairError(
                kind=errors.ErrorKind.EDIT_PENDING,
                detail=f"{name} is marked as leaving; work left there after "
                f"{elapsed_s:.1f} s: {left}",
            )
        self._session.show(
            {**drain, "elapsed_s": round(elapsed_s, 3)},
            f"{name} has no work left after {elapsed_s:.1f} s",
        )

    @command
    def _return_vm(self, name: str, *, wait_s: float = 10.0) -> None:
        """Removes the mark from a VM, so that it gets work again.

        Examples:
          almondstairctl vm return matching-se1-1

        Args:
          name: the upstream or entry.
          wait_s: how long to wait for every entry, in seconds.
        """
        until_s = time.monotonic() + wait_s
        self._mark(name, leaving=False, wait_s=wait_s)
        drain = self._session.client.drain(name=name)
        # Other entries report for a moment longer that it is leaving.
        while drain["leaving"] and time.monotonic() < until_s:
            time.sleep(session_module.POLL_INTERVAL_S)
            drain = self._session.client.drain(name=name)
        line = f"{name} takes work again"
        if drain["leaving"]:
            line = f"{name} is unmarked, but still leaving, as it or the "
            line += "platform reports"
        self._session.show(drain, line)

    def _mark(self, name: str, *, leaving: bool, wait_s: float) -> None:
        state = self._send_mark(name, leaving=leaving)
        state = self._session.wait_accepted(state, wait_s=wait_s)
        if state["state"] != operator_api.ACCEPTED:
            self._session.show_edit(state)
        self._session.print_note(f"the mark is in force everywhere: {name}")

    def _send_mark(self, name: str, *, leaving: bool) -> operator_api.EditState:
        """Sends a mark, and again if it conflicts with another edit.

        A mark depends on no other setting, so the operator need not read the
        configuration again as after other conflicts.
        """
        for _ in range(_MARK_ATTEMPTS):
            edit_id = session_module.new_edit_id()
            self._session.print_note(f"edit {edit_id}")
            mark = operator_api.MarkBody(
                name=name,
                leaving=leaving,
                edit_id=edit_id,
                author=self._session.author,
            )
            try:
                return self._session.client.mark(mark)
            except errors.AlmondstairError as error:
                if error.kind is not errors.ErrorKind.EDIT_CONFLICT:
                    raise
                conflict = error
            time.sleep(session_module.POLL_INTERVAL_S)
        raise conflict

    def _print_drain(
        self, drain: operator_api.DrainBody, *, elapsed_s: float
    ) -> None:
        age_s = drain["last_new_work_age_s"]
        age = "unknown" if age_s is None else f"{age_s:.1f} s ago"
        self._session.print_note(
            f"{elapsed_s:.1f} s: work left {_count(drain['in_flight'])}, "
            f"last new work {age}"
        )


# `return` is a keyword, so no method can be defined with this name.
setattr(VmCommands, "return", VmCommands._return_vm)


class EditCommands:
    """Show the status of an edit."""

    def __init__(self, session: session_module.Session) -> None:
        """Keeps the session."""
        self._session = session

    @command
    def status(self, edit_id: str) -> None:
        """Shows whether an edit is in force everywhere.

        Examples:
          almondstairctl edit status edit-5b0c0f6e

        Args:
          edit_id: the id printed when the edit was sent.
        """
        self._session.show_edit(
            self._session.client.edit_state(edit_id=edit_id)
        )


class SettingsCommands:
    """Check the settings of an entry."""

    def __init__(self, session: session_module.Session) -> None:
        """Keeps the session."""
        self._session = session

    @command
    def check(self, file: str) -> None:
        """Checks a settings file and the deployment file that it names.

        Examples:
          almondstairctl settings check entry.toml

        Args:
          file: the settings file.
        """
        settings_module.load(file)
        self._session.show({"valid": True}, f"{file} is valid")


def _read_file(file: str) -> str:
    faults = faults_module.FaultList(file=file)
    text = validation.read_text(Path(file), faults=faults)
    if text is None:
        raise faults_module.InvalidDocumentError(
            kind=errors.ErrorKind.CONFIGURATION_INVALID, faults=faults.faults()
        )
    return text


def _count(value: int | None) -> str:
    if value is None:
        return "unknown"
    return str(value)
