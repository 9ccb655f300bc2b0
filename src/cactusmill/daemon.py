"""``cactusmilld``: the daemon that runs on every host that serves callers."""

import argparse
import signal
import sys

import trio
from absl import logging

from .errors import SettingsError
from .internal.host_process import HostProcess
from .internal.logs import configure_json_logging
from .internal.steps import freeze_heap
from .settings import load_settings

EXIT_USAGE = 2
EXIT_CANNOT_LISTEN = 3


def _parser():
    parser = argparse.ArgumentParser(
        prog="cactusmilld",
        description="Serve callers on this host as a member of the fleet. "
        "SIGTERM or SIGINT leaves the fleet without interrupting requests; "
        "a second signal stops the process at once.",
    )
    parser.add_argument("--config", required=True, metavar="FILE.yaml")
    parser.add_argument(
        "--verbosity", default="info", choices=["debug", "info", "warning", "error"]
    )
    return parser


async def _run(cfg):
    host = HostProcess(cfg)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(_shut_down_on_signal, host, nursery.cancel_scope)
        nursery.start_soon(freeze_heap, host.ready.is_set)
        await host.run()
        nursery.cancel_scope.cancel()


async def _shut_down_on_signal(host, scope):
    with trio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
        is_first = True
        async for _ in signals:
            if not is_first or not host.ready.is_set():
                scope.cancel()
                return
            is_first = False
            host.nursery.start_soon(host.shut_down)


def _is_listen_failure(exc):
    if isinstance(exc, BaseExceptionGroup):
        return any(_is_listen_failure(e) for e in exc.exceptions)
    return isinstance(exc, OSError)


def main(argv=None):
    """Run the daemon; return its exit code."""
    args = _parser().parse_args(argv)
    configure_json_logging(args.verbosity)
    try:
        cfg = load_settings(args.config)
    except SettingsError as exc:
        print(f"cactusmilld: {exc}", file=sys.stderr)
        return EXIT_USAGE
    try:
        trio.run(_run, cfg)
    except BaseException as exc:
        if not _is_listen_failure(exc):
            raise
        logging.error("cannot listen: %r", exc)
        return EXIT_CANNOT_LISTEN
    return 0


if __name__ == "__main__":
    sys.exit(main())
