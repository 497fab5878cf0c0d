"""A sender of requests whose neighbours are stand-ins."""

import asyncio
from unittest import mock

from almondstair.clock import now_s
from almondstair.core.choosing import Choice
from almondstair.core.fleet import Fleet
from almondstair.core.upstream_limits import UpstreamLimits
from almondstair.core.upstream_state import UpstreamRecord
from almondstair.gateway.gateway_metrics import GatewayMetrics
from almondstair.gateway.statement_recorder import StatementRecorder
from almondstair.gateway.upstream_sender import UpstreamSender


def make_recorder(context):
    """Returns a recorder of the scenario's entry."""
    return StatementRecorder(
        fleet=context.fleet,
        pool=context.pool,
        limits=UpstreamLimits(),
    )


def make_sender(context):
    """Creates a sender, one upstream and a call, with stand-ins around them."""
    context.fleet = Fleet(own_name="e", own_region="r", zones={"z": "r"})
    record = UpstreamRecord("u", "s", "a:1", "z", "v", 4, False, 0.0)
    context.fleet.apply_upstream(record, now_s=now_s())
    [context.upstream] = context.fleet.eligible_upstreams("s")
    context.pool = mock.Mock(**{"acquire_idle.return_value": None})
    context.connection = mock.Mock()
    context.connector = mock.Mock(
        connect=mock.AsyncMock(return_value=context.connection)
    )
    context.crash_reports = mock.Mock(
        **{"latest_possibly_crashed.return_value": frozenset()}
    )
    context.link_monitor = mock.MagicMock(
        **{"are_quiet.return_value": False, "links.is_partitioned": False}
    )
    context.sender = UpstreamSender(
        fleet=context.fleet,
        pool=context.pool,
        cold_start_limiter=mock.Mock(),
        crash_reports=context.crash_reports,
        metrics=GatewayMetrics(),
        connector=context.connector,
        placer=mock.Mock(),
        statement_recorder=make_recorder(context),
        link_monitor=context.link_monitor,
    )
    context.call = mock.Mock(
        tried=[],
        attempts=0,
        may_have_run=False,
        possibly_crashed=frozenset(),
        service="s",
        request_id=b"r",
        relayed=None,
        organisation=None,
        hides_key=False,
    )
    context.call.remaining_s.return_value = 1.0
    context.call.request.headers = []
    context.call.request.body_length = 0
    context.choice = mock.Mock(spec=Choice, upstream=context.upstream)
    context.choice.expected_s = 0.1


def send(context):
    """Sends the call to the upstream, and keeps the outcome."""
    sending = context.sender.send(context.call, context.choice)
    context.outcome = asyncio.run(sending)
