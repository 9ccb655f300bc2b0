"""Daemon that runs a gateway host on the platform: start, signals, settings reload."""

import argparse
import functools
import os
import signal
import sys

import trio
from absl import logging

from ..errors import SettingsError
from ..internal.logs import configure_json_logging
from ..internal.net import TCP
from ..internal.operators import serve_operator
from ..internal.steps import freeze_heap
from ..serving.events import log_event
from ..serving.file_watch import call_on_change
from ..serving.gateway_host import GatewayHost
from ..serving.pages import render_page
from .dialect import DIALECT
from .directory import serve_directory
from .settings import SETTINGS_VARIABLE, load_platform_settings
from .store import StoreClient

_EXIT_USAGE = 2


async def _run(cfg, path):
    store = StoreClient(cfg.store, TCP, cfg.host.zones)
    host = GatewayHost(cfg.host, DIALECT, store.source())

    directory = functools.partial(host.contain_errors, serve_directory, host)

    async def metrics(stream):
        await host.contain_errors(serve_operator, host, stream, render_page)

    async with trio.open_nursery() as nursery:
        try:
            await nursery.start(TCP.serve, cfg.metrics, metrics, nursery)
        except OSError as exc:
            # Serving callers does not depend on metrics.
            log_event("metrics_not_served", address=cfg.metrics, reason=repr(exc))
        for address in {cfg.ready, cfg.directory}:
            await nursery.start(TCP.serve, address, directory, nursery)
        nursery.start_soon(_handle_signals, host, path)
        run = host.supervisor.run
        reload = functools.partial(_reload_settings, host, path)
        nursery.start_soon(run, "watch_settings", call_on_change, path, reload)
        nursery.start_soon(run, "freeze_heap", freeze_heap, host.has_configuration)
        await host.run()
        nursery.cancel_scope.cancel()


async def _handle_signals(host, path):
    with trio.open_signal_receiver(signal.SIGTERM, signal.SIGHUP) as signals:
        async for number in signals:
            await host.contain_errors(_handle_signal, host, path, number)


async def _handle_signal(host, path, number):
    if number == signal.SIGTERM and not host.is_leaving:
        await host.shut_down()
    elif number == signal.SIGHUP:
        _reload_settings(host, path)


def _reload_settings(host, path):
    try:
        cfg = load_platform_settings(path).host
    except SettingsError as exc:
        log_event("settings_rejected", place=exc.place, reason=exc.problem)
        return
    host.retry_budgets.ratio, host.retry_budgets.slack = (
        cfg.retry_ratio,
        cfg.retry_slack,
    )
    host.quotas.excess = cfg.rate_excess
    host.gossip.seeds = cfg.seeds
    log_event("reload", seeds=list(cfg.seeds))


def main(argv=None):
    """Run until SIGTERM; return the exit code."""
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
    try:
        cfg = load_platform_settings(args.settings)
    except SettingsError as exc:
        logging.error("settings: %s", exc)
        return _EXIT_USAGE
    trio.run(_run, cfg, args.settings)
    return 0


if __name__ == "__main__":
    sys.exit(main())
