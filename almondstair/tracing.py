"""Tracing with one span per hop, linked by `traceparent`."""

from collections.abc import Iterator, Sequence
import contextlib
import json
import sys
from typing import TextIO

from opentelemetry import context as otel_context
from opentelemetry import trace
from opentelemetry.sdk.resources import Resource
from opentelemetry.sdk.trace import ReadableSpan
from opentelemetry.sdk.trace import TracerProvider
from opentelemetry.sdk.trace.export import SimpleSpanProcessor
from opentelemetry.sdk.trace.export import SpanExporter
from opentelemetry.sdk.trace.export import SpanExportResult
from opentelemetry.sdk.trace.sampling import ParentBased
from opentelemetry.sdk.trace.sampling import TraceIdRatioBased
from opentelemetry.trace.propagation.tracecontext import (
    TraceContextTextMapPropagator,
)

SERVICE_NAME = "almondstair"
_TRACEPARENT = "traceparent"


class JsonLineExporter(SpanExporter):
    """Writes each span as one JSON line."""

    def __init__(self, *, stream: TextIO) -> None:
        """Writes to `stream`; the caller closes it."""
        self._stream = stream

    def export(self, spans: Sequence[ReadableSpan]) -> SpanExportResult:
        """Writes the spans."""
        for span in spans:
            self._stream.write(json.dumps(_span_fields(span)) + "\n")
        self._stream.flush()
        return SpanExportResult.SUCCESS


def _span_fields(span: ReadableSpan) -> dict[str, object]:
    context = span.context
    assert context is not None
    parent = ""
    if span.parent is not None:
        parent = trace.format_span_id(span.parent.span_id)
    return {
        "trace": trace.format_trace_id(context.trace_id),
        "span": trace.format_span_id(context.span_id),
        "parent": parent,
        "name": span.name,
        "entry": span.resource.attributes.get("service.instance.id", ""),
        "start_ns": span.start_time,
        "end_ns": span.end_time,
        "attributes": dict(span.attributes or {}),
    }


class Tracing:
    """Creates the spans of one entry."""

    def __init__(
        self,
        *,
        exporter: str,
        file: str,
        sample_fraction: float,
        entry_name: str,
    ) -> None:
        """Sets up the exporter.

        Args:
          exporter: `none`, `console` or `file`.
          file: path for `file`.
          sample_fraction: fraction of the traces started here that is
            sampled; the sampling decision of a parent is always followed.
          entry_name: written to each span.
        """
        self.enabled = exporter != "none"
        self._propagator = TraceContextTextMapPropagator()
        resource = Resource(
            {"service.name": SERVICE_NAME, "service.instance.id": entry_name}
        )
        provider = TracerProvider(
            resource=resource,
            sampler=ParentBased(TraceIdRatioBased(sample_fraction)),
            shutdown_on_exit=False,
        )
        self._stream: TextIO | None = None
        if exporter == "file":
            self._stream = open(file, "a", encoding="utf-8")  # noqa: SIM115
        if exporter == "console":
            self._stream = sys.stdout
        if self._stream is not None:
            # A batching processor would start its own thread.
            line_exporter = JsonLineExporter(stream=self._stream)
            provider.add_span_processor(SimpleSpanProcessor(line_exporter))
        self._tracer = provider.get_tracer(SERVICE_NAME)

    @contextlib.contextmanager
    def span(
        self,
        name: str,
        *,
        traceparent: str,
        kind: trace.SpanKind = trace.SpanKind.INTERNAL,
    ) -> Iterator[trace.Span]:
        """Creates a span for one hop.

        Args:
          name: what the hop does.
          traceparent: W3C header of the parent, or empty.
          kind: server for received requests, client for forwarded ones.
        """
        if not self.enabled:
            yield trace.INVALID_SPAN
            return
        parent = otel_context.Context()
        if traceparent:
            parent = self._propagator.extract(
                {_TRACEPARENT: traceparent}, context=parent
            )
        span = self._tracer.start_span(name, context=parent, kind=kind)
        try:
            yield span
        finally:
            span.end()

    def outgoing_traceparent(self, span: trace.Span, *, fallback: str) -> str:
        """Returns the `traceparent` header to forward.

        Args:
          span: span of the sending hop.
          fallback: the received header, forwarded if tracing is off.
        """
        if not self.enabled:
            return fallback
        carrier: dict[str, str] = {}
        self._propagator.inject(carrier, trace.set_span_in_context(span))
        return carrier.get(_TRACEPARENT, fallback)

    def close(self) -> None:
        """Flushes and closes the exporter's file."""
        if self._stream is not None and self._stream is not sys.stdout:
            self._stream.close()
