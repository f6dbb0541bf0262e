"""OpenTelemetry metrics and traces of one process."""

import logbook
from opentelemetry import metrics, trace
from opentelemetry.exporter.prometheus import PrometheusMetricReader
from opentelemetry.sdk.metrics import MeterProvider
from opentelemetry.sdk.resources import Resource
from opentelemetry.sdk.trace import ReadableSpan, TracerProvider
from opentelemetry.sdk.trace.export import SimpleSpanProcessor, SpanExporter, SpanExportResult
from prometheus_client import REGISTRY, generate_latest

from hornbeamramp.settings import Settings

__all__ = ["Metrics", "prometheus_text", "setup_telemetry"]

# Name, unit and description of each counter.
COUNTERS = {
    "requests": ("hornbeamramp.requests", "1", "Requests of callers by route and outcome"),
    "starts": ("hornbeamramp.task.starts", "1", "Task starts sent to upstreams by reply"),
    "task_ends": ("hornbeamramp.task.ends", "1", "Attempts ended, by how"),
    "refusals": ("hornbeamramp.refusals", "1", "Jobs refused by reason"),
    "resolutions": ("hornbeamramp.resolutions", "1", "Lost replies resolved by result"),
    "discarded_answers": (
        "hornbeamramp.answers.discarded",
        "1",
        "Answers of another attempt, or with a wrong length or digest",
    ),
}

# Name, unit and description of each histogram.
HISTOGRAMS = {
    "request_time": ("hornbeamramp.request.time", "s", "Time from request to answer"),
    "queue_time": ("hornbeamramp.queue.time", "s", "Time from submission to start"),
}


class Metrics:
    """Instruments of the process, one attribute for each row of the tables above."""

    def __init__(self) -> None:
        meter = metrics.get_meter("hornbeamramp")
        for attribute, (name, unit, description) in COUNTERS.items():
            counter = meter.create_counter(name, unit=unit, description=description)
            setattr(self, attribute, counter)
        for attribute, (name, unit, description) in HISTOGRAMS.items():
            histogram = meter.create_histogram(name, unit=unit, description=description)
            setattr(self, attribute, histogram)


class LogSpanExporter(SpanExporter):
    """Writes each finished span as a JSON log line of the part ``trace``."""

    def __init__(self) -> None:
        self._log = logbook.Logger("trace")

    def export(self, spans: "tuple[ReadableSpan, ...]") -> SpanExportResult:
        for span in spans:
            self._log.info("{}", span.to_json(indent=None))
        return SpanExportResult.SUCCESS


def setup_telemetry(settings: Settings) -> None:
    """Installs the providers named in the settings. To be called once in a process."""
    resource = Resource.create({"service.name": "hornbeamramp", "service.instance.id": settings.vm})
    if settings.telemetry.metrics:
        provider = MeterProvider([PrometheusMetricReader()], resource=resource)
        metrics.set_meter_provider(provider)
    if settings.telemetry.traces == "log":
        tracer_provider = TracerProvider(resource=resource)
        tracer_provider.add_span_processor(SimpleSpanProcessor(LogSpanExporter()))
        trace.set_tracer_provider(tracer_provider)


def prometheus_text() -> bytes:
    """Returns all metrics in the Prometheus text format."""
    return generate_latest(REGISTRY)
