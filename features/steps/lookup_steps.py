"""Steps of lookup.feature: lookup order and the table of client blocks."""

import random

from behave import given
from behave import then

from almondstair.core.blocks import BlockSite
from almondstair.core.blocks import table_from_rows
from almondstair.core.blocks import table_from_shards
from almondstair.core.lookup import LookupEntry
from almondstair.core.lookup import LookupTable
from almondstair.core.lookup import caller_block
from almondstair.core.lookup import zone_distances_ms
from almondstair.errors import AlmondstairError
from features.support.steering_world import ZONE
from features.support.steering_world import configuration


def _lookup_table(entries):
    return LookupTable(
        entries=tuple(entries),
        distances_ms=zone_distances_ms(
            configuration=configuration(profile="local"), availability_zone=ZONE
        ),
    )


@given("{count:d} entries in each of the zones {zones}")
def lookup_entries(context, count, zones):
    context.entries = []
    for zone in zones.replace(" and ", ", ").split(", "):
        for number in range(count):
            name = f"{zone}-{number}"
            context.entries.append(LookupEntry(name, zone, "127.0.0.1:1"))
    context.lookup_table = _lookup_table(context.entries)


@then(
    "a look-up for a block names {first:d} entries of {zone} and {last:d} of "
    "{other}"
)
def lookup_names(context, first, zone, last, other):
    block = caller_block(address="192.0.2.7")
    zones = []
    for entry in context.lookup_table.ordered_entries(block=block):
        zones.append(entry.availability_zone)
    assert zones == [zone] * first + [other] * last, zones
    assert context.lookup_table.ordered_entries(
        block=block
    ) is context.lookup_table.ordered_entries(block=block)


@then("{count:d} blocks spread over all entries of {zone}")
def blocks_spread(context, count, zone):
    block_counts = {}
    for number in range(count):
        entry = context.lookup_table.ordered_entries(block=number.to_bytes(3))[
            0
        ]
        assert entry.availability_zone == zone
        block_counts[entry.name] = block_counts.get(entry.name, 0) + 1
    entries_in_zone = 0
    for entry in context.entries:
        entries_in_zone += entry.availability_zone == zone
    assert len(block_counts) == entries_in_zone
    # Allows four standard deviations of a uniform spread.
    expected_count = count / entries_in_zone
    assert (
        min(block_counts.values()) > expected_count - 4 * expected_count**0.5
    ), block_counts
    assert (
        max(block_counts.values()) < expected_count + 4 * expected_count**0.5
    ), block_counts


@then("without one entry only the blocks that used it change")
def only_affected_blocks_change(context):
    removed_entry = context.entries[0]
    reduced_table = _lookup_table(context.entries[1:])
    for number in range(1000):
        block = number.to_bytes(3)
        before = context.lookup_table.ordered_entries(block=block)
        if removed_entry in before:
            continue
        assert reduced_table.ordered_entries(block=block) == before


@then('the block of "{address}" is that of "{other}"')
def same_block(context, address, other):
    assert caller_block(address=address) == caller_block(address=other)


@then('the block of "{address}" is not that of "{other}"')
def other_block(context, address, other):
    assert caller_block(address=address) != caller_block(address=other)


@given("a table of {count:d} client blocks")
def block_table(context, count):
    generator = random.Random(1)
    context.sites = {}
    while len(context.sites) < count:
        width = generator.choice((3, 6))
        block = generator.randbytes(width)
        context.sites[block] = generator.randrange(130)
    rows = []
    for block, site in context.sites.items():
        rows.append(BlockSite(block, site))
    context.blocks = table_from_rows(rows=rows, version=7)


def _assert_sites(table, sites):
    assert len(table) == len(sites)
    for block, site in sites.items():
        assert table.site(block=block) == site


@then("each block is found with its site")
def blocks_found(context):
    _assert_sites(context.blocks, context.sites)


@then("blocks that are not in it have no site")
def blocks_missing(context):
    generator = random.Random(2)
    for _ in range(1000):
        block = generator.randbytes(generator.choice((3, 6)))
        found = context.blocks.site(block=block)
        assert found == context.sites.get(block), block


@then("its shards are below {limit_bytes:d} bytes and give the same table")
def shards_give_same_table(context, limit_bytes):
    values = context.blocks.shards()
    assert len(values) > 1
    for value in values:
        assert len(value) < limit_bytes, len(value)
    table = table_from_shards(values=reversed(values))
    assert table.version == 7
    _assert_sites(table, context.sites)


@then("a table with a shard missing is refused")
def missing_shard_refused(context):
    try:
        table_from_shards(values=context.blocks.shards()[1:])
    except AlmondstairError as error:
        assert error.kind == "configuration_invalid"
        return
    raise AssertionError("a table with a missing shard was accepted")
