"""Steps for the VMs that lookups name, without sockets."""

from collections import Counter
import random

from behave import given
from behave import then
from behave import when

from almondstair.core.entry_directory import EntryDirectory
from almondstair.core.registered_entries import Entry

_CALLERS = [f"10.9.{number // 250}.{number % 250}" for number in range(2000)]


@given(
    "a region of 2 zones with {large:d} large VMs and {small:d} small ones each"
)
def step_region(context, large, small):
    context.vms = []
    for zone in ("a", "b"):
        for number in range(large):
            context.vms.append(_vm(f"{zone}-large-{number}", zone, 2.15, 200))
        for number in range(small):
            context.vms.append(_vm(f"{zone}-small-{number}", zone, 0.43, 10))
    context.directory = EntryDirectory()
    context.directory.set_entries(context.vms)


def _vm(name, zone, cores, link_mbps):
    return Entry(name, f"callers:{name}", "p", "r", zone, cores, link_mbps)


def _lookup_all(context):
    return [
        context.directory.addresses_for(region="r", caller=caller)
        for caller in _CALLERS
    ]


@when("2000 callers look up and pick any of the named")
def step_pick(context):
    rng = random.Random(5)
    context.lists = _lookup_all(context)
    context.picked = Counter()
    for named in context.lists:
        context.picked[rng.choice(named)] += 1


@then("each large VM gets {least:d} to {most:d} times what a small one gets")
def step_weights(context, least, most):
    small = []
    large = []
    for vm in context.vms:
        counts = large if "large" in vm.name else small
        counts.append(context.picked[vm.callers])
    mean_small = sum(small) / len(small)
    for count in large:
        assert least <= count / mean_small <= most, (large, small)


@then("every list names VMs of both zones")
def step_both_zones(context):
    for named in context.lists:
        zones = {address.split(":")[1][0] for address in named}
        assert zones == {"a", "b"}, named


@then("a caller that asks again is told the same")
def step_same(context):
    context.directory.set_entries(context.vms)
    assert _lookup_all(context) == context.lists


@then("each look-up names {count:d} VMs")
def step_all_named(context, count):
    for named in _lookup_all(context):
        assert len(set(named)) == count, named


@when("a small VM ends")
def step_vm_ends(context):
    context.lists = _lookup_all(context)
    context.ended = next(vm for vm in context.vms if "small" in vm.name)
    left = [vm for vm in context.vms if vm != context.ended]
    context.directory.set_entries(left)


@then("only lists that named it have changed, by one VM each")
def step_own_callers(context):
    for before, after in zip(context.lists, _lookup_all(context), strict=True):
        gone = set(before) - set(after)
        if context.ended.callers in before:
            assert gone == {context.ended.callers}, (before, after)
            continue
        assert not gone, (before, after)
