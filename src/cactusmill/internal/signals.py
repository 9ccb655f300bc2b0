"""Signals of the operator."""

import signal

RELOAD = signal.SIGHUP
SHUT_DOWN = (signal.SIGTERM, signal.SIGINT)
OPERATOR_SIGNALS = (RELOAD, *SHUT_DOWN)
