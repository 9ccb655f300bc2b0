"""Starts that fail say why and leave nothing running."""

import pathlib
import signal
import socket
import subprocess
import sys
import time

import attrs
import pytest

from soak import fleet as fleet_module
from soak.fleet import Fleet, WorldError, check_port_free, reserve_network
from soak.run import play

from .settings import small_settings

REPOSITORY = pathlib.Path(__file__).parent.parent.parent
pytestmark = pytest.mark.processes


def running_from(folder):
    """Return the processes whose working folder is `folder`."""
    found = []
    for entry in pathlib.Path("/proc").iterdir():
        if entry.name.isdigit():
            try:
                if (entry / "cwd").resolve() == folder.resolve():
                    found.append(entry.name)
            except OSError:
                continue
    return found


def test_two_runs_have_networks_of_their_own():
    first, second = reserve_network(), reserve_network()
    try:
        assert first[0] != second[0]
    finally:
        first[1].close()
        second[1].close()


def test_no_network_left_is_an_error(monkeypatch):
    number, lock = reserve_network()
    monkeypatch.setattr(fleet_module, "_NETWORKS", [number])
    with lock, pytest.raises(WorldError, match="in use by other runs"):
        reserve_network()


def test_port_in_use_is_named():
    with socket.create_server(("127.0.0.1", 0)) as server:
        address = f"127.0.0.1:{server.getsockname()[1]}"
        with pytest.raises(WorldError, match=f"{address} is in use; end the process"):
            check_port_free(address)


def test_port_in_use_ends_the_run_with_nothing_left(tmp_path, monkeypatch):
    number, lock = reserve_network()
    lock.close()
    monkeypatch.setattr(fleet_module, "_NETWORKS", [number])
    cfg = small_settings()
    with socket.create_server((f"127.{number}.100.2", 8300)):
        with pytest.raises(WorldError, match="100.2:8300 is in use"):
            play(cfg, (), tmp_path)
    assert running_from(tmp_path) == []


def test_folder_of_an_earlier_run_is_rejected(tmp_path):
    (tmp_path / "runs.jsonl").touch()
    with pytest.raises(WorldError, match="holds the records of a run"):
        play(small_settings(), (), tmp_path)


def test_host_that_does_not_start_is_named_with_its_log(tmp_path):
    source = tmp_path / "src"
    daemon = source / "cactusmill" / "platform"
    daemon.mkdir(parents=True)
    (daemon / "__init__.py").touch()
    (source / "cactusmill" / "__init__.py").touch()
    (daemon / "daemon.py").write_text("raise SystemExit('no processor found')")
    folder = tmp_path / "run"
    cfg = attrs.evolve(small_settings(), source=str(source))
    with pytest.raises(WorldError, match="host-1 is not ready.*\n.*no processor found"):
        play(cfg, (), folder)
    assert running_from(folder) == []
    assert (folder / "host-1.log").exists()


def test_callers_that_fail_are_an_error(tmp_path):
    script = tmp_path / "callers.py"
    script.write_text("raise SystemExit('no callers today')")
    cfg = small_settings(hosts=2, endpoints=2, seconds=1.0)
    with pytest.raises(WorldError, match="(?s)callers did not end well.*no callers"):
        play(cfg, (), tmp_path / "run", callers=[str(script)])
    assert running_from(tmp_path / "run") == []


def test_sigterm_of_the_runner_leaves_nothing_running(tmp_path):
    caller = pathlib.Path(__file__).parent / "trivial_caller.py"
    program = (
        "from soak.run import play\n"
        "from tests.soak.settings import small_settings\n"
        f"folder, callers = {str(tmp_path / 'run')!r}, [{str(caller)!r}]\n"
        "play(small_settings(), (), folder, callers=callers)\n"
    )
    runner = subprocess.Popen(
        [sys.executable, "-c", program], cwd=REPOSITORY, stderr=subprocess.DEVNULL
    )
    try:
        deadline = time.monotonic() + 60
        while not (tmp_path / "run" / "callers.jsonl").exists():
            assert time.monotonic() < deadline and runner.poll() is None
            time.sleep(0.1)
        runner.send_signal(signal.SIGTERM)
        assert runner.wait(60) != 0
        assert running_from(tmp_path / "run") == []
    finally:
        runner.kill()
        runner.wait()


def test_only_processes_of_the_fleet_are_ended(tmp_path):
    other = subprocess.Popen([sys.executable, "-c", "import time; time.sleep(60)"])
    fleet = Fleet(small_settings(), tmp_path, lambda _exit: None)
    fleet.start("sleeper", ["-c", "import time; time.sleep(60)"])
    try:
        fleet.kill_all()
        assert not fleet.processes and other.poll() is None
    finally:
        other.kill()
        other.wait()
