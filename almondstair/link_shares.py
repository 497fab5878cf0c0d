"""This entry's shares of its links: epochs, acknowledgements, loans."""

from collections.abc import Callable
import time
from typing import NamedTuple

from almondstair.core.entry_table import EntryRow
from almondstair.core.entry_table import EntryTable
from almondstair.core.links import LinkShare
from almondstair.core.loans import Loan
from almondstair.core.loans import LoanRequest
from almondstair.core.model import Configuration
from almondstair.core.model import Link
from almondstair.link_pacers import LinkPacer
from almondstair.link_pacers import LinkPacers
from almondstair.link_pacers import window_bytes
from almondstair.messages import EpochAcknowledgement

OUTBOUND = ">"
INBOUND = "<"


class LinkShares:
    """Holds one `LinkShare` for each direction of each link."""

    def __init__(
        self,
        *,
        own: EntryRow,
        incarnation: int,
        pacers: LinkPacers,
        send: Callable[[str, NamedTuple], object],
    ) -> None:
        """Creates shares without a link.

        Args:
          own: this entry's row.
          incarnation: random number that identifies this process.
          pacers: receives the pacers of each link.
          send: sends a message to an entry, given the entry's name.
        """
        self._own = own
        self._incarnation = incarnation
        self._pacers = pacers
        self._send = send
        self._shares: dict[str, LinkShare] = {}
        self._links: dict[str, Link] = {}
        self._table = EntryTable()
        self._table_from_platform = False
        self._acknowledged_epochs: dict[str, int] = {}

    def configure(self, *, configuration: Configuration) -> None:
        """Applies the links of this availability zone."""
        links = {}
        for link in configuration.links:
            if link.availability_zone == self._own.availability_zone:
                links[link.region] = link
        for region in self._pacers.regions():
            if region not in links:
                self._remove(region)
        for region, link in links.items():
            self._pacers.set_window_bytes(
                region=region,
                size_bytes=window_bytes(
                    cap_bytes_per_s=link.cap_bytes_per_s,
                    latency_ms=link.latency_ms,
                ),
            )
            if region in self._links:
                self._set_cap(link)
                continue
            self._add(link)
        self._links = links

    def update_table(self, *, table: EntryTable, from_platform: bool) -> None:
        """Applies an entry table.

        Args:
          table: the table.
          from_platform: whether this process read it from the platform.
        """
        self._table = table
        self._table_from_platform = self._table_from_platform or from_platform
        for share in self._shares.values():
            self._apply_table(share, from_platform)

    def record_acknowledged_epoch(self, *, entry: str, epoch: int) -> None:
        """Records the epoch that another entry acknowledged."""
        self._acknowledged_epochs[entry] = epoch
        now_s = time.monotonic()
        for share in self._shares.values():
            share.record_acknowledgement(entry=entry, epoch=epoch, now_s=now_s)

    def acknowledgement(self) -> EpochAcknowledgement | None:
        """Returns the acknowledgement for the entries of this zone.

        It has the lowest epoch that a share acknowledges, or the epoch of the
        entry table if there is no link.
        """
        now_s = time.monotonic()
        lowest: int | None = None
        for share in self._shares.values():
            epoch = share.acknowledged_epoch(now_s=now_s)
            if lowest is None or epoch < lowest:
                lowest = epoch
        if lowest is None:
            return EpochAcknowledgement(self._table.epoch)
        return EpochAcknowledgement(lowest)

    def request_loans(self) -> None:
        """Requests loans from peers for shares that are too small."""
        now_s = time.monotonic()
        for share in self._shares.values():
            for request in share.next_loan_requests(now_s=now_s):
                self._send(request.lender, request)

    def handle_loan_request(self, request: LoanRequest) -> None:
        """Handles a peer's loan request."""
        share = self._shares.get(request.link)
        if share is None:
            return
        loan = share.lend(request=request, now_s=time.monotonic())
        if loan is not None:
            self._send(request.borrower, loan)

    def accept_loan(self, loan: Loan) -> None:
        """Applies a loan from a peer."""
        share = self._shares.get(loan.link)
        if share is not None:
            share.accept(loan=loan, now_s=time.monotonic())

    def is_ready(self) -> bool:
        """Returns whether every link has a share above 0."""
        now_s = time.monotonic()
        for share in self._shares.values():
            if not share.status(now_s=now_s).allowance_bytes_per_s:
                return False
        return True

    def release_all(self) -> None:
        """Releases every share permanently."""
        now_s = time.monotonic()
        for share in self._shares.values():
            share.release(now_s=now_s)

    def _add(self, link: Link) -> None:
        self._pacers.add(
            region=link.region,
            outbound=LinkPacer(share=self._make_share(link, OUTBOUND)),
            inbound=LinkPacer(share=self._make_share(link, INBOUND)),
        )

    def _make_share(self, link: Link, direction: str) -> LinkShare:
        name = f"{link.availability_zone}{direction}{link.region}"
        now_s = time.monotonic()
        share = LinkShare(
            link=name,
            entry_name=self._own.name,
            incarnation=self._incarnation,
            cap_bytes_per_s=link.cap_bytes_per_s,
            now_s=now_s,
        )
        self._shares[name] = share
        self._apply_table(share, self._table_from_platform)
        for entry, epoch in self._acknowledged_epochs.items():
            share.record_acknowledgement(entry=entry, epoch=epoch, now_s=now_s)
        return share

    def _apply_table(self, share: LinkShare, from_platform: bool) -> None:
        names = []
        for row in self._table.entries:
            if row.availability_zone == self._own.availability_zone:
                names.append(row.name)
        share.apply_table(
            epoch=self._table.epoch,
            entries=tuple(names),
            from_platform=from_platform,
            now_s=time.monotonic(),
        )

    def _set_cap(self, link: Link) -> None:
        for pacer in self._pacers.pacers(region=link.region):
            pacer.share.set_cap(
                cap_bytes_per_s=link.cap_bytes_per_s, now_s=time.monotonic()
            )

    def _remove(self, region: str) -> None:
        for pacer in self._pacers.pacers(region=region):
            pacer.share.release(now_s=time.monotonic())
            self._shares.pop(pacer.share.link, None)
        self._pacers.remove(region=region)
