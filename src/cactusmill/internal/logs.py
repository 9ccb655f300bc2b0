"""Logging of JSON lines to standard output with ``absl.logging``.

Logging never blocks. A line is dropped and counted if standard output is not
writable at once, and the next written line carries the number of dropped lines.
"""

import json
import logging as std_logging
import select
import sys

from absl import logging

# A pipe that polls as writable accepts this many bytes without blocking.
_MAX_LINE_BYTES = select.PIPE_BUF


class _JsonFormatter(std_logging.Formatter):
    def format(self, record):
        line = {
            "time": self.formatTime(record, "%Y-%m-%dT%H:%M:%S"),
            "ms": int(record.msecs),
            "level": record.levelname.lower(),
            "event": record.getMessage(),
            **getattr(record, "fields", {}),
        }
        if record.exc_info:
            line["exception"] = self.formatException(record.exc_info)
        return json.dumps(line)


class NonBlockingHandler(std_logging.Handler):
    """Handler that writes lines to a file descriptor and drops them if it blocks.

    Parameters
    ----------
    descriptor : int
        File descriptor that is polled before each write.
    write : callable
        ``write(line)`` writes an encoded line to the descriptor.

    Attributes
    ----------
    dropped : int
        Number of lines dropped since the last one that was written.
    """

    def __init__(self, descriptor, write):
        super().__init__()
        self.dropped = 0
        self._write = write
        self._poller = select.poll()
        self._poller.register(descriptor, select.POLLOUT)

    def emit(self, record):
        """Write a log record, or drop and count it if the write would block.

        A line that could block because of its length is replaced by a
        ``line_too_long`` line. One that cannot be encoded, or that nobody reads any
        more, is dropped as well: logging never fails the caller.
        """
        if not self._poller.poll(0):
            self.dropped += 1
            return
        dropped = self.dropped
        try:
            self._emit_line(record)
        except (OSError, TypeError, ValueError, RecursionError):
            self.dropped = dropped + 1

    def _emit_line(self, record):
        if self.dropped:
            record.fields = {
                **getattr(record, "fields", {}),
                "dropped_lines": self.dropped,
            }
            self.dropped = 0
        line = self.format(record).encode()
        if len(line) >= _MAX_LINE_BYTES:
            line = json.dumps(
                {
                    "level": "warning",
                    "event": "line_too_long",
                    "bytes": len(line),
                    "of": record.getMessage()[:200],
                }
            ).encode()
        self._write(line + b"\n")


def _write_stdout(line):
    sys.stdout.buffer.write(line)
    sys.stdout.buffer.flush()


def log_fields(event, **fields):
    """Log one event as a JSON line with fields."""
    logging.info(event, extra={"fields": fields})


def configure_json_logging(verbosity):
    """Configure logging of this process as JSON lines on standard output.

    Parameters
    ----------
    verbosity : {"debug", "info", "warning", "error"}
        Lowest level of the logged lines.
    """
    logging.use_absl_handler()
    handler = NonBlockingHandler(sys.stdout.fileno(), _write_stdout)
    handler.setFormatter(_JsonFormatter())
    root = std_logging.getLogger()
    for existing in list(root.handlers):
        root.removeHandler(existing)
    root.addHandler(handler)
    logger = logging.get_absl_logger()
    logger.propagate = True
    for existing in list(logger.handlers):
        logger.removeHandler(existing)
    logging.set_verbosity(verbosity)
