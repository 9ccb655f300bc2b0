"""Log lines as data: one event a decision, counted as well."""

import collections

from absl import logging

# How often each event of this process happened, also if its line was dropped.
counts = collections.Counter()


def log_event(event, **fields):
    """Log one event as a JSON line.

    Parameters
    ----------
    event : str
        What happened; docs/LOGS.md lists the events.
    **fields
        What decided it, with ages in seconds and versions as numbers.
    """
    counts[event] += 1
    logging.info(event, extra={"fields": fields})
