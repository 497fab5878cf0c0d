"""Session of the command-line tool: the client of entries and the output."""

import json as json_module
import time
from typing import Any
import uuid

import rich.console

from almondstair import errors
from almondstair import operator_api
from almondstair import settings as settings_module
from almondstair.tools import operator_client

POLL_INTERVAL_S = 0.5
# Width of tables in a file or pipe; a terminal has its own width.
_PIPE_WIDTH_COLUMNS = 160

_HINTS = {
    errors.ErrorKind.PLATFORM_UNAVAILABLE: (
        "The entries go on with the configuration in force; edits and marks "
        "have to wait until the platform's service is back."
    ),
    errors.ErrorKind.EDIT_CONFLICT: (
        "Nothing of this edit was stored. Read the configuration again "
        "(config show) and repeat the edit on it."
    ),
    errors.ErrorKind.EDIT_UNKNOWN: (
        "Check it with `almondstairctl edit status` and the id above "
        "before you edit again."
    ),
    errors.ErrorKind.EDIT_PENDING: (
        "The edit is stored and will take effect; do not send it again."
    ),
    errors.ErrorKind.ENTRY_UNREACHABLE: (
        "What this entry does is not known. Ask another one with --entry."
    ),
}


class Session:
    """Holds what the commands share: the client of entries and the output.

    Attributes:
      author: name put on edits.
      json: whether to print JSON.
    """

    def __init__(self, *, entry: str, author: str, json: bool) -> None:
        """Keeps the options and sends nothing."""
        self.author = author
        self.json = json
        self._entry = entry
        self._client: operator_client.OperatorClient | None = None
        self._output_console = rich.console.Console(highlight=False)
        if not self._output_console.is_terminal:
            self._output_console.width = _PIPE_WIDTH_COLUMNS
        self._error_console = rich.console.Console(stderr=True, highlight=False)

    @property
    def client(self) -> operator_client.OperatorClient:
        """The client of the operators' listeners."""
        if self._client is None:
            self._client = operator_client.OperatorClient(
                addresses_text=self._entry
            )
        return self._client

    def show(self, body: Any, *parts: Any) -> None:
        """Prints a result: `body` as JSON with --json, else the parts."""
        if self.json:
            print(json_module.dumps(body, indent=2))
            return
        for part in parts:
            self._output_console.print(part)

    def print_note(self, text: str) -> None:
        """Prints a line on the standard error stream."""
        self._error_console.print(text, markup=False, soft_wrap=True)

    def show_error(self, error: errors.AlmondstairError) -> None:
        """Prints an error; with --json, its problem object."""
        if self.json:
            print(json_module.dumps(_problem(error), indent=2))
            return
        self.print_note(f"{error.kind}: {error.rule.title}")
        if error.detail != error.rule.title:
            self.print_note(error.detail)
        if error.kind is not errors.ErrorKind.ENTRY_UNREACHABLE:
            self.print_unreachable()
        hint = _HINTS.get(error.kind)
        if hint is not None:
            self.print_note(hint)

    def print_unreachable(self) -> None:
        """Prints which entries did not answer, and why."""
        if self._client is None:
            return
        for unreachable in self._client.unreachable_entries:
            self.print_note(
                f"{unreachable.address} does not answer: {unreachable.reason}"
            )

    def edit(self, *, base_version: int, text: str, wait_s: float) -> None:
        """Sends an edit and waits until it is in force everywhere."""
        settings_module.read_configuration(text, "the edited configuration")
        edit_id = new_edit_id()
        self.print_note(f"edit {edit_id}")
        state = self.client.edit(
            operator_api.EditBody(
                base_version=base_version,
                edit_id=edit_id,
                author=self.author,
                text=text,
            )
        )
        self.show_edit(self.wait_accepted(state, wait_s=wait_s))

    def wait_accepted(
        self, state: operator_api.EditState, *, wait_s: float
    ) -> operator_api.EditState:
        """Polls the state of an edit until it is accepted or time is up."""
        until_s = time.monotonic() + wait_s
        lacking: list[str] = []
        while state["state"] == operator_api.PENDING:
            if state["lacking"] != lacking:
                lacking = state["lacking"]
                self.print_note(
                    f"not yet known in force on: {', '.join(lacking)}"
                )
            if time.monotonic() >= until_s:
                break
            time.sleep(POLL_INTERVAL_S)
            state = self.client.edit_state(edit_id=state["edit_id"])
        return state

    def show_edit(self, state: operator_api.EditState) -> None:
        """Prints the state of an edit; raises if it is not accepted."""
        if state["state"] == operator_api.ACCEPTED:
            self.show(
                state,
                f"accepted: version {state['version']} is in force everywhere",
            )
            return
        body: dict[str, Any] = {**state}
        body["detail"] = (
            f"edit {state['edit_id']}, version {state['version']}, is not "
            f"known in force on: {', '.join(state['lacking'])}"
        )
        raise operator_client.RemoteError(
            kind=errors.ErrorKind.EDIT_PENDING, body=body
        )


def new_edit_id() -> str:
    """Returns a unique id that `fire` can't read as a number."""
    return f"edit-{uuid.uuid4().hex}"


def _problem(error: errors.AlmondstairError) -> dict[str, Any]:
    problem: dict[str, Any] = {**error.problem()}
    if isinstance(error, operator_client.RemoteError):
        problem.update(error.body)
    return problem
