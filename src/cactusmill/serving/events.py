"""Structured log events, which are also counted for the metrics."""

import collections

from absl import logging

# Number of events by name in this process, including those whose line was dropped.
counts = collections.Counter()


def log_event(event, **fields):
    """Log one event as a JSON line.

    Parameters
    ----------
    event : str
        Event name; docs/LOGS.md lists all events.
    **fields
        Values behind the decision, with ages in seconds and versions as numbers.
    """
    counts[event] += 1
    logging.info(event, extra={"fields": fields})
