"""Steps of observing.feature: logs, metrics and traces."""

import json
import logging
import re
import secrets
import socket

from behave import given
from behave import then
from behave import when
from prometheus_client.metrics import MetricWrapperBase

from almondstair.gateway.gateway_metrics import GatewayMetrics
from almondstair.log import Event
from almondstair.metrics import Metric
from features.support import documentation_rows
from features.support.deployment import Deployment
from features.support.deployment import Shape
from features.support.harness import ROOT
from features.support.harness import get
from features.support.harness import send
from features.support.harness import wait_until

PREFIX = "almondstair"
SPANS = ("entry", "forward", "admit", "upstream")


def _page_rows(name):
    text = (ROOT / "docs" / name).read_text(encoding="utf-8")
    return documentation_rows.page_rows(text, heading="## The table")


def _read_source():
    """Returns the package's code without the lists of events and metrics."""
    parts = []
    for path in sorted((ROOT / "almondstair").rglob("*.py")):
        if path.name not in ("log.py", "metrics.py"):
            parts.append(path.read_text(encoding="utf-8"))
    return "\n".join(parts)


@then("the table of LOG-EVENTS.md has just the events of the code")
def step_events(context):
    expected = []
    for event in Event:
        rule = event.value
        level = logging.getLevelName(rule.level)
        name = f"`{event.name.lower()}`"
        expected.append((str(rule.number), name, level, rule.text))
    rows = _page_rows("LOG-EVENTS.md")
    assert [row[:4] for row in rows] == expected
    for row in rows:
        assert row[4], f"no words for {row}"


@then("no two events have one number")
def step_numbers(context):
    numbers = [event.value.number for event in Event]
    assert len(set(numbers)) == len(numbers), numbers


@then("each event is logged somewhere")
def step_events_used(context):
    source = _read_source()
    for event in Event:
        assert re.search(rf"\blog\.Event\.{event.name}\b", source), event


@then("the table of METRICS.md has just the metrics of the code")
def step_metrics(context):
    rows = _page_rows("METRICS.md")
    names = [row[0].strip("`") for row in rows]
    assert names == [metric.value for metric in Metric]
    for row in rows:
        labelled = row[2] != "-"
        assert labelled == ("*" in row[0]), row
        assert row[3], f"no words for {row}"


@then("the table of the gateway's metrics has just those of the code")
def step_gateway_metrics(context):
    text = (ROOT / "docs" / "METRICS.md").read_text(encoding="utf-8")
    rows = documentation_rows.page_rows(text, heading="## The gateway")
    page = {}
    for row in rows:
        labels = tuple(part.strip("` ") for part in row[2].split(","))
        page[row[0].strip("`")] = (row[1], () if labels == ("-",) else labels)
    code = {}
    for metric in vars(GatewayMetrics()).values():
        if isinstance(metric, MetricWrapperBase):
            code[metric._name] = (metric._type, metric._labelnames)
    assert page == code, (page, code)


@then("each metric is counted somewhere")
def step_metrics_used(context):
    source = _read_source()
    for metric in Metric:
        assert re.search(rf"\bMetric\.{metric.name}\b", source), metric


@given("a statsd listener")
def step_listener(context):
    context.listener = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    context.listener.bind(("127.0.0.1", 0))
    context.listener.setblocking(False)
    context.add_cleanup(context.listener.close)
    context.metric_names = set()


@given("an upstream in bkk, an entry each in bkk and cnx that send it metrics")
def step_observed(context):
    port = context.listener.getsockname()[1]
    context.deployment = Deployment(
        processes=context.processes,
        shape=Shape(entries={"bkk": 1, "cnx": 1}, upstreams={"bkk": 1}),
    )
    context.deployment.start(
        settings=f'[metrics]\nstatsd_address = "127.0.0.1:{port}"\n'
        f'prefix = "{PREFIX}"\n[log]\nlevel = "DEBUG"\n'
    )


def _send_order(context):
    return send(
        "GET",
        context.deployment.entries["cnx-e0"]["caller"],
        "/matching/orders/1",
        headers={"traceparent": context.traceparent},
    )


@when("a caller sends an order with its own traceparent through cnx-e0")
def step_traced(context):
    context.trace = secrets.token_hex(16)
    context.span = secrets.token_hex(8)
    context.traceparent = f"00-{context.trace}-{context.span}-01"
    wait_until(
        lambda: _send_order(context).status == 200, what="a complete response"
    )


def _spans(context):
    """Returns the spans of the caller's trace, by span id."""
    spans = {}
    for name in context.deployment.entries:
        path = context.deployment.processes.directory / f"{name}.spans"
        for line in path.read_text(encoding="utf-8").splitlines():
            span = json.loads(line)
            if span["trace"] == context.trace:
                spans[span["span"]] = span
    return spans


@then("one trace joins the caller, entry, forward, admit, upstream")
def step_trace(context):
    def joined():
        spans = _spans(context)
        for span in spans.values():
            if span["name"] != SPANS[-1]:
                continue
            names = []
            while True:
                names.append((span["name"], span["entry"]))
                if span["parent"] not in spans:
                    break
                span = spans[span["parent"]]  # noqa: PLW2901
            if span["parent"] != context.span:
                # Spans of earlier hops may not be written yet. If they never
                # are, the wait times out.
                return None
            return list(reversed(names))
        return None

    names = wait_until(joined, what="the spans")
    entries = ("cnx-e0", "cnx-e0", "bkk-e0", "bkk-e0")
    assert names == list(zip(SPANS, entries, strict=True)), names


@then("the upstream's journal has the span of the last hop")
def step_journal_span(context):
    last = set()
    for span in _spans(context).values():
        if span["name"] == SPANS[-1]:
            last.add(f"00-{context.trace}-{span['span']}")
    for run in context.deployment.journal("bkk-u0")["runs"]:
        if run["trace"].rpartition("-")[0] in last:
            return
    raise AssertionError(last)


@when("the platform goes out and comes back")
def step_platform_out(context):
    # A request that needs a claim calls the platform.
    def approve():
        answer = send(
            "POST",
            context.deployment.entries["bkk-e0"]["caller"],
            "/matching/approvals",
            body={"amount": 1},
            headers={"Idempotency-Key": secrets.token_hex(8)},
        )
        return answer.status

    wait_until(lambda: approve() == 200, what="an approval")
    context.deployment.faults(down=True)
    wait_until(lambda: approve() == 503, what="a refused approval")
    get(context.deployment.entries["cnx-e0"]["caller"], "/v1/entries?service=x")
    context.deployment.faults(down=False)
    wait_until(lambda: approve() == 200, what="an approval after the outage")


def _log_lines(context, entry):
    child = context.deployment.processes.children[entry]
    lines = []
    for line in child.log_text().splitlines():
        lines.append(json.loads(line))
    return lines


@then("the log of {entry} has, in order: {names}")
def step_log(context, entry, names):
    wanted = names.split(", ")
    seen = []
    for line in _log_lines(context, entry):
        if line["event_name"] in wanted:
            seen.append(line["event_name"])
    assert seen == wanted, seen


@then("each line of the logs is JSON with the number and text of its event")
def step_log_lines(context):
    for entry in context.deployment.entries:
        for line in _log_lines(context, entry):
            rule = Event[line["event_name"].upper()].value
            assert line["event"] == rule.number, line
            assert line["message"] == rule.text, line
            assert line["level"] == logging.getLevelName(rule.level), line
            assert line["time"], line


def _read_samples(context):
    while True:
        try:
            packet = context.listener.recv(65536)
        except BlockingIOError:
            return
        for sample in packet.decode().splitlines():
            name = sample.partition(":")[0]
            assert name.startswith(f"{PREFIX}."), sample
            context.metric_names.add(name[len(PREFIX) + 1 :])


def _pattern(metric):
    return re.compile(re.escape(metric.value).replace(r"\*", ".+") + r"\Z")


@then("the listener hears of each metric but retries")
def step_heard(context):
    def all_received():
        _read_samples(context)
        missing = set()
        for metric in Metric:
            if not any(
                _pattern(metric).match(name) for name in context.metric_names
            ):
                missing.add(metric.name)
        return missing <= {"RETRIES"}

    wait_until(
        all_received, limit_s=5.0, what=f"metrics: {context.metric_names}"
    )


@then("it hears no name that is not on the page")
def step_heard_known(context):
    for name in context.metric_names:
        assert any(_pattern(metric).match(name) for metric in Metric), name
