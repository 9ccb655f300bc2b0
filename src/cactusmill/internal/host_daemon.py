"""Start, signals and exit codes of ``cactusmilld``."""

import argparse

import trio
from absl import logging

from ..settings import decode_settings
from .host_process import HostProcess
from .logs import configure_json_logging, log_fields
from .settings_file import SettingsFile, wait_for_settings
from .signals import RELOAD, SHUT_DOWN, is_shut_down_pending, open_receiver
from .steps import freeze_heap

EXIT_CANNOT_LISTEN = 3


def _parser():
    parser = argparse.ArgumentParser(
        prog="cactusmilld",
        description="Serve callers on this host as a member of the fleet. "
        "SIGTERM or SIGINT leaves the fleet without interrupting requests; "
        "a second signal of these stops the process at once. SIGHUP reads the "
        "settings again, as does a change of their file.",
    )
    parser.add_argument("--config", required=True, metavar="FILE.yaml")
    parser.add_argument(
        "--verbosity", default="info", choices=["debug", "info", "warning", "error"]
    )
    return parser


async def _run(settings_file):
    if not is_shut_down_pending():
        with open_receiver() as signals:
            cfg = await wait_for_settings(settings_file, signals)
            if cfg is not None:
                return await _run_host(cfg, settings_file, signals)
    log_fields("stopped_before_start")


async def _run_host(cfg, settings_file, signals):
    host = HostProcess(cfg)

    def apply(new):
        log_fields("reload", needs_restart=host.apply_settings(new))

    def reload():
        new = settings_file.load()
        if new is not None:
            apply(new)

    async with trio.open_nursery() as nursery:
        nursery.start_soon(_handle_signals, host, signals, reload, nursery.cancel_scope)
        run = host.supervisor.run
        nursery.start_soon(run, "watch_settings", settings_file.watch, apply)
        nursery.start_soon(freeze_heap, host.ready.is_set)
        await host.run()
        nursery.cancel_scope.cancel()


async def _handle_signals(host, signals, reload, scope):
    is_first = True
    async for number in signals:
        if number == RELOAD:
            try:
                reload()
            except Exception:
                host.record_fault("a reload of the settings")
        elif number in SHUT_DOWN:
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
        trio.run(_run, SettingsFile(args.config, decode_settings, log_fields))
    except BaseException as exc:
        if not _is_listen_failure(exc):
            raise
        logging.error("cannot listen: %r", exc)
        return EXIT_CANNOT_LISTEN
    return 0
