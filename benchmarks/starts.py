"""How long a daemon takes to hold its signals, to receive them, and to start.

Starts the gateway again and again on loopback, without a store, and watches the signal
masks of the process. Until signals are held, only the interpreter runs, and SIGHUP has
its default action.

    python benchmarks/starts.py --busy 6 --source OTHER_CHECKOUT/src --interpreter "-S"
"""

import argparse
import contextlib
import json
import os
import pathlib
import signal
import statistics
import subprocess
import sys
import tempfile
import time

ROOT = pathlib.Path(__file__).resolve().parent.parent
_SIGHUP_BIT = 1 << (signal.SIGHUP - 1)
_TIMEOUT_S = 30.0


def _write_settings(folder):
    ip = "127.0.9.1"
    names = ("front", "ready_address", "control", "directory")
    path = pathlib.Path(folder) / "local.json"
    cfg = {
        "node": "front-1",
        "ip": ip,
        "zone": "east-a",
        "region": "east",
        "zones": {"east-a": "east"},
        "listen": {name: f"{ip}:{8220 + n}" for n, name in enumerate(names)},
        "seeds": [],
        "platform": {"address": "127.0.9.2:9"},
    }
    path.write_text(json.dumps(cfg))
    return path


def _read_masks(pid):
    """Return whether SIGHUP is blocked, and whether it is caught."""
    text = pathlib.Path(f"/proc/{pid}/status").read_text()
    fields = dict(line.split(":", 1) for line in text.splitlines())
    return [bool(int(fields[n], 16) & _SIGHUP_BIT) for n in ("SigBlk", "SigCgt")]


def measure_start(command, env, log):
    """Start a daemon once.

    Parameters
    ----------
    command : list of str
        Program and arguments.
    env : dict of str to str
        Environment.
    log : pathlib.Path
        Where its output goes.

    Returns
    -------
    dict of str to float
        Milliseconds until signals are held, until they are received, and until it has
        logged its start; without what a daemon never does.
    """
    took = {}
    with log.open("wb") as output:
        process = subprocess.Popen(command, env=env, stdout=output, stderr=output)
    began_at = time.perf_counter()
    try:
        while '"start"' not in log.read_text():
            elapsed_ms = (time.perf_counter() - began_at) * 1000
            if elapsed_ms > _TIMEOUT_S * 1000 or process.poll() is not None:
                raise RuntimeError(f"it did not start:\n{log.read_text()}")
            is_blocked, is_caught = _read_masks(process.pid)
            if is_blocked and not is_caught:
                took.setdefault("held", elapsed_ms)
            if is_caught and not is_blocked:
                took.setdefault("received", elapsed_ms)
            time.sleep(0.0005)
        took["started"] = (time.perf_counter() - began_at) * 1000
    finally:
        process.kill()
        process.wait()
    return took


@contextlib.contextmanager
def run_beside(count):
    """Run busy processes."""
    busy = [
        subprocess.Popen([sys.executable, "-c", "while True: pass"])
        for _ in range(count)
    ]
    try:
        yield
    finally:
        for process in busy:
            process.kill()
            process.wait()


def main():
    """Measure and print."""
    parser = argparse.ArgumentParser(description=__doc__.partition("\n")[0])
    parser.add_argument("--starts", type=int, default=20)
    parser.add_argument("--busy", type=int, default=0, help="busy processes beside it")
    parser.add_argument(
        "--source", action="append", default=[], help="folders of the package, in turn"
    )
    parser.add_argument(
        "--interpreter", default="", help="options of the interpreter, such as -S"
    )
    args = parser.parse_args()
    sources = [pathlib.Path(s).resolve() for s in args.source or [ROOT / "src"]]
    results = {source: [] for source in sources}
    module = ["-m", "cactusmill.platform.daemon"]
    command = [sys.executable, *args.interpreter.split(), *module]
    with tempfile.TemporaryDirectory() as folder, run_beside(args.busy):
        command += ["--settings", str(_write_settings(folder))]
        for _ in range(args.starts):
            for source, rows in results.items():
                packages = os.pathsep.join([str(source), *sys.path[1:]])
                env = {
                    "PATH": os.environ["PATH"],
                    "PYTHONPATH": packages,
                }
                rows.append(measure_start(command, env, pathlib.Path(folder) / "log"))
    load = os.getloadavg()[0]
    for number, rows in enumerate(results.values(), 1):
        for name in ("held", "received", "started"):
            values = sorted(row[name] for row in rows if name in row)
            if values:
                print(
                    f"source {number} {name:9} median {statistics.median(values):6.0f} "
                    f"most {values[-1]:6.0f} ms, {len(values)} of {len(rows)} starts, "
                    f"{args.busy} busy, load average {load:.1f}"
                )


if __name__ == "__main__":
    main()
