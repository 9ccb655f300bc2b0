"""Signals of the operator, none of which is lost from the start to the exit.

While nothing receives them they are blocked: the kernel then keeps one of each number
for the next receiver, and their default action, which ends the process, never applies.
Only the daemons import this module before all others; it must stay cheap to import.
"""

import contextlib
import signal

RELOAD = signal.SIGHUP
SHUT_DOWN = (signal.SIGTERM, signal.SIGINT)
_OPERATOR_SIGNALS = (RELOAD, *SHUT_DOWN)


def hold_signals():
    """Block the operator's signals in the main thread until a receiver is open.

    One that the parent process had ignored, such as a shell that starts a background
    job, is received as well: trio sets SIGINT to what it was, and setting a signal to
    be ignored discards one that is pending.
    """
    signal.pthread_sigmask(signal.SIG_BLOCK, _OPERATOR_SIGNALS)
    for number in _OPERATOR_SIGNALS:
        if signal.getsignal(number) is signal.SIG_IGN:
            signal.signal(number, signal.SIG_DFL)


def is_shut_down_pending():
    """Return whether a signal to shut down is held."""
    return any(number in signal.sigpending() for number in SHUT_DOWN)


@contextlib.contextmanager
def open_receiver():
    """Receive the operator's signals, those held so far included.

    They are held again when the context ends, so that none ends a process that is
    closing down. Needs an event loop in the main thread.

    Yields
    ------
    async iterator of int
        Numbers of the signals; one that repeats before it is read comes once.
    """
    # Imported late, since signals are held before the long imports.
    import trio

    with trio.open_signal_receiver(*_OPERATOR_SIGNALS) as signals:
        signal.pthread_sigmask(signal.SIG_UNBLOCK, _OPERATOR_SIGNALS)
        try:
            yield signals
        finally:
            hold_signals()
