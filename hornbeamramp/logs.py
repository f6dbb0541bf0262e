"""Log setup: logbook to standard error, as JSON or as text with time, level and logger in front.

On a platform that collects standard output, JSON lines are written there without blocking.
"""

import json
import os
import sys

import logbook
from opentelemetry import trace

from hornbeamramp.settings import LogSettings

__all__ = ["NonBlockingHandler", "json_line", "setup_logs", "setup_stdout_logs"]

TEXT_FORMAT = (
    "{record.time:%Y-%m-%dT%H:%M:%S.%f}Z {record.level_name} {record.channel}: {record.message}"
)

# Types of extra fields that are written as JSON of their own kind.
PLAIN_TYPES = (bool, int, float, dict)


def json_line(record: logbook.LogRecord, handler: logbook.Handler, vm: str = "") -> str:
    """Formats a record as one JSON object: time, VM, level, logger, message, trace id, extras."""
    line = {
        "time": record.time.isoformat() + "Z",
        **({"vm": vm} if vm else {}),
        "level": record.level_name,
        "part": record.channel,
        "message": record.message,
    }
    span = trace.get_current_span().get_span_context()
    if span.is_valid:
        line["trace_id"] = trace.format_trace_id(span.trace_id)
    line.update(
        {
            key: value if isinstance(value, PLAIN_TYPES) else str(value)
            for key, value in record.extra.items()
        }
    )
    if record.exc_info:
        line["exception"] = record.formatted_exception
    return json.dumps(line)


def setup_logs(settings: LogSettings) -> logbook.Handler:
    """Installs the process's log handler and returns it.

    Raises ``LookupError`` for an unknown level.
    """
    handler = logbook.StreamHandler(sys.stderr, level=logbook.lookup_level(settings.level.upper()))
    if settings.format == "json":
        handler.formatter = json_line
    else:
        handler.format_string = TEXT_FORMAT
    handler.push_application()
    return handler


class NonBlockingHandler(logbook.Handler):
    """Writes JSON lines to a file descriptor without blocking.

    Output that the descriptor does not accept is buffered. Lines that would exceed the buffer are
    dropped; the next accepted line is preceded by one with the number of dropped lines.
    """

    # Holds about 5 s of a peak log rate of 100 kB/s; small compared to the memory of a process.
    BUFFER_LIMIT_BYTES = 512 * 1024

    def __init__(self, descriptor: int, level: int = logbook.INFO) -> None:
        super().__init__(level)
        self.vm = ""
        self._descriptor = descriptor
        self._pending = b""
        self._dropped = 0
        os.set_blocking(descriptor, False)

    def emit(self, record: logbook.LogRecord) -> None:
        line = json_line(record, self, vm=self.vm).encode() + b"\n"
        if len(self._pending) + len(line) > self.BUFFER_LIMIT_BYTES:
            self._dropped += 1
        else:
            if self._dropped:
                line = b'{"part": "logs", "dropped_lines": %d}\n' % self._dropped + line
                self._dropped = 0
            self._pending += line
        self._flush()

    def _flush(self) -> None:
        try:
            written = os.write(self._descriptor, self._pending)
        except BlockingIOError:
            return
        self._pending = self._pending[written:]


def setup_stdout_logs() -> NonBlockingHandler:
    """Installs a handler that writes JSON lines to standard output and returns it."""
    handler = NonBlockingHandler(sys.stdout.fileno())
    handler.push_application()
    return handler
