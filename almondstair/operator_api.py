"""JSON bodies of the operators' HTTP API.

Ages are in seconds since the report arrived; None means that there is no
report, so the state is unknown.
"""

from typing import NotRequired, TypedDict

ACCEPTED = "accepted"
PENDING = "pending"


class ConfigurationBody(TypedDict):
    """Response to `GET /v1/configuration`.

    Attributes:
      version: version of the document.
      edit_id: id of the edit that created the version.
      author: author of that edit.
      edited_at: time of that edit in ISO 8601.
      text: the TOML document.
      in_force: version in force by entry name, None where it is unknown.
    """

    version: int
    edit_id: str
    author: str
    edited_at: str
    text: str
    in_force: dict[str, int | None]


class EditBody(TypedDict):
    """Body of `POST /v1/configuration`."""

    base_version: int
    edit_id: str
    author: str
    text: str


class CheckBody(TypedDict):
    """Body of `POST /v1/configuration/check`."""

    text: str


class MarkBody(TypedDict):
    """Body of `POST /v1/marks`."""

    name: str
    leaving: bool
    edit_id: str
    author: str


class EditState(TypedDict):
    """State of an edit.

    Attributes:
      edit_id: id of the edit.
      state: `accepted` or `pending`.
      version: version that the edit created.
      lacking: entries on which that version is not known to be in force.
    """

    edit_id: str
    state: str
    version: int
    lacking: list[str]


class HistoryItem(TypedDict):
    """One version in the history."""

    version: int
    edit_id: str
    author: str
    edited_at: str


class HistoryBody(TypedDict):
    """Response to `GET /v1/configuration/history`, newest version first."""

    versions: list[HistoryItem]


class DrainBody(TypedDict):
    """Response to `GET /v1/drains/NAME`.

    Attributes:
      name: the upstream or entry.
      leaving: whether it is leaving.
      in_flight: requests still running there, None if unknown.
      last_new_work_age_s: seconds since the last request was sent to it, None
        if unknown or never.
      home: the entry that tracks its requests, None if there is none.
      home_address: address of that entry's operator listener.
    """

    name: str
    home: str | None
    home_address: str | None
    leaving: bool
    in_flight: int | None
    last_new_work_age_s: float | None


class EntryStatus(TypedDict):
    """One entry in the status; `answers` is added by the client."""

    name: str
    region: str
    availability_zone: str
    operator_address: str
    heard_age_s: float | None
    leaving: bool
    config_version: int | None
    answers: NotRequired[bool]


class UpstreamStatus(TypedDict):
    """One upstream in the status; `home` is the entry that dispatches to it."""

    name: str
    region: str
    home: str | None
    slots: int
    busy: int | None
    state: str
    report_age_s: float | None
    in_flight: int | None


class RegionStatus(TypedDict):
    """One region in the status."""

    name: str
    slots: int
    free: int | None
    report_age_s: float | None


class LinkStatus(TypedDict):
    """One link in the status; `share_bytes_per_s` is this entry's share."""

    availability_zone: str
    region: str
    cap_bytes_per_s: int
    used_bytes_per_s: float | None
    share_bytes_per_s: float


class StatusBody(TypedDict):
    """Response to `GET /v1/status`: the state as one entry knows it.

    Attributes:
      entry: name of the responding entry.
      epoch: epoch of its entry table.
      entries: every entry of the table.
      upstreams: every upstream.
      regions: every region.
      links: every link.
    """

    entry: str
    epoch: int
    entries: list[EntryStatus]
    upstreams: list[UpstreamStatus]
    regions: list[RegionStatus]
    links: list[LinkStatus]
