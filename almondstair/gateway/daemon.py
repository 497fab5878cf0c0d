"""almondstair-gateway: the daemon of an entry VM on the users' platform."""

import asyncio
from collections.abc import Awaitable, Callable
import gc
import os
import signal
import sys
import uuid

import msgspec

from almondstair import log
from almondstair.clock import now_s
from almondstair.core.cold_starts import ColdStarts
from almondstair.core.crash_suspects import CrashSuspects
from almondstair.core.fleet import Fleet
from almondstair.core.known_places import KnownPlaces
from almondstair.core.look_ups import LookUps
from almondstair.core.placing import Placing
from almondstair.core.region_shares import RegionShares
from almondstair.core.run_times import RunTimes
from almondstair.core.second_tries import SecondTries
from almondstair.errors import AlmondstairError
from almondstair.gateway.caller_connection import CallerConnection
from almondstair.gateway.crash_words import CrashWords
from almondstair.gateway.following import Follower
from almondstair.gateway.forwarding import Forwarder
from almondstair.gateway.load_sharing import LoadSharing
from almondstair.gateway.measures import Measures
from almondstair.gateway.overview import Overview
from almondstair.gateway.pages import LOOKUP_TTL_S
from almondstair.gateway.pages import Pages
from almondstair.gateway.pages import PageSource
from almondstair.gateway.reaching import Reaching
from almondstair.gateway.registering import Registration
from almondstair.gateway.settings_watch import SettingsWatch
from almondstair.gateway.tries import Tries
from almondstair.gateway.upstream_pool import UpstreamPool
from almondstair.platform import boot
from almondstair.platform import documents
from almondstair.platform import headers
from almondstair.platform.kv import KvClient

# Objects made between two looks of the garbage collector at young ones; its
# default of 700 is reached every few requests.
OBJECTS_PER_COLLECTION = 20_000
ACCEPT_BACKLOG = 512
# How long before the platform's SIGKILL a leaving process has to be gone.
STOP_MARGIN_S = 0.5
# Part of the time for a stop in which requests are still taken.
SERVED_SHARE = 0.5
# Port for metrics and status, on the VM's own address; see deploy/system.toml.
OPERATOR_PORT = "9464"
# Overrides the port where several gateways share a VM.
OPERATOR_PORT_VARIABLE = "ALMONDSTAIR_OPERATOR_PORT"
# How often waiting log lines are tried again.
LOG_INTERVAL_S = 0.5
# Pause before upkeep that failed begins anew.
UPKEEP_PAUSE_S = 0.5
# How often a leaving process looks whether it is done.
STOP_POLL_S = 0.05
# Callers keep a look-up for its time, some three times as long.
LOOKUP_KEPT_TIMES = 1.5


class Gateway(PageSource):
    """Everything that one entry runs."""

    def __init__(self, *, settings: boot.BootSettings, path: str) -> None:
        """Makes the parts; nothing listens yet.

        Args:
          settings: what the process was told at its start.
          path: the file they came from, which may change.
        """
        self._settings = settings
        self._settings_watch = SettingsWatch(
            path=path, settings=settings, take=self._take_settings
        )
        self._fleet = Fleet(
            own_name=settings.entry_name,
            own_region=settings.region,
            zones=settings.zones,
        )
        self._pool = UpstreamPool(id_header=headers.REQUEST_ID)
        self._client = KvClient(address=settings.store.address)
        self._follower = Follower(
            client=self._client,
            fleet=self._fleet,
            pool=self._pool,
            own_name=settings.entry_name,
            own_zone=settings.availability_zone,
            seeds=_other_seeds(settings),
        )
        self._look_ups = LookUps()
        self._entries_version = -1
        self._measures = Measures()
        self._places = KnownPlaces()
        suspects = CrashSuspects()
        self._sharing = LoadSharing(
            fleet=self._fleet,
            pool=self._pool,
            suspects=suspects,
            places=self._places,
            own_name=settings.entry_name,
            own_zone=settings.availability_zone,
            link_mbps=settings.means.link_mbps,
        )
        self._suspects = CrashWords(
            suspects=suspects,
            sharing=self._sharing,
            own_name=settings.entry_name,
        )
        self._make_forwarding()
        self._registration = self._make_registration()
        self._overview = Overview(
            entry_name=settings.entry_name,
            fleet=self._fleet,
            pool=self._pool,
            client=self._client,
            follower=self._follower,
            measures=self._measures,
            running=self._forwarder.running,
        )
        self._pages = Pages(source=self)
        self._connections: set[CallerConnection] = set()
        self._server: asyncio.Server | None = None
        self._tasks: dict[str, asyncio.Task[None]] = {}
        self._leaving = False

    def _make_forwarding(self) -> None:
        settings = self._settings
        bounds = settings.bounds
        self._second_tries = SecondTries(
            ratio=bounds.retry_ratio,
            slack=bounds.retry_slack,
            window_s=bounds.retry_window_s,
        )
        self._region_shares = RegionShares(
            own_region=settings.region, most_change=bounds.region_change
        )
        self._cold_starts = ColdStarts(
            own_name=settings.entry_name,
            over=bounds.cold_over,
            slack=bounds.cold_slack,
        )
        self._reaching = Reaching(
            fleet=self._fleet,
            pool=self._pool,
            suspects=self._suspects,
            own_region=settings.region,
            regions=settings.zones.values(),
        )
        placing = Placing(
            fleet=self._fleet,
            run_times=RunTimes(),
            places=self._places,
            region_shares=self._region_shares,
            cold_starts=self._cold_starts,
            round_trips_s=self._reaching.round_trips_s,
        )
        tries = Tries(
            fleet=self._fleet,
            pool=self._pool,
            cold_starts=self._cold_starts,
            suspects=self._suspects,
            measures=self._measures,
            reaching=self._reaching,
            placing=placing,
        )
        self._forwarder = Forwarder(
            fleet=self._fleet,
            tries=tries,
            placing=placing,
            second_tries=self._second_tries,
            suspects=self._suspects,
            measures=self._measures,
        )

    def _make_registration(self) -> Registration:
        settings = self._settings
        return Registration(
            client=self._client,
            fleet=self._fleet,
            name=settings.entry_name,
            record=documents.EntryRecord(
                callers=settings.listen.callers,
                peers=f"{settings.ip}:{settings.peer_ports[0]}",
                region=settings.region,
                availability_zone=settings.availability_zone,
                incarnation=uuid.uuid4().hex,
                cores=settings.means.cores,
                link_mbps=settings.means.link_mbps,
            ),
            shortest_lease_s=settings.store.shortest_lease_s,
        )

    # Pages.

    def is_ready(self) -> bool:
        """Whether the entry takes new callers."""
        return self._fleet.ready and not self._leaving

    def addresses(self, *, region: str, caller: str) -> list[str]:
        """Returns entries for a caller of a region."""
        if self._entries_version != self._fleet.entries_version:
            self._entries_version = self._fleet.entries_version
            self._look_ups.take_entries(self._fleet.entries.values())
        found = self._look_ups.named(region=region, caller=caller)
        if not found and not self._leaving:
            found = [self._settings.listen.callers]
        return found

    def lookup_ttl_s(self) -> float:
        """Returns how long callers may keep a look-up, in seconds."""
        return min(LOOKUP_TTL_S, self._settings.bounds.lookup_ttl_s)

    def changes(self, *, source: str, after: int) -> bytes:
        """Returns what another entry lacks of this one's picture."""
        page = self._follower.mirror_page(source=source, after=after)
        return msgspec.msgpack.encode(page)

    def metrics(self) -> bytes:
        """Returns the metrics, with the gauges as of now."""
        return self._overview.metrics()

    def status(self) -> dict[str, object]:
        """Returns what this entry believes, with the age of each figure."""
        return self._overview.status(
            ready=self.is_ready(), leaving=self._leaving
        )

    def configuration(self, *, version: int) -> dict[str, object] | None:
        """Returns a configuration that was in force; 0 for the one that is."""
        return self._overview.configuration(version=version)

    # Life.

    async def start(self) -> None:
        """Listens on every address and starts to follow the store."""
        listen = self._settings.listen
        peers = f"{self._settings.ip}:{self._settings.peer_ports[0]}"
        self._pages.serve_peers(peers)
        if listen.peers:
            self._pages.serve_peers(listen.peers)
        port = os.environ.get(OPERATOR_PORT_VARIABLE, OPERATOR_PORT)
        self._pages.serve_operators(f"{self._settings.ip}:{port}")
        if listen.lookups:
            self._pages.serve_lookups(listen.lookups)
        ip, _, port = listen.callers.rpartition(":")
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            self._accept, ip, int(port), backlog=ACCEPT_BACKLOG
        )
        await self._sharing.listen(
            ip=self._settings.ip, port=self._settings.peer_ports[0]
        )
        # Last: who gets an answer here may count on every other address.
        # Opened first, on a busy VM it answered 0.1 s before callers could
        # connect.
        self._pages.serve_ready(listen.ready)
        self._spawn("log", _tend_log)
        self._spawn("settings", self._settings_watch.run)
        self._spawn("loads", self._sharing.run)
        self._spawn("store", self._follower.run)
        self._spawn("lapses", self._follower.expire)
        self._spawn("registration", self._registration.run)
        log.event(
            log.Event.GATEWAY_STARTED,
            entry=self._settings.entry_name,
            availability_zone=self._settings.availability_zone,
        )

    def _spawn(self, name: str, work: Callable[[], Awaitable[None]]) -> None:
        self._tasks[name] = asyncio.ensure_future(_keep_going(name, work))

    def _accept(self) -> CallerConnection:
        connection = CallerConnection(
            handler=self._forwarder, connections=self._connections
        )
        if self._leaving:
            connection.leave()
        return connection

    def reload(self) -> None:
        """Reads the settings file again; addresses need a restart."""
        self._settings_watch.reload()

    def _take_settings(self, settings: boot.BootSettings) -> None:
        before = self._settings
        self._settings = settings
        bounds = settings.bounds
        self._second_tries.set_bounds(
            ratio=bounds.retry_ratio,
            slack=bounds.retry_slack,
            window_s=bounds.retry_window_s,
        )
        self._region_shares.most_change = bounds.region_change
        self._cold_starts.set_bounds(
            over=bounds.cold_over, slack=bounds.cold_slack
        )
        if settings.zones != before.zones:
            self._fleet.take_zones(settings.zones)
            self._reaching.know_regions(settings.zones.values())
        if settings.seeds != before.seeds:
            self._follower.take_seeds(_other_seeds(settings))
        if settings.store.address != before.store.address:
            self._client.move(settings.store.address)
            self._follower.list_anew()

    async def stop(self) -> None:
        """Leaves without cutting off a request.

        Look-ups stop naming this entry at once; it serves on while callers
        may still keep an older look-up, and as long as requests run.
        """
        began_s = now_s()
        self._leaving = True
        log.event(
            log.Event.GATEWAY_LEAVING, running=len(self._forwarder.running)
        )
        for connection in list(self._connections):
            connection.leave()
        self._tasks["registration"].cancel()
        await self._registration.end()
        await self._serve_out(began_s)
        await self._close()
        log.event(log.Event.GATEWAY_STOPPED, cut=len(self._forwarder.running))

    async def _serve_out(self, began_s: float) -> None:
        """Serves while callers keep look-ups, then ends what is open.

        What goes wrong without the refusals: callers use their connections
        until they are closed, and a request that comes shortly before the end
        is cut. It is refused with a time to come back instead.
        """
        stop_s = self._settings.bounds.stop_s
        kept_s = self.lookup_ttl_s() * LOOKUP_KEPT_TIMES
        refuse_s = began_s + min(kept_s, SERVED_SHARE * stop_s)
        while now_s() < began_s + stop_s - STOP_MARGIN_S:
            await asyncio.sleep(STOP_POLL_S)
            if now_s() < refuse_s:
                continue
            if not self._forwarder.refusing:
                self._forwarder.refusing = True
                self._stop_listening()
            for connection in list(self._connections):
                connection.close_if_quiet()
            if not self._connections:
                return

    def _stop_listening(self) -> None:
        if self._server is not None:
            self._server.close()

    async def _close(self) -> None:
        self._stop_listening()
        self._pages.stop()
        for task in self._tasks.values():
            task.cancel()
        self._reaching.close()
        self._pool.close()
        self._client.close()


def _other_seeds(settings: boot.BootSettings) -> list[str]:
    own = settings.listen.peers
    return [seed for seed in settings.seeds if seed != own]


async def _keep_going(name: str, work: Callable[[], Awaitable[None]]) -> None:
    """Does upkeep that must not end, and begins it anew when it fails.

    What goes wrong without: one message that nobody foresaw ends the upkeep,
    and the entry serves on from a picture that grows old; or it ends the
    process, at the same moment on every VM.
    """
    while True:
        try:
            await work()
        except Exception as error:
            log.event(
                log.Event.ROUND_FAILED, error=error, detail=f"upkeep: {name}"
            )
        await asyncio.sleep(UPKEEP_PAUSE_S)


async def _tend_log() -> None:
    """Writes on what a slow reader of the log left waiting."""
    while True:
        await asyncio.sleep(LOG_INTERVAL_S)
        untold = log.take_untold()
        if untold:
            log.event(log.Event.LINES_LEFT_OUT, lines=untold)


async def _run(settings: boot.BootSettings, path: str) -> None:
    stopping = asyncio.Event()
    loop = asyncio.get_running_loop()
    gateway = Gateway(settings=settings, path=path)
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stopping.set)
    loop.add_signal_handler(signal.SIGHUP, gateway.reload)
    await gateway.start()
    gc.collect()
    gc.freeze()
    gc.set_threshold(OBJECTS_PER_COLLECTION)
    await stopping.wait()
    await gateway.stop()


def main() -> None:
    """Reads the settings and serves until SIGTERM."""
    log.setup_output(level="INFO")
    try:
        path = os.environ.get(boot.PATH_VARIABLE, "")
        settings = boot.load(path)
        asyncio.run(_run(settings, path))
    except AlmondstairError as error:
        print(f"almondstair-gateway: {error}", file=sys.stderr)
        sys.exit(error.rule.exit_code)


if __name__ == "__main__":
    main()
