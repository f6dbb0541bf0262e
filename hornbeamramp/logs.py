"""Log set-up: logbook to standard error, as text with a fixed prefix for each part, or as JSON."""

import json
import sys

import logbook
from opentelemetry import trace

from hornbeamramp.settings import LogSettings

__all__ = ["json_line", "setup_logs"]

TEXT_FORMAT = (
    "{record.time:%Y-%m-%dT%H:%M:%S.%f}Z {record.level_name} {record.channel}: {record.message}"
)


def json_line(record: logbook.LogRecord, handler: logbook.Handler) -> str:
    """Formats a record as one JSON object: time, level, part, message, trace id and extras."""
    line = {
        "time": record.time.isoformat() + "Z",
        "level": record.level_name,
        "part": record.channel,
        "message": record.message,
    }
    span = trace.get_current_span().get_span_context()
    if span.is_valid:
        line["trace_id"] = trace.format_trace_id(span.trace_id)
    line.update({key: str(value) for key, value in record.extra.items()})
    if record.exc_info:
        line["exception"] = record.formatted_exception
    return json.dumps(line)


def setup_logs(settings: LogSettings) -> logbook.Handler:
    """Pushes the process's log handler and returns it.

    Raises ``LookupError`` for an unknown level.
    """
    handler = logbook.StreamHandler(sys.stderr, level=logbook.lookup_level(settings.level.upper()))
    if settings.format == "json":
        handler.formatter = json_line
    else:
        handler.format_string = TEXT_FORMAT
    handler.push_application()
    return handler
