"""Program that runs a gateway host on the platform."""

import sys

from ..internal.signals import hold_signals


def main(argv=None):
    """Run until SIGTERM or SIGINT; return the exit code."""
    hold_signals()
    # The imports take most of the start; signals are held before them.
    from . import gateway_daemon

    return gateway_daemon.main(argv)


if __name__ == "__main__":
    sys.exit(main())
