"""The pages that the platform and callers ask besides requests."""

import abc

import msgspec
from tornado import httpserver
from tornado import netutil
from tornado import web

# How long callers keep a look-up. A leaving entry serves on for this long, so
# short ones make stops short; each caller asks once in this time.
LOOKUP_TTL_S = 2.0


class PageSource(abc.ABC):
    """What the pages need from the entry."""

    @abc.abstractmethod
    def is_ready(self) -> bool:
        """Whether the entry takes new callers."""

    @abc.abstractmethod
    def addresses(self, *, region: str, caller: str) -> list[str]:
        """Returns entries for a caller of a region."""

    @abc.abstractmethod
    def changes(self, *, source: str, after: int) -> bytes:
        """Returns what another entry lacks of this one's picture."""

    @abc.abstractmethod
    def metrics(self) -> bytes:
        """Returns the metrics in the Prometheus text format."""

    @abc.abstractmethod
    def status(self) -> dict[str, object]:
        """Returns what this entry believes, with the age of each figure."""

    @abc.abstractmethod
    def configuration(self, *, version: int) -> dict[str, object] | None:
        """Returns a configuration that was in force; 0 for the one that is."""

    @abc.abstractmethod
    def lookup_ttl_s(self) -> float:
        """Returns how long callers may keep a look-up, in seconds."""


class _Page(web.RequestHandler):
    def initialize(self, source: PageSource) -> None:
        """Takes the entry behind the page."""
        self.source = source

    def compute_etag(self) -> None:
        """Saves a digest that nobody asks for."""


class ReadyPage(_Page):
    """Says whether the entry takes new callers."""

    def get(self) -> None:
        """Answers 200 when it does, else 503."""
        if not self.source.is_ready():
            self.set_status(503)


class ChangesPage(_Page):
    """Tells other entries what this one took from the store."""

    def get(self) -> None:
        """Answers with the changes after a number of this mirror."""
        source = self.get_query_argument("source", "")
        after = self.get_query_argument("after", "0")
        if not after.isdigit():
            self.set_status(400)
            return
        self.set_header("Content-Type", "application/msgpack")
        self.write(self.source.changes(source=source, after=int(after)))


class MetricsPage(_Page):
    """Shows counters and histograms."""

    def get(self) -> None:
        """Answers in the Prometheus text format."""
        self.set_header("Content-Type", "text/plain; version=0.0.4")
        self.write(self.source.metrics())


class StatusPage(_Page):
    """Shows what this entry believes of the fleet."""

    def get(self) -> None:
        """Answers with JSON for `almondstairctl gateway status`."""
        self.set_header("Content-Type", "application/json")
        self.write(msgspec.json.encode(self.source.status()))


class ConfigurationPage(_Page):
    """Shows a configuration that this entry had in force."""

    def get(self) -> None:
        """Answers with JSON for `almondstairctl gateway config`."""
        version = self.get_query_argument("version", "0")
        if not version.isdigit():
            self.set_status(400)
            return
        found = self.source.configuration(version=int(version))
        if found is None:
            self.set_status(404)
            return
        self.set_header("Content-Type", "application/json")
        self.write(msgspec.json.encode(found))


class LookupPage(_Page):
    """Names the entries that a caller should use."""

    def get(self) -> None:
        """Answers with addresses and how long to keep them."""
        region = self.get_query_argument("region", "")
        caller = self.request.remote_ip or ""
        addresses = self.source.addresses(region=region, caller=caller)
        if not addresses:
            self.set_status(503)
            return
        answer = {
            "addresses": addresses,
            "ttlS": self.source.lookup_ttl_s(),
        }
        self.set_header("Content-Type", "application/json")
        self.write(msgspec.json.encode(answer))


class Pages:
    """Serves pages on the addresses of the settings."""

    def __init__(self, *, source: PageSource) -> None:
        """Makes the servers.

        Args:
          source: the entry behind them.
        """
        self._source = source
        self._servers: list[httpserver.HTTPServer] = []

    def serve_ready(self, address: str) -> None:
        """Serves the page that says whether the entry is ready."""
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
        """Serves other entries."""
        self._listen(address, [("/changes", ChangesPage)])

    def serve_lookups(self, address: str) -> None:
        """Serves look-ups."""
        self._listen(address, [("/resolve", LookupPage)])

    def _listen(
        self, address: str, pages: list[tuple[str, type[_Page]]]
    ) -> None:
        rules: list[tuple[str, type[_Page], dict[str, PageSource]]] = []
        for path, page in pages:
            rules.append((path, page, {"source": self._source}))
        application = web.Application(list(rules), log_function=_no_log)
        server = httpserver.HTTPServer(application)
        ip, _, port = address.rpartition(":")
        server.add_sockets(netutil.bind_sockets(int(port), address=ip))
        self._servers.append(server)

    def stop(self) -> None:
        """Takes no more connections."""
        for server in self._servers:
            server.stop()


def _no_log(_: web.RequestHandler) -> None:
    """Keeps tornado from logging each page; refusals show in our own log."""
