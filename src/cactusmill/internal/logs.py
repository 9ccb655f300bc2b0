"""Logs as JSON lines on standard error, by ``absl.logging``."""

import json
import logging as std_logging

from absl import logging


class _JsonFormatter(std_logging.Formatter):
    def format(self, record):
        line = {
            "time": self.formatTime(record, "%Y-%m-%dT%H:%M:%S"),
            "level": record.levelname.lower(),
            "module": record.module,
            "message": record.getMessage(),
            **getattr(record, "fields", {}),
        }
        if record.exc_info:
            line["exception"] = self.formatException(record.exc_info)
        return json.dumps(line)


def log_json_lines(verbosity):
    """Send all logs of this process to standard error as JSON lines.

    Parameters
    ----------
    verbosity : {"debug", "info", "warning", "error"}
        Lowest level that is logged.
    """
    logging.use_absl_handler()
    logging.get_absl_handler().setFormatter(_JsonFormatter())
    logging.set_verbosity(verbosity)
