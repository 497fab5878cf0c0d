"""Load probes of upstreams without recent traffic.

An upstream with traffic is not probed: its responses carry the same report at
no extra cost. A probe's report can only lower the slots that are used.
"""

import asyncio
import time

import msgspec
from tornado import httputil

from almondstair.body import RequestBody
from almondstair.core.admission import SlotTable
from almondstair.core.admission_records import UpstreamReport
from almondstair.core.model import Configuration
from almondstair.http_client import ExchangeOutcome
from almondstair.http_client import HttpClient
from almondstair.http_client import ResponseSink
from almondstair.http_messages import ResponseHead

PROBE_TIMEOUT_S = 2.0
MAX_RESPONSE_BYTES = 4096


class _BufferedResponse(ResponseSink):
    """Buffers a short response."""

    def __init__(self) -> None:
        self.status = 0
        self.body = b""

    def receive_head(self, head: ResponseHead) -> None:
        self.status = head.status

    async def receive_data(self, chunk: bytes) -> None:
        if len(self.body) + len(chunk) <= MAX_RESPONSE_BYTES:
            self.body += chunk


class Prober:
    """Probes the upstreams whose slots this entry manages."""

    def __init__(
        self, *, slots: SlotTable, client: HttpClient, interval_s: float
    ) -> None:
        """Creates a prober without probes in flight.

        Args:
          slots: receives the reports.
          client: HTTP client for upstreams.
          interval_s: age in seconds of an upstream's last report at which the
            upstream is probed; one without a report is probed at once.
        """
        self._slots = slots
        self._client = client
        self._interval_s = interval_s
        self._in_flight: dict[str, asyncio.Task[None]] = {}

    def start_due_probes(self, *, configuration: Configuration) -> None:
        """Starts the probes that are due."""
        for row in self._slots.status(now_s=time.monotonic()):
            age_s = row.report_age_s
            if age_s is not None and age_s < self._interval_s:
                continue
            upstream = configuration.upstreams.get(row.name)
            if upstream is None or not upstream.load_path:
                continue
            if row.name in self._in_flight:
                continue
            self._in_flight[row.name] = asyncio.ensure_future(
                self._probe(row.name, upstream.address, upstream.load_path)
            )

    def stop(self) -> None:
        """Cancels the probes in flight."""
        for task in self._in_flight.values():
            task.cancel()

    async def _probe(self, name: str, address: str, path: str) -> None:
        try:
            async with asyncio.timeout(PROBE_TIMEOUT_S):
                report = await self._fetch_report(address, path)
        except (OSError, TimeoutError):
            # Without a report, the age of the last one keeps growing.
            return
        finally:
            del self._in_flight[name]
        if report is not None:
            self._slots.record_upstream_report(
                upstream=name, report=report, now_s=time.monotonic()
            )

    async def _fetch_report(
        self, address: str, path: str
    ) -> UpstreamReport | None:
        stream = await self._client.connect(address, fresh=False)
        body = RequestBody()
        body.end()
        response = _BufferedResponse()
        exchange = await self._client.exchange(
            address=address,
            stream=stream,
            start_line=httputil.RequestStartLine("GET", path, "HTTP/1.1"),
            headers=httputil.HTTPHeaders({"Host": address}),
            body=body,
            sink=response,
        )
        if (
            exchange.outcome is not ExchangeOutcome.COMPLETE
            or response.status != 200
        ):
            return None
        try:
            return _decode_report(response.body)
        except msgspec.MsgspecError:
            return None


class _Report(msgspec.Struct):
    """Holds the response body of an upstream's load endpoint."""

    slots: int
    busy: int
    draining: bool = False


def _decode_report(body: bytes) -> UpstreamReport:
    # Not strict: some upstreams report `draining` as 0 or 1.
    report = msgspec.json.decode(body, type=_Report, strict=False)
    return UpstreamReport(
        slots=report.slots, busy=report.busy, draining=report.draining
    )
