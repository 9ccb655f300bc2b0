import json

import pytest

from soak import report
from soak.__main__ import main
from soak.history import encode_record
from soak.reduce import reduce_schedule

from .records import SETTINGS, attempt, run

CUT = attempt("b", ending="cut", ended_at=102.0)


def write(folder, *records):
    lines = [json.dumps({"settings": SETTINGS}), *map(encode_record, records)]
    (folder / "history.jsonl").write_text("\n".join(lines) + "\n")


def test_judging_a_clean_run_exits_with_0(tmp_path, capsys):
    write(tmp_path, attempt(), run())
    assert main(["--judge", str(tmp_path)]) == 0
    assert "findings: 0" in capsys.readouterr().out
    assert (tmp_path / "findings.jsonl").read_text() == ""


def test_judging_a_run_with_a_finding_exits_with_1(tmp_path, capsys):
    write(tmp_path, attempt(), run(), CUT, run("b", ending="cancelled"))
    assert main(["--judge", str(tmp_path)]) == 1
    assert "LostRequest-1" in capsys.readouterr().out
    (line,) = (tmp_path / "findings.jsonl").read_text().splitlines()
    finding = json.loads(line)
    assert finding["id"] == "LostRequest-1"
    assert finding["request_ids"] == ["b"]
    assert main(["--judge", str(tmp_path)]) == 1


@pytest.mark.parametrize(
    ("args", "message"),
    [
        (["--judge", "/nowhere"], "name the folder of a run"),
        (["--hosts", "99"], "hosts: 99 is out of range"),
        (["--seeds", "5-1"], "write it as 1-50"),
    ],
)
def test_bad_usage_exits_with_2(args, message, capsys):
    assert main(args) == 2
    assert message in capsys.readouterr().err


def test_plots_without_matplotlib_are_an_error(tmp_path, monkeypatch, capsys):
    monkeypatch.setitem(__import__("sys").modules, "matplotlib.figure", None)
    assert main(["--judge", str(tmp_path), "--plot"]) == 2
    assert "install the extra" in capsys.readouterr().err


def test_a_plot_draws_ends_faults_and_findings(tmp_path):
    drawn = []

    class Axes:
        def __getattr__(self, name):
            return lambda *args, **_: drawn.append((name, args))

    class Figure:
        def __init__(self, **_):
            pass

        def subplots(self, *_args, **_kwargs):
            return Axes(), Axes()

        def savefig(self, path):
            drawn.append(("savefig", path))

    from .records import history, strike

    struck = history(attempt(), strike("host_kill", "host-1"))
    report.plot_history(Figure, struck, [], tmp_path / "plot.png")
    assert {"hist", "barh", "savefig"} <= {name for name, _ in drawn}


def test_the_reducer_keeps_only_the_faults_that_fail_together():
    schedule = tuple(range(20))
    kept, plays = reduce_schedule(schedule, lambda s: {3, 17} <= set(s))
    assert kept == (3, 17)
    assert plays <= 40


def test_the_reducer_stops_after_its_plays():
    plays = []

    def still_fails(schedule):
        plays.append(schedule)
        return False

    assert reduce_schedule(range(64), still_fails, 5) == (tuple(range(64)), 5)
    assert len(plays) == 5
    assert reduce_schedule(range(8), lambda _: True)[0] == ()
