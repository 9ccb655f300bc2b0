"""Log lines as data: one event a decision."""

from absl import logging


def log_event(event, **fields):
    """Log one event as a JSON line.

    Parameters
    ----------
    event : str
        What happened; docs/LOGS.md lists the events.
    **fields
        What decided it, with ages in seconds and versions as numbers.
    """
    logging.info(event, extra={"fields": fields})
