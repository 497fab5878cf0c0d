"""HTTP pages for the platform, operators, peers and callers' lookups."""

import abc

import msgspec
from tornado import httpserver
from tornado import netutil
from tornado import web

from almondstair.decoding import parse_decimal

# How long callers cache a lookup. A stopping entry serves for this long, so a
# short time makes stops short; each caller sends one lookup in this time.
LOOKUP_TTL_S = 2.0
# Longest request of a page; a page takes no body.
MAX_REQUEST_BYTES = 64 * 1024


class PageData(abc.ABC):
    """Supplies the content of the pages."""

    @abc.abstractmethod
    def is_ready(self) -> bool:
        """Returns whether the entry accepts new callers."""

    @abc.abstractmethod
    def addresses(self, *, region: str, caller: str) -> list[str]:
        """Returns addresses of entries for a caller of a region."""

    @abc.abstractmethod
    def mirror_changes(self, *, source: str, after: int) -> bytes:
        """Returns the encoded store changes that another entry lacks."""

    @abc.abstractmethod
    def metrics(self) -> bytes:
        """Returns the metrics in the Prometheus text format."""

    @abc.abstractmethod
    def status(self) -> dict[str, object]:
        """Returns this entry's view of the fleet, with the age of its data."""

    @abc.abstractmethod
    def configuration(self, *, version: int) -> dict[str, object] | None:
        """Returns a past configuration, or the one in force for 0."""

    @abc.abstractmethod
    def lookup_ttl_s(self) -> float:
        """Returns how long callers may cache a lookup, in seconds."""


class _Page(web.RequestHandler):
    def initialize(self, source: PageData) -> None:
        """Sets the source of the page's content."""
        self.source = source

    def compute_etag(self) -> None:
        """Skips the digest of each response, which no client uses."""


class ReadyPage(_Page):
    """Shows whether the entry accepts new callers."""

    def get(self) -> None:
        """Responds 200 if it does, else 503."""
        if not self.source.is_ready():
            self.set_status(503)


class ChangesPage(_Page):
    """Sends this entry's copy of the store's data to other entries."""

    def get(self) -> None:
        """Responds with the changes after a given number of this mirror."""
        source = self.get_query_argument("source", "")
        after = parse_decimal(self.get_query_argument("after", "0"))
        if after is None:
            self.set_status(400)
            return
        self.set_header("Content-Type", "application/msgpack")
        self.write(self.source.mirror_changes(source=source, after=after))


class MetricsPage(_Page):
    """Shows counters and histograms."""

    def get(self) -> None:
        """Responds in the Prometheus text format."""
        self.set_header("Content-Type", "text/plain; version=0.0.4")
        self.write(self.source.metrics())


class StatusPage(_Page):
    """Shows this entry's view of the fleet."""

    def get(self) -> None:
        """Responds with JSON for `almondstairctl gateway status`."""
        self.set_header("Content-Type", "application/json")
        self.write(msgspec.json.encode(self.source.status()))


class ConfigurationPage(_Page):
    """Shows a configuration that is or was in force at this entry."""

    def get(self) -> None:
        """Responds with JSON for `almondstairctl gateway config`."""
        version = parse_decimal(self.get_query_argument("version", "0"))
        if version is None:
            self.set_status(400)
            return
        found = self.source.configuration(version=version)
        if found is None:
            self.set_status(404)
            return
        self.set_header("Content-Type", "application/json")
        self.write(msgspec.json.encode(found))


class LookupPage(_Page):
    """Resolves the entries that a caller should use."""

    def get(self) -> None:
        """Responds with addresses and how long to cache them."""
        region = self.get_query_argument("region", "")
        caller = self.request.remote_ip or ""
        addresses = self.source.addresses(region=region, caller=caller)
        if not addresses:
            self.set_status(503)
            return
        response = {
            "addresses": addresses,
            "ttlS": self.source.lookup_ttl_s(),
        }
        self.set_header("Content-Type", "application/json")
        self.write(msgspec.json.encode(response))


class Pages:
    """Serves the pages on their addresses."""

    def __init__(self, *, source: PageData) -> None:
        """Creates the pages without listening.

        Args:
          source: supplies their content.
        """
        self._source = source
        self._servers: list[httpserver.HTTPServer] = []

    def serve_ready(self, address: str) -> None:
        """Serves the readiness page."""
        self._listen(address, [("/ready", ReadyPage)])

    def serve_operators(self, address: str) -> None:
        """Serves metrics, status and configurations."""
        self._listen(
            address,
            [
                ("/metrics", MetricsPage),
                ("/status", StatusPage),
                ("/configuration", ConfigurationPage),
            ],
        )

    def serve_peers(self, address: str) -> None:
        """Serves store changes to other entries."""
        self._listen(address, [("/changes", ChangesPage)])

    def serve_lookups(self, address: str) -> None:
        """Serves lookups."""
        self._listen(address, [("/resolve", LookupPage)])

    def _listen(
        self, address: str, pages: list[tuple[str, type[_Page]]]
    ) -> None:
        rules: list[tuple[str, type[_Page], dict[str, PageData]]] = []
        for path, page in pages:
            rules.append((path, page, {"source": self._source}))
        application = web.Application(
            list(rules), log_function=_skip_access_log
        )
        server = httpserver.HTTPServer(
            application,
            max_buffer_size=2 * MAX_REQUEST_BYTES,
            max_header_size=MAX_REQUEST_BYTES,
            max_body_size=MAX_REQUEST_BYTES,
        )
        ip, _, port = address.rpartition(":")
        server.add_sockets(netutil.bind_sockets(int(port), address=ip))
        self._servers.append(server)

    def stop(self) -> None:
        """Stops accepting connections."""
        for server in self._servers:
            server.stop()


def _skip_access_log(_: web.RequestHandler) -> None:
    """Disables tornado's access log; rejections are in the gateway's log."""
