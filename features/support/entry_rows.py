"""Rows of the entry table for membership scenarios."""

from almondstair.core.entry_table import EntryRow
from almondstair.core.membership_records import incarnation_text


def row(name, *, availability_zone="west-1", port=1, incarnation=1):
    """Returns the row of an entry that has one address for all listeners."""
    address = f"127.0.0.1:{port}"
    return EntryRow(
        name=name,
        availability_zone=availability_zone,
        region=availability_zone.rpartition("-")[0],
        caller_address=address,
        forward_address=address,
        peer_address=address,
        operator_address=address,
        incarnation=incarnation_text(incarnation),
    )
