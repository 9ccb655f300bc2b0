"""Structured log events, which are also counted for the metrics."""

import collections

from ..internal.logs import log_fields

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
    log_fields(event, **fields)


def log_fault(handler, exc, **fields):
    """Log an internal error.

    Parameters
    ----------
    handler : str
        Name of the function in whose work it occurred.
    exc : Exception
        The error.
    **fields
        Further fields of the line.
    """
    log_event("fault", handler=handler, reason=_describe(exc), **fields)


def _describe(exc):
    """Return the texts of an exception, or of all in an exception group."""
    if isinstance(exc, BaseExceptionGroup):
        return "; ".join(_describe(e) for e in exc.exceptions)
    return repr(exc)
