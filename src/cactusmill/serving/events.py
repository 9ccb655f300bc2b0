"""Structured log events, which are also counted for the metrics."""

import collections
import pathlib
import traceback

from ..internal.logs import log_fields

# Number of events by name in this process, including those whose line was dropped.
counts = collections.Counter()
# Innermost calls that the line of an internal error names.
_MAX_PLACES = 6


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
    log_event(
        "fault",
        handler=handler,
        reason=_describe(exc),
        places=_find_places(exc),
        **fields,
    )


def log_failed_task(task, exc, retry_s):
    """Log an internal error that ended a long-lived task.

    Parameters
    ----------
    task : str
        Name of the task.
    exc : Exception
        The error.
    retry_s : float
        Mean time until it is started again, in seconds.
    """
    log_event(
        "task_failed",
        task=task,
        reason=_describe(exc),
        places=_find_places(exc),
        retry_s=retry_s,
    )


def _find_places(exc):
    """Return where an exception was raised, innermost call last.

    Of an exception group it is that of the first exception in it.
    """
    while isinstance(exc, BaseExceptionGroup):
        exc = exc.exceptions[0]
    frames = traceback.extract_tb(exc.__traceback__)[-_MAX_PLACES:]
    return [f"{pathlib.Path(f.filename).name}:{f.lineno} {f.name}" for f in frames]


def _describe(exc):
    """Return the texts of an exception, or of all in an exception group."""
    if isinstance(exc, BaseExceptionGroup):
        return "; ".join(_describe(e) for e in exc.exceptions)
    return repr(exc)
