"""A daemon that gets signals and changes of its settings at drawn moments."""

import pathlib
import signal
import subprocess
import time
import zlib

import attrs

START_MOMENTS = ("held", "receiving", "ready")
# Longest time that each moment may take on a busy machine, in seconds.
_MOMENT_TIMEOUT_S = 60.0
# A change is in force within a second of its end, or two on a busy machine.
_APPLIED_S = 10.0
_POLL_S = 0.001
_SIGHUP_BIT = 1 << (signal.SIGHUP - 1)


@attrs.define(eq=False)
class SignalledDaemon:
    """One process of a daemon.

    Attributes
    ----------
    command : list of str
        Its program and arguments.
    settings : pathlib.Path
        Its settings file.
    log : pathlib.Path
        Where its output goes.
    ready_text : str
        What it logs when it is ready.
    make_settings : callable
        ``make_settings(number)`` returns valid content of the file.
    env : dict of str to str
        Its environment.
    story : list of str
        What was done to it, for the report of a failure.
    """

    command: list
    settings: pathlib.Path
    log: pathlib.Path
    ready_text: str
    make_settings: object
    env: dict
    story: list = attrs.field(factory=list)
    process: subprocess.Popen | None = None
    _began_at: float = 0.0

    def start(self):
        """Start the process."""
        with self.log.open("wb") as log:
            self.process = subprocess.Popen(
                self.command, env=self.env, stdout=log, stderr=subprocess.STDOUT
            )
        self._began_at = time.monotonic()
        self._tell("starts")

    def _tell(self, text):
        self.story.append(f"{time.monotonic() - self._began_at:.3f} {text}")

    def _masks(self):
        """Return whether SIGHUP is blocked, and whether it is caught."""
        try:
            status = pathlib.Path(f"/proc/{self.process.pid}/status").read_text()
        except OSError:
            return False, False
        fields = dict(line.split(":", 1) for line in status.splitlines())
        return tuple(
            bool(int(fields.get(name, "0"), 16) & _SIGHUP_BIT)
            for name in ("SigBlk", "SigCgt")
        )

    def _has_come(self, moment):
        is_blocked, is_caught = self._masks()
        if moment == "held":
            return is_blocked or is_caught
        if moment == "receiving":
            return is_caught and not is_blocked
        if moment == "closing":
            return is_blocked or not is_caught
        text = {"ready": self.ready_text, "leaving": "leaving"}[moment]
        return text in self.log.read_text()

    def wait_for(self, moment, delay_s):
        """Wait until some time after a moment, or until the process has ended."""
        deadline = time.monotonic() + _MOMENT_TIMEOUT_S
        while self.process.poll() is None and not self._has_come(moment):
            assert time.monotonic() < deadline, self.report(f"is not {moment}")
            time.sleep(_POLL_S)
        time.sleep(delay_s)
        self._tell(f"{moment} + {delay_s:.3f} s")

    def signal(self, *numbers):
        """Send signals if it still runs."""
        for number in numbers:
            self._tell(f"{number.name}, runs: {self.process.poll() is None}")
            self.process.send_signal(number)

    def write(self, state, number):
        """Bring the settings file into a state.

        Parameters
        ----------
        state : {"replaced", "written", "cut", "empty", "missing"}
            All but the first two are no valid settings.
        number : int
            Tells valid contents apart.
        """
        self._tell(f"settings {number} {state}")
        data = self.make_settings(number)
        if state == "replaced":
            part = self.settings.with_suffix(".part")
            part.write_bytes(data)
            part.replace(self.settings)
        elif state == "missing":
            self.settings.unlink(missing_ok=True)
        else:
            sizes = {"written": len(data), "cut": len(data) // 2, "empty": 0}
            self.settings.write_bytes(data[: sizes[state]])

    def check_in_force(self, number):
        """Check that it takes over the settings of a number."""
        wanted = f'"crc32": "{zlib.crc32(self.make_settings(number)):08x}"'
        deadline = time.monotonic() + _APPLIED_S
        while True:
            assert self.process.poll() is None, self.report("has ended")
            lines = self.log.read_text().splitlines()
            read = [line for line in lines if "settings_read" in line]
            if read and wanted in read[-1]:
                return
            assert time.monotonic() < deadline, self.report(f"did not apply {number}")
            time.sleep(0.02)

    def check_ended(self, timeout_s):
        """Check that it ends in time, as told."""
        code = self.process.wait(timeout_s)
        assert code == 0, self.report(f"ended with {code}")
        assert '"fault"' not in self.log.read_text(), self.report("had a fault")

    def report(self, problem):
        """Return what went wrong, what was done before, and the log."""
        return "\n".join([problem, *self.story, self.log.read_text()])

    def kill(self):
        """End the process at once."""
        if self.process is not None and self.process.poll() is None:
            self.process.kill()
        if self.process is not None:
            self.process.wait()


def play_start(daemon, rng):
    """Start it amid signals to reload and changes of its settings; check the last.

    Parameters
    ----------
    daemon : SignalledDaemon
        The daemon, which runs and is ready at the end.
    rng : random.Random
        Draws the moments and what is done.

    Returns
    -------
    int
        Number of the settings in force.
    """
    states = ("replaced", "written", "cut", "empty", "missing")
    number = 0
    daemon.write(rng.choice(states), number)
    daemon.start()
    moments = sorted(
        rng.choices(START_MOMENTS, k=rng.randint(2, 4)), key=START_MOMENTS.index
    )
    for moment in moments:
        if moment != "held":
            # Without valid settings it waits before it is ready.
            number += 1
            daemon.write(rng.choice(states[:2]), number)
        daemon.wait_for(moment, rng.uniform(0.0, 0.3))
        number += 1
        daemon.write(rng.choice(states), number)
        daemon.signal(*[signal.SIGHUP] * rng.randint(0, 2))
    number += 1
    daemon.write(rng.choice(states[:2]), number)
    daemon.signal(*[signal.SIGHUP] * rng.randint(0, 1))
    daemon.check_in_force(number)
    daemon.wait_for("ready", 0.0)
    return number


def play_exit(daemon, rng, ends, repeats, timeout_s):
    """Tell it to end amid other signals and changes; check its exit code.

    Parameters
    ----------
    daemon : SignalledDaemon
        A daemon that runs.
    rng : random.Random
        Draws the moments and what is done.
    ends : sequence of signal.Signals
        Signals that end it.
    repeats : bool
        Whether one that comes twice changes nothing.
    timeout_s : float
        Time until it has ended, in seconds.
    """
    others = [signal.SIGHUP, *(ends if repeats else ())]
    daemon.signal(*rng.choices([signal.SIGHUP], k=rng.randint(0, 2)), rng.choice(ends))
    for _ in range(rng.randint(0, 2)):
        daemon.wait_for("leaving", rng.uniform(0.0, 0.3))
        daemon.write(rng.choice(("written", "cut", "missing")), 0)
        daemon.signal(rng.choice(others))
    for _ in range(3):
        daemon.wait_for("closing", rng.uniform(0.0, 0.02))
        daemon.signal(rng.choice(others))
    daemon.check_ended(timeout_s)


def play_early_end(daemon, rng, ends, timeout_s):
    """Tell it to end while it starts, amid other signals; check its exit code."""
    daemon.write(rng.choice(("replaced", "cut", "empty", "missing")), 0)
    daemon.start()
    daemon.wait_for("held", rng.uniform(0.0, 0.6))
    numbers = [signal.SIGHUP, rng.choice(ends), rng.choice([signal.SIGHUP, *ends])]
    rng.shuffle(numbers)
    for number in numbers:
        daemon.signal(number)
        time.sleep(rng.choice((0.0, rng.uniform(0.0, 0.1))))
    daemon.signal(rng.choice(ends))
    daemon.check_ended(timeout_s)
