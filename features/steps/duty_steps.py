"""Steps for the state that a newly started home accepts from its peers."""

import time
from unittest import mock

from behave import given
from behave import then
from behave import when

from almondstair.control import Control
from almondstair.control import ControlParts
from almondstair.core.entry_table import EntryRow
from almondstair.core.heartbeat_payloads import StatusDetail
from almondstair.core.home_records import HomesReport
from almondstair.core.membership import Membership
from almondstair.core.membership_records import incarnation_text
from almondstair.heartbeats import Heartbeats
from almondstair.messages import Heartbeat

_PEER_INCARNATION = 7
_MARKED_UPSTREAM = "bkk-u0"


def _row(name, incarnation):
    return EntryRow(
        name=name,
        availability_zone="bkk-1a",
        region="bkk",
        caller_address="127.0.0.1:1",
        forward_address="127.0.0.1:2",
        peer_address="127.0.0.1:3",
        operator_address="127.0.0.1:4",
        incarnation=incarnation_text(incarnation),
        joined_epoch=1,
        leaving=False,
    )


def _table(*, as_of_s, is_unavailable):
    return mock.Mock(
        leaving_vms=frozenset(),
        vm_list_as_of_s=as_of_s,
        vm_list_unavailable=is_unavailable,
    )


@given("a home that has just started, without the VM list and the entry table")
def step_started(context):
    own = _row("bkk-e0", 1)
    context.now_s = 10.0
    context.sequence = 0
    context.membership = Membership(own=own, silence_limit_s=2.0)
    heartbeats = Heartbeats(
        own=own,
        membership=context.membership,
        configuration=mock.Mock(version=1),
        peers=mock.Mock(),
        clock=lambda: context.now_s,
        own_detail=StatusDetail,
        piggybacked_messages=lambda name: (),
        interval_ms=100,
        silence_limit_ms=2000,
    )
    context.heartbeats = heartbeats
    parts = {name: mock.Mock() for name in ControlParts._fields}
    parts.update(own=own, membership=context.membership)
    context.parts = ControlParts(**parts)

    def record_marks(**_):
        call = context.parts.slot_allocator.slots.set_leaving.call_args
        context.marked_at_report = call.kwargs["names"] if call else ()

    context.parts.homes.record_report.side_effect = record_marks
    context.control = Control(parts=context.parts, tick_s=1.0, refresh_s=1.0)
    configuration = mock.Mock(configuration=None)
    context.control.bind(
        heartbeats=heartbeats,
        exchange=mock.Mock(),
        table=_table(as_of_s=float("-inf"), is_unavailable=True),
        configuration=configuration,
    )


@when("a peer's heartbeat and its report of duties come")
def step_heartbeat_and_report(context):
    context.sequence += 1
    heartbeat = Heartbeat(
        sequence=context.sequence,
        epoch=1,
        configuration_version=1,
        leaving=False,
        finished=False,
        detail=StatusDetail(leaving_upstreams=(_MARKED_UPSTREAM,)),
        view=None,
        digests=(),
    )
    report = HomesReport(
        entry="bkk-e1",
        incarnation=incarnation_text(_PEER_INCARNATION),
        epoch=1,
        sent_s=context.now_s,
        settled=True,
        echo_incarnation="",
        echo_sent_s=None,
        records=(),
    )
    for message in (heartbeat, report):
        context.control.on_message("bkk-e1", _PEER_INCARNATION, message)


@then("the duty was taken, with the peer's mark known before")
def step_report_accepted(context):
    # An entry that has just left the table hands over its home roles in such
    # a report, so it is accepted, but only after the marks of leaving
    # upstreams are known.
    assert context.parts.homes.record_report.called
    names = context.marked_at_report
    assert _MARKED_UPSTREAM in names, names


@when("the VM list, read before that word, goes out, and the peer leaves")
def step_peer_leaves(context):
    context.control._table = _table(as_of_s=0.0, is_unavailable=True)
    context.control.on_table(context.membership.table, True)
    context.control.update_leaving_upstreams()


@then("the entry tells others that it leaves")
def step_reports_leaving(context):
    context.parts.slot_allocator.slots.status.return_value = ()
    context.control._configuration.configuration = mock.Mock(
        upstreams={_MARKED_UPSTREAM: mock.Mock()}, marks=mock.Mock(leaving=())
    )
    context.parts.quarantine.next_marks.return_value = ()
    names = context.control.own_detail().leaving_upstreams
    assert names == (_MARKED_UPSTREAM,), names


@when("its next process says that none leaves")
def step_next_process(context):
    heartbeat = Heartbeat(
        sequence=1,
        epoch=1,
        configuration_version=1,
        leaving=False,
        finished=False,
        detail=StatusDetail(),
        view=None,
        digests=(),
    )
    context.control.on_message("bkk-e1", _PEER_INCARNATION + 1, heartbeat)


@when("the VM list, read after that word, goes out")
def step_read_after(context):
    after_s = time.monotonic() + 1.0
    context.control._table = _table(as_of_s=after_s, is_unavailable=True)
    context.control.update_leaving_upstreams()


@then("the upstream takes {what} work here")
def step_accepts_work(context, what):
    call = context.parts.slot_allocator.slots.set_leaving.call_args
    assert (_MARKED_UPSTREAM in call.kwargs["names"]) == (what == "no new"), (
        call
    )
