"""``cactusmilld``: the daemon that runs on every host that serves callers."""

import sys

from .internal.signals import hold_signals


def main(argv=None):
    """Run the daemon; return its exit code."""
    hold_signals()
    # The imports take most of the start; signals are held before them.
    from .internal import host_daemon

    return host_daemon.main(argv)


if __name__ == "__main__":
    sys.exit(main())
