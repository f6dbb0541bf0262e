"""OpenTelemetry metrics and traces of one process."""

from collections.abc import Callable, Iterable

import logbook
from opentelemetry import metrics, trace
from opentelemetry.exporter.prometheus import PrometheusMetricReader
from opentelemetry.sdk.metrics import MeterProvider
from opentelemetry.sdk.resources import Resource
from opentelemetry.sdk.trace import ReadableSpan, TracerProvider
from opentelemetry.sdk.trace.export import SimpleSpanProcessor, SpanExporter, SpanExportResult
from prometheus_client import REGISTRY, generate_latest

from hornbeamramp.settings import Settings

__all__ = ["Metrics", "Reading", "prometheus_text", "setup_metrics", "setup_telemetry"]

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


# Name, unit and description of each gauge; read when the metrics are collected.
GAUGES = {
    "revision": ("hornbeamramp.revision", "1", "Revision of the tables in force"),
    "members": ("hornbeamramp.members", "1", "Entry processes by state"),
    "shards_owned": ("hornbeamramp.shards.owned", "1", "Shards that this process owns"),
    "upstreams_set_aside": (
        "hornbeamramp.upstreams.set_aside",
        "1",
        "Upstreams of owned shards that get no new work, by shard and state",
    ),
    "connections": ("hornbeamramp.connections", "1", "Open connections by listener"),
}

# Name, unit and description of each observable counter; read when the metrics are collected.
OBSERVABLE_COUNTERS = {
    "store_calls": ("hornbeamramp.store.calls", "1", "Store calls by kind"),
}

Reading = tuple[float, dict[str, str]]


class Metrics:
    """Instruments of the process, one attribute for each key of `COUNTERS` and `HISTOGRAMS`."""

    def __init__(self) -> None:
        meter = metrics.get_meter("hornbeamramp")
        for attribute, (name, unit, description) in COUNTERS.items():
            counter = meter.create_counter(name, unit=unit, description=description)
            setattr(self, attribute, counter)
        for attribute, (name, unit, description) in HISTOGRAMS.items():
            histogram = meter.create_histogram(name, unit=unit, description=description)
            setattr(self, attribute, histogram)
        self._meter = meter

    def observe(self, attribute: str, read: Callable[[], Iterable[Reading]]) -> None:
        """Registers the callback of a gauge or observable counter: values with their attributes."""
        name, unit, description = {**GAUGES, **OBSERVABLE_COUNTERS}[attribute]

        def callback(_: metrics.CallbackOptions) -> list[metrics.Observation]:
            return [metrics.Observation(value, attributes) for value, attributes in read()]

        if attribute in GAUGES:
            self._meter.create_observable_gauge(name, [callback], unit, description)
        else:
            self._meter.create_observable_counter(name, [callback], unit, description)


class LogSpanExporter(SpanExporter):
    """Writes each finished span as a JSON log line of the logger ``trace``."""

    def __init__(self) -> None:
        self._log = logbook.Logger("trace")

    def export(self, spans: "tuple[ReadableSpan, ...]") -> SpanExportResult:
        for span in spans:
            self._log.info("{}", span.to_json(indent=None))
        return SpanExportResult.SUCCESS


def _resource(vm: str) -> Resource:
    return Resource.create({"service.name": "hornbeamramp", "service.instance.id": vm})


def setup_metrics(vm: str) -> None:
    """Installs the metric reader behind `prometheus_text`. Must be called once per process."""
    provider = MeterProvider(
        [PrometheusMetricReader(scope_info_enabled=False)], resource=_resource(vm)
    )
    metrics.set_meter_provider(provider)


def setup_telemetry(settings: Settings) -> None:
    """Installs the providers enabled in the settings. Must be called once per process."""
    resource = _resource(settings.vm)
    if settings.telemetry.metrics:
        setup_metrics(settings.vm)
    if settings.telemetry.traces == "log":
        tracer_provider = TracerProvider(resource=resource)
        tracer_provider.add_span_processor(SimpleSpanProcessor(LogSpanExporter()))
        trace.set_tracer_provider(tracer_provider)


def prometheus_text() -> bytes:
    """Returns all metrics in the Prometheus text format."""
    return generate_latest(REGISTRY)
