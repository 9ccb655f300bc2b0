"""Daemon that runs a gateway host on the platform: start, signals, settings reload."""

import argparse
import functools
import os

import trio

from ..internal.logs import configure_json_logging
from ..internal.net import TCP
from ..internal.operators import serve_operator
from ..internal.settings_file import SettingsFile, find_changes, wait_for_settings
from ..internal.signals import RELOAD, SHUT_DOWN, is_shut_down_pending, open_receiver
from ..internal.steps import freeze_heap
from ..serving.events import log_event
from ..serving.gateway_host import GatewayHost
from ..serving.pages import render_page
from .dialect import DIALECT
from .directory import serve_directory
from .settings import SETTINGS_VARIABLE, decode_platform_settings
from .store import StoreClient

# The host decides about its own settings.
_RELOADED = frozenset({"host"})


async def _run(settings_file):
    if not is_shut_down_pending():
        with open_receiver() as signals:
            cfg = await wait_for_settings(settings_file, signals)
            if cfg is not None:
                return await _run_host(cfg, settings_file, signals)
    log_event("stopped_before_start")


async def _run_host(cfg, settings_file, signals):
    store = StoreClient(cfg.store, TCP, cfg.host.zones)
    host = GatewayHost(cfg.host, DIALECT, store.source())

    directory = functools.partial(host.contain_errors, serve_directory, host)

    async def metrics(stream):
        await host.contain_errors(serve_operator, host, stream, render_page)

    def apply(new):
        needs_restart = [
            *find_changes(cfg, new, _RELOADED),
            *host.apply_settings(new.host),
        ]
        log_event("reload", seeds=list(new.host.seeds), needs_restart=needs_restart)

    async def reload():
        new = settings_file.load()
        if new is not None:
            apply(new)

    async with trio.open_nursery() as nursery:
        nursery.start_soon(_handle_signals, host, signals, reload)
        try:
            await nursery.start(TCP.serve, cfg.metrics, metrics, nursery)
        except OSError as exc:
            # Serving callers does not depend on metrics.
            log_event("metrics_not_served", address=cfg.metrics, reason=repr(exc))
        for address in {cfg.ready, cfg.directory}:
            await nursery.start(TCP.serve, address, directory, nursery)
        run = host.supervisor.run
        nursery.start_soon(run, "watch_settings", settings_file.watch, apply)
        nursery.start_soon(run, "freeze_heap", freeze_heap, host.has_configuration)
        await host.run()
        nursery.cancel_scope.cancel()


async def _handle_signals(host, signals, reload):
    async for number in signals:
        if number == RELOAD:
            await host.contain_errors(reload)
        elif number in SHUT_DOWN and not host.is_leaving:
            await host.contain_errors(host.shut_down)


def main(argv=None):
    """Run until SIGTERM or SIGINT; return the exit code."""
    parser = argparse.ArgumentParser(
        prog="python -m cactusmill.platform.daemon",
        description="Run the inference gateway on this host.",
    )
    parser.add_argument(
        "--settings",
        default=os.environ.get(SETTINGS_VARIABLE),
        help=f"settings file (default: ${SETTINGS_VARIABLE})",
    )
    parser.add_argument(
        "--verbosity", default="info", choices=["debug", "info", "warning", "error"]
    )
    args = parser.parse_args(argv)
    configure_json_logging(args.verbosity)
    if not args.settings:
        parser.error(f"pass --settings or set ${SETTINGS_VARIABLE}")
    trio.run(_run, SettingsFile(args.settings, decode_platform_settings, log_event))
    return 0
