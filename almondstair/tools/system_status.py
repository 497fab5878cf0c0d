"""Status of the whole system, merged from the reports of all entries.

Only the home of an upstream knows what runs there, and only the entries of an
availability zone know what they send over its links. So every entry is queried;
values that only an unreachable entry has are unknown.
"""

from almondstair import operator_api
from almondstair.tools import operator_client

StatusByEntry = dict[str, operator_api.StatusBody | None]


def collect(
    client: operator_client.OperatorClient,
) -> operator_api.StatusBody:
    """Reads the list of entries from one entry, then the status of each.

    Args:
      client: a client of at least one entry.

    Returns:
      The status of the whole system, with whether each entry answered.

    Raises:
      AlmondstairError: ENTRY_UNREACHABLE if no entry of the client answers.
    """
    first = client.status()
    answers: StatusByEntry = {}
    for entry in first["entries"]:
        answers[entry["name"]] = _status_of(client, entry, first=first)
    return operator_api.StatusBody(
        entry=first["entry"],
        epoch=first["epoch"],
        entries=_entries(first, answers=answers),
        upstreams=_upstreams(first, answers=answers),
        regions=first["regions"],
        links=_links(first, answers=answers),
    )


def _status_of(
    client: operator_client.OperatorClient,
    entry: operator_api.EntryStatus,
    *,
    first: operator_api.StatusBody,
) -> operator_api.StatusBody | None:
    if entry["name"] == first["entry"]:
        return first
    return client.status_of(address=entry["operator_address"])


def _entries(
    first: operator_api.StatusBody,
    *,
    answers: StatusByEntry,
) -> list[operator_api.EntryStatus]:
    rows: list[operator_api.EntryStatus] = []
    for entry in first["entries"]:
        row = entry.copy()
        row["answers"] = answers[entry["name"]] is not None
        rows.append(row)
    return rows


def _upstreams(
    first: operator_api.StatusBody,
    *,
    answers: StatusByEntry,
) -> list[operator_api.UpstreamStatus]:
    rows: list[operator_api.UpstreamStatus] = []
    for row in first["upstreams"]:
        home = answers.get(row["home"] or "")
        rows.append(_home_row(row, home=home))
    return rows


def _home_row(
    row: operator_api.UpstreamStatus,
    *,
    home: operator_api.StatusBody | None,
) -> operator_api.UpstreamStatus:
    """Returns the row from the home; without it, the load is unknown."""
    if home is not None:
        for home_row in home["upstreams"]:
            if (
                home_row["name"] == row["name"]
                and home_row["home"] == home["entry"]
            ):
                return home_row
    unknown = row.copy()
    unknown["busy"] = None
    unknown["in_flight"] = None
    unknown["report_age_s"] = None
    return unknown


def _links(
    first: operator_api.StatusBody,
    *,
    answers: StatusByEntry,
) -> list[operator_api.LinkStatus]:
    rows: dict[tuple[str, str], operator_api.LinkStatus] = {}
    for status in answers.values():
        if status is None:
            continue
        for link in status["links"]:
            _add_link(rows, link)
    unreachable_zones: set[str] = set()
    for entry in first["entries"]:
        if answers[entry["name"]] is None:
            unreachable_zones.add(entry["availability_zone"])
    for row in rows.values():
        if row["availability_zone"] in unreachable_zones:
            # The unreachable entry may use its share too.
            row["used_bytes_per_s"] = None
    return list(rows.values())


def _add_link(
    rows: dict[tuple[str, str], operator_api.LinkStatus],
    link: operator_api.LinkStatus,
) -> None:
    ends = (link["availability_zone"], link["region"])
    if ends not in rows:
        rows[ends] = link.copy()
        return
    row = rows[ends]
    row["share_bytes_per_s"] += link["share_bytes_per_s"]
    used = link["used_bytes_per_s"]
    if row["used_bytes_per_s"] is None or used is None:
        row["used_bytes_per_s"] = None
        return
    row["used_bytes_per_s"] += used
