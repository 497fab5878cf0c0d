"""Exchange of entry tables and configurations between peers.

When a heartbeat shows that a peer has a newer document, an entry requests it
from that peer. This way changes reach entries that hold no watch, and all
entries while the platform is unavailable. At startup an entry asks the peers in
its settings.
"""

from collections.abc import Callable, Iterable

from almondstair import messages
from almondstair.core.configuration import ConfigurationState
from almondstair.core.configuration import StoredConfiguration
from almondstair.core.entry_table import EntryTable
from almondstair.core.membership import Membership
from almondstair.messages import ConfigurationDocument
from almondstair.messages import ConfigurationRequest
from almondstair.messages import Heartbeat
from almondstair.messages import TableDocument
from almondstair.messages import TableRequest
from almondstair.peers import Peers
from almondstair.store import decode_configuration
from almondstair.store import encode_configuration

# Minimum interval between requests for one kind of document. Many peers report
# the same change; if a request is lost, the next one goes to another peer.
MIN_REQUEST_INTERVAL_S = 0.5
ANY_EPOCH = -1


class DocumentExchange:
    """Requests newer documents from peers and serves such requests.

    Attributes:
      highest_peer_epoch: highest epoch of a table from a peer, 0 before any.
    """

    def __init__(
        self,
        *,
        peer_address: str,
        peers: Peers,
        membership: Membership,
        configuration: ConfigurationState,
        on_table: Callable[[EntryTable], None],
        on_configuration: Callable[[StoredConfiguration], None],
        clock: Callable[[], float],
    ) -> None:
        """Initializes without sending a request.

        Args:
          peer_address: `ip:port` at which this entry receives documents.
          peers: sends messages to peers.
          membership: provides the entry table in force.
          configuration: provides the configuration in force.
          on_table: called with a table that a peer sent.
          on_configuration: called with a configuration that a peer sent; it
            validates the text and applies it.
          clock: returns monotonic seconds.
        """
        self._peer_address = peer_address
        self._peers = peers
        self._membership = membership
        self._configuration = configuration
        self._on_table = on_table
        self._on_configuration = on_configuration
        self._clock = clock
        self._table_requested_s = float("-inf")
        self._configuration_requested_s = float("-inf")
        self.highest_peer_epoch = 0
        self._packed_configuration = b""
        self._packed_version = 0

    def request_from_addresses(self, addresses: Iterable[str]) -> None:
        """Requests documents from peers by address, at startup.

        The caller repeats this until a peer responds: the first request to an
        address is lost while its connection opens.
        """
        for address in addresses:
            if address == self._peer_address:
                continue
            # ANY_EPOCH gets a response even if the table read from the platform
            # is as new: startup has to know that the peers have none newer.
            self._peers.send_to_address(
                address, TableRequest(self._peer_address, ANY_EPOCH)
            )
            self._peers.send_to_address(address, self._configuration_request())

    def on_heartbeat(self, *, name: str, heartbeat: Heartbeat) -> None:
        """Requests the documents that a peer's heartbeat shows as newer."""
        now_s = self._clock()
        if heartbeat.epoch > self._membership.table.epoch:
            if now_s - self._table_requested_s >= MIN_REQUEST_INTERVAL_S:
                self._table_requested_s = now_s
                self._peers.send(name, self._table_request())
        if heartbeat.configuration_version > self._configuration.version:
            if (
                now_s - self._configuration_requested_s
                >= MIN_REQUEST_INTERVAL_S
            ):
                self._configuration_requested_s = now_s
                self._peers.send(name, self._configuration_request())

    def handle_message(self, message: object) -> bool:
        """Handles a message if it belongs to this exchange.

        Returns:
          Whether the message belongs to it.
        """
        if isinstance(message, TableRequest):
            self._send_table(message)
        elif isinstance(message, TableDocument):
            self.highest_peer_epoch = max(
                self.highest_peer_epoch, message.table.epoch
            )
            self._on_table(message.table)
        elif isinstance(message, ConfigurationRequest):
            self._send_configuration(message)
        elif isinstance(message, ConfigurationDocument):
            value = messages.unpack(message.packed)
            self._on_configuration(decode_configuration(value))
        else:
            return False
        return True

    def _table_request(self) -> TableRequest:
        return TableRequest(self._peer_address, self._membership.table.epoch)

    def _configuration_request(self) -> ConfigurationRequest:
        return ConfigurationRequest(
            self._peer_address, self._configuration.version
        )

    def _send_table(self, request: TableRequest) -> None:
        table = self._membership.table
        if table.epoch <= request.epoch:
            return
        self._send_document(request.peer_address, TableDocument(table))

    def _send_configuration(self, request: ConfigurationRequest) -> None:
        stored = self._configuration.in_force
        if stored is None or stored.version <= request.version:
            return
        if self._packed_version != stored.version:
            self._packed_configuration = messages.pack(
                encode_configuration(stored)
            )
            self._packed_version = stored.version
        self._send_document(
            request.peer_address,
            ConfigurationDocument(self._packed_configuration),
        )

    def _send_document(
        self, peer_address: str, document: TableDocument | ConfigurationDocument
    ) -> None:
        for row in self._membership.table.entries:
            if row.peer_address == peer_address:
                self._peers.send(row.name, document)
                return
        self._peers.send_to_address(peer_address, document)
