"""A whole run with real processes, a trivial caller and silences."""

import pathlib

import pytest

from soak.history import Ending
from soak.run import play
from soak.schedule import draw_schedule

from .settings import small_settings

CALLER = pathlib.Path(__file__).parent / "trivial_caller.py"
pytestmark = pytest.mark.processes


def test_silences_and_configurations_cut_no_response(tmp_path):
    cfg = small_settings(seconds=8.0)
    schedule = draw_schedule(cfg, cfg.seed)
    history = play(cfg, schedule, tmp_path, callers=[str(CALLER)])
    assert {s.kind for s in history.strikes} >= {"endpoint_pause", "configuration"}
    assert len(history.attempts) > 20
    assert {a.ending for a in history.attempts} == {Ending.COMPLETE}
    assert {r.ending for r in history.runs} <= {"answered", "cancelled", "refused"}
    runs = {r.request_id: r for r in history.runs if r.ending == "answered"}
    assert any(runs[a.request_id].digest == a.digest for a in history.attempts)
    assert {s.host for s in history.samples} == {"host-1", "host-2", "host-3"}
    assert all(e.is_expected for e in history.exits)
    assert {e.code for e in history.exits if e.name.startswith("host")} == {0}
