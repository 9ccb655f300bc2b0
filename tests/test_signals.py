"""Operator's signals and states of the settings file, from the start to the exit.

Real processes of both daemons get signals and changes at moments that a seed draws.
Before a daemon holds its signals only the interpreter has run, which none of its code
can reach (docs/incidents/review-15-signals-of-a-start.md).
"""

import functools
import json
import os
import random
import signal
import subprocess
import sys

import pytest
import yaml

from standins.fleet import Fleet, copy_example
from standins.loopback import next_port

from .platform.test_process import serve_store
from .platform.test_settings import SETTINGS
from .signalled_daemon import (
    SignalledDaemon,
    play_early_end,
    play_exit,
    play_start,
)
from .test_processes import EXAMPLE

pytestmark = pytest.mark.processes
SEEDS = range(6)
GATEWAY = ["-m", "cactusmill.platform.daemon"]
ENDS = (signal.SIGTERM, signal.SIGINT)
GRACE_S = 2.0
# A daemon may start for as long as this on a busy machine before it can end.
END_TIMEOUT_S = 60.0


@pytest.fixture(scope="module")
def store():
    server = serve_store()
    yield server
    server.shutdown()


@pytest.fixture(scope="module")
def services(tmp_path_factory):
    folder = tmp_path_factory.mktemp("services")
    copy_example(EXAMPLE, folder)
    fleet = Fleet(folder)
    fleet.start_services()
    yield fleet
    fleet.kill_all()


def make_gateway(store, folder, program=None):
    port, ip = next_port(), "127.0.2.7"
    listen = {name: f"{ip}:{port + n}" for n, name in enumerate(SETTINGS["listen"])}

    def make_settings(number):
        cfg = {
            **SETTINGS,
            "ip": ip,
            "listen": listen,
            "seeds": [f"127.0.2.{100 + number}:1"],
            "bounds": {**SETTINGS["bounds"], "grace_s": GRACE_S},
            "platform": {"address": f"127.0.0.1:{store.server_port}"},
        }
        return json.dumps(cfg).encode()

    settings = folder / "local.json"
    return SignalledDaemon(
        command=[sys.executable, *(program or GATEWAY)],
        settings=settings,
        log=folder / "log",
        ready_text="configuration_in_force",
        make_settings=make_settings,
        env={**os.environ, "CACTUSMILL_CONFIG": str(settings)},
    )


def make_host(services, folder):
    cfg = {**services.settings(services.hosts[0]), "drain_s": 0.2}

    def make_settings(number):
        return yaml.safe_dump({**cfg, "watch_s": 1.0 + number / 100}).encode()

    settings = folder / "host.yaml"
    module = ["-m", "cactusmill.daemon", "--config", str(settings)]
    return SignalledDaemon(
        command=[sys.executable, *module],
        settings=settings,
        log=folder / "log",
        ready_text="ready: host",
        make_settings=make_settings,
        env=dict(os.environ),
    )


@pytest.fixture
def gateway(store, tmp_path):
    daemon = make_gateway(store, tmp_path)
    yield daemon
    daemon.kill()


@pytest.fixture
def host(services, tmp_path):
    daemon = make_host(services, tmp_path)
    yield daemon
    daemon.kill()


@pytest.mark.parametrize("seed", SEEDS)
def test_no_signal_ends_a_gateway_and_no_change_is_lost(gateway, seed):
    """Guards against SIGHUP that ends a process at its start or at its exit."""
    rng = random.Random(f"gateway {seed}")
    play_start(gateway, rng)
    play_exit(gateway, rng, ENDS, True, END_TIMEOUT_S)


@pytest.mark.parametrize("seed", SEEDS)
def test_gateway_that_is_told_to_end_while_it_starts(gateway, seed):
    """Guards against exit codes of the default action of signals."""
    play_early_end(gateway, random.Random(f"early {seed}"), ENDS, END_TIMEOUT_S)


@pytest.mark.parametrize("seed", SEEDS)
def test_no_signal_ends_cactusmilld_and_no_change_is_lost(host, seed):
    """Guards against SIGHUP that ends ``cactusmilld``, at any moment."""
    rng = random.Random(f"host {seed}")
    play_start(host, rng)
    # A second signal to end stops it at once, also with code 0.
    play_exit(host, rng, ENDS, False, END_TIMEOUT_S)


@pytest.mark.parametrize("seed", SEEDS)
def test_cactusmilld_that_is_told_to_end_while_it_starts(host, seed):
    play_early_end(host, random.Random(f"early host {seed}"), ENDS, END_TIMEOUT_S)


def test_second_sigterm_stops_cactusmilld_at_once(host):
    host.write("written", 0)
    host.start()
    host.wait_for("ready", 0.0)
    host.signal(signal.SIGTERM)
    host.wait_for("leaving", 0.0)
    host.signal(signal.SIGTERM)
    host.check_ended(END_TIMEOUT_S)


def test_sighup_ends_a_start_that_does_not_hold_it(store, tmp_path):
    """Shows that the tests above see the default action of a signal at a start."""
    code = (
        "import signal; signal.signal(signal.SIGHUP, signal.SIG_DFL); "
        "import cactusmill.internal.signals as s; s.hold_signals = lambda: None; "
        "print('imports', flush=True); import cactusmill.platform.daemon as d; d.main()"
    )
    daemon = make_gateway(store, tmp_path, ["-c", code])
    daemon.write("written", 0)
    daemon.ready_text = "imports"
    daemon.start()
    try:
        daemon.wait_for("ready", 0.0)
        daemon.signal(signal.SIGHUP)
        assert daemon.process.wait(END_TIMEOUT_S) == -signal.SIGHUP
    finally:
        daemon.kill()


@pytest.mark.parametrize("number", ENDS)
def test_signal_that_the_parent_ignored_is_not_lost(store, tmp_path, number):
    """Guards against a pending SIGINT that is discarded as the event loop starts."""
    code = (
        "import os, signal, sys\n"
        f"for n in ({number:d}, {signal.SIGHUP:d}): signal.signal(n, signal.SIG_IGN)\n"
        f"os.execv(sys.executable, [sys.executable, *{GATEWAY!r}])"
    )
    daemon = make_gateway(store, tmp_path, ["-c", code])
    daemon.write("missing", 0)
    daemon.start()
    try:
        daemon.wait_for("held", 0.05)
        daemon.signal(number)
        daemon.check_ended(END_TIMEOUT_S)
    finally:
        daemon.kill()


@pytest.mark.parametrize("module", ["cactusmill.platform.daemon", "cactusmill.daemon"])
def test_daemons_hold_signals_before_the_long_imports(module):
    """Guards against imports that come before the signals are held."""
    code = f"import sys, {module}; print(sorted(sys.modules))"
    run = functools.partial(subprocess.run, capture_output=True, text=True, check=True)
    loaded = set(json.loads(run([sys.executable, "-c", code]).stdout.replace("'", '"')))
    assert not loaded & {"trio", "attrs", "yaml", "absl", "cactusmill.errors"}
