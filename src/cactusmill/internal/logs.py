"""Logs as JSON lines on standard output, by ``absl.logging``.

Writing never waits: a line that the reader does not take at once is dropped
and counted, and the next line that gets through says how many were.
"""

import json
import logging as std_logging
import select
import sys

from absl import logging

# A pipe that polls as writable takes this many bytes in one step.
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
    """Writes lines to a file descriptor without ever waiting for its reader.

    Attributes
    ----------
    dropped : int
        Lines dropped since the last one that was written.
    """

    def __init__(self, descriptor, write):
        super().__init__()
        self.dropped = 0
        self._write = write
        self._poller = select.poll()
        self._poller.register(descriptor, select.POLLOUT)

    def emit(self, record):
        """Write a record, or count it as dropped."""
        if not self._poller.poll(0):
            self.dropped += 1
            return
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


def configure_json_logging(verbosity):
    """Send all logs of this process to standard output as JSON lines.

    Parameters
    ----------
    verbosity : {"debug", "info", "warning", "error"}
        Lowest level that is logged.
    """
    logging.use_absl_handler()
    handler = NonBlockingHandler(sys.stdout.fileno(), _write_stdout)
    handler.setFormatter(_JsonFormatter())
    root = std_logging.getLogger()
    for other in list(root.handlers):
        root.removeHandler(other)
    root.addHandler(handler)
    logger = logging.get_absl_logger()
    logger.propagate = True
    for other in list(logger.handlers):
        logger.removeHandler(other)
    logging.set_verbosity(verbosity)
