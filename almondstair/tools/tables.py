"""Tables of the status; missing values are shown as unknown."""

from rich import table as rich_table

from almondstair import operator_api
from almondstair import settings

UNKNOWN = "[yellow]unknown[/yellow]"
_NO_HEARTBEAT = "[red]no word[/red]"
# States that an entry knows without a report from the upstream.
_STATES_WITHOUT_REPORT = ("leaving", "without home", "being taken over")
_BYTES_PER_MB = 1_000_000
_REPORT_LIMIT_S = settings.TimingSettings().load_report_limit_ms / 1000
_SILENCE_LIMIT_S = settings.TimingSettings().silence_limit_ms / 1000


def entries(rows: list[operator_api.EntryStatus]) -> rich_table.Table:
    """Returns the table of entries."""
    table = make_table(
        "Entries",
        ("entry", "region", "zone", "answers", "heard", "leaving", "config"),
    )
    for row in rows:
        answers = "yes" if row.get("answers") else "[red]NO[/red]"
        table.add_row(
            row["name"],
            row["region"],
            row["availability_zone"],
            answers,
            _heartbeat_age(row["heard_age_s"]),
            _yes_or_blank(row["leaving"]),
            number(row["config_version"]),
        )
    return table


def upstreams(rows: list[operator_api.UpstreamStatus]) -> rich_table.Table:
    """Returns the table of upstreams."""
    table = make_table(
        "Upstreams",
        ("upstream", "region", "home", "state", "busy", "slots", "in flight")
        + ("report",),
    )
    for row in rows:
        state = row["state"]
        busy = number(row["busy"])
        if _is_stale(row["report_age_s"]):
            # The last reported state would look like the current one.
            if state not in _STATES_WITHOUT_REPORT:
                state = UNKNOWN
            busy = UNKNOWN
        table.add_row(
            row["name"],
            row["region"],
            row["home"] or UNKNOWN,
            state,
            busy,
            str(row["slots"]),
            number(row["in_flight"]),
            report_age(row["report_age_s"]),
        )
    return table


def regions(rows: list[operator_api.RegionStatus]) -> rich_table.Table:
    """Returns the table of regions with their headroom."""
    table = make_table(
        "Regions", ("region", "slots", "free", "headroom", "report")
    )
    for row in rows:
        free = row["free"]
        if _is_stale(row["report_age_s"]):
            free = None
        table.add_row(
            row["name"],
            str(row["slots"]),
            number(free),
            _fraction(free, row["slots"]),
            report_age(row["report_age_s"]),
        )
    return table


def links(rows: list[operator_api.LinkStatus]) -> rich_table.Table:
    """Returns the table of links with their headroom, in megabytes a second."""
    table = make_table(
        "Links, MB/s", ("zone", "region", "cap", "used", "headroom", "share")
    )
    for row in rows:
        cap = row["cap_bytes_per_s"]
        used = row["used_bytes_per_s"]
        free = None if used is None else cap - used
        table.add_row(
            row["availability_zone"],
            row["region"],
            _megabytes(cap),
            _megabytes(used),
            _fraction(free, cap),
            _megabytes(row["share_bytes_per_s"]),
        )
    return table


def history(rows: list[operator_api.HistoryItem]) -> rich_table.Table:
    """Returns the table of configuration versions."""
    table = make_table("", ("version", "edited at", "author", "edit"))
    for row in rows:
        table.add_row(
            str(row["version"]), row["edited_at"], row["author"], row["edit_id"]
        )
    return table


def profiles(rows: list[dict[str, str]]) -> rich_table.Table:
    """Returns the table of profiles; every row has the same columns."""
    columns: tuple[str, ...] = ()
    if rows:
        columns = tuple(rows[0])
    table = make_table("", columns)
    for row in rows:
        table.add_row(*row.values())
    return table


def number(value: int | None) -> str:
    """Returns a count, or that it is unknown."""
    if value is None:
        return UNKNOWN
    return str(value)


def seconds(value: float | None) -> str:
    """Returns a time in seconds, or that it is unknown."""
    if value is None:
        return UNKNOWN
    return f"{value:.1f} s"


def report_age(age_s: float | None) -> str:
    """Returns the age of a report, marked as stale past its limit."""
    if age_s is not None and _is_stale(age_s):
        return f"[yellow]stale, {age_s:.1f} s[/yellow]"
    return seconds(age_s)


def _is_stale(age_s: float | None) -> bool:
    """Returns whether a report is missing or past its limit."""
    return age_s is None or age_s > _REPORT_LIMIT_S


def _heartbeat_age(age_s: float | None) -> str:
    if age_s is None:
        return _NO_HEARTBEAT
    if age_s > _SILENCE_LIMIT_S:
        return f"[red]silent for {age_s:.1f} s[/red]"
    return f"{age_s:.1f} s ago"


def make_table(title: str, columns: tuple[str, ...]) -> rich_table.Table:
    """Returns an empty table with columns."""
    table = rich_table.Table(title=title, title_justify="left")
    for column in columns:
        table.add_column(column, overflow="fold")
    return table


def _yes_or_blank(value: bool) -> str:
    return "yes" if value else ""


def _fraction(part: float | None, whole: float) -> str:
    if part is None or not whole:
        return UNKNOWN
    return f"{part / whole:.0%}"


def _megabytes(value: float | None) -> str:
    if value is None:
        return UNKNOWN
    return f"{value / _BYTES_PER_MB:.2f}"
