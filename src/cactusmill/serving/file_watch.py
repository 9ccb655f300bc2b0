"""Notices changes of a file that nothing announces."""

import os

import trio

from .events import log_event

# A stat() of the file takes microseconds.
_POLL_S = 1.0


async def call_on_change(path, call):
    """Call ``call()`` after each change of a settings file, until cancelled.

    Parameters
    ----------
    path : str
        The file; while it is missing, nothing is called.
    call : callable
        What to do after a change.
    """
    last_mtime_ns = _read_mtime_ns(path)
    while True:
        await trio.sleep(_POLL_S)
        mtime_ns = _read_mtime_ns(path)
        if mtime_ns not in (None, last_mtime_ns):
            last_mtime_ns = mtime_ns
            call()


def _read_mtime_ns(path):
    try:
        return os.stat(path).st_mtime_ns
    except OSError as exc:
        log_event("settings_not_seen", path=path, reason=repr(exc))
        return None
