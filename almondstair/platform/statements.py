"""Decodes what upstreams say of themselves in the heads of responses."""

from collections.abc import Sequence
import re

from almondstair.core.upstream_statements import ReportedLoad
from almondstair.core.upstream_statements import UnreadableValue
from almondstair.core.upstream_statements import UpstreamStatement
from almondstair.platform import headers as names

# Only this status asks for a rest.
_TURNED_AWAY = 503
_LEAVING = b"1"
_STAYING = b"0"
_LOAD_FIELDS = 3
# Figures beyond these are errors of the upstream, not speeds of a machine.
_MIN_RUN_TIME_PERCENT = 10
_MAX_RUN_TIME_PERCENT = 1000
_MAX_SHOWN_BYTES = 40
_COUNT = re.compile(rb"[0-9]{1,9}")
_DECIMAL = re.compile(rb"[0-9]{1,9}(\.[0-9]{1,9})?")


def decode_statement(
    *, status: int, headers: Sequence[tuple[bytes, bytes]]
) -> UpstreamStatement:
    """Decodes the head of an upstream's response.

    A header that is repeated, or whose value has no meaning, says nothing.

    Args:
      status: the status of the response.
      headers: its headers, names in lower case.
    """
    values: dict[bytes, list[bytes]] = {}
    for name, value in headers:
        if name in names.STATEMENTS:
            values.setdefault(name, []).append(value.strip(b" \t"))
    if status != _TURNED_AWAY:
        values.pop(names.RETRY_AFTER, None)
    return _HeadDecoder(values).decode()


class _HeadDecoder:
    """Decodes the values of one head and collects unreadable ones."""

    def __init__(self, values: dict[bytes, list[bytes]]) -> None:
        self._values = values
        self._unreadable: list[UnreadableValue] = []

    def decode(self) -> UpstreamStatement:
        load = self._load()
        cold_left_ms = self._decimal(names.COLD_LEFT)
        is_leaving = self._is_leaving()
        rest_s = self._decimal(names.RETRY_AFTER)
        readable = len(self._unreadable)
        rate_per_s = self._decimal(names.RATE_LIMIT)
        return UpstreamStatement(
            upstream_id=self._upstream_id(),
            load=load,
            cold_left_s=None if cold_left_ms is None else cold_left_ms / 1000,
            states_limit=len(self._unreadable) == readable,
            rate_per_s=rate_per_s,
            is_leaving=is_leaving,
            rest_s=rest_s or 0.0,
            unreadable=tuple(self._unreadable),
        )

    def _single(self, name: bytes) -> bytes | None:
        """Returns the value of a header, None without exactly one."""
        values = self._values.get(name, [])
        if len(values) > 1:
            self._reject(name)
        return values[0] if len(values) == 1 else None

    def _reject(self, name: bytes) -> None:
        values = self._values[name]
        shown = values[0][:_MAX_SHOWN_BYTES].decode("latin-1")
        self._unreadable.append(
            UnreadableValue(name.decode(), len(values), shown)
        )

    def _decimal(self, name: bytes) -> float | None:
        """Returns a decimal number of at least 0 without an exponent."""
        value = self._single(name)
        if value is None:
            return None
        if not _DECIMAL.fullmatch(value):
            self._reject(name)
            return None
        return float(value)

    def _upstream_id(self) -> str:
        return (self._single(names.UPSTREAM_ID) or b"").decode("latin-1")

    def _is_leaving(self) -> bool:
        value = self._single(names.LEAVING)
        if value not in (None, _LEAVING, _STAYING):
            self._reject(names.LEAVING)
        return value == _LEAVING

    def _load(self) -> ReportedLoad | None:
        value = self._single(names.LOAD)
        if value is None:
            return None
        # Later versions of upstreams may add figures at the end.
        parts = [part.strip(b" \t") for part in value.split(b",")]
        known = parts[:_LOAD_FIELDS]
        if len(known) == _LOAD_FIELDS and all(map(_COUNT.fullmatch, known)):
            running, waiting, slots = (int(part) for part in known)
            return ReportedLoad(
                running=running,
                waiting=waiting,
                slots=slots,
                run_time_percent=self._run_time_percent(parts[_LOAD_FIELDS:]),
            )
        self._reject(names.LOAD)
        return None

    def _run_time_percent(self, further: Sequence[bytes]) -> int | None:
        """Returns the first figure after the load, None without meaning."""
        if not further:
            return None
        if _COUNT.fullmatch(further[0]):
            percent = int(further[0])
            if _MIN_RUN_TIME_PERCENT <= percent <= _MAX_RUN_TIME_PERCENT:
                return percent
        self._reject(names.LOAD)
        return None
