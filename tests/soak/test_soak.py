"""Short soak with fixed seeds: no checker finds anything."""

import pytest

from soak.checks import check_all
from soak.run import play
from soak.schedule import draw_schedule
from soak.settings import load_settings

pytestmark = pytest.mark.processes


@pytest.mark.parametrize("seed", [1, 2])
def test_short_soak_breaks_no_promise(tmp_path, seed):
    cfg = load_settings(
        seed=seed,
        seconds=20,
        hosts=6,
        callers=32,
        faults=["endpoint_pause", "configuration", "host_term", "host_reload"],
    )
    history = play(cfg, draw_schedule(cfg, seed), tmp_path / "run")
    assert len(history.attempts) > 100
    assert {s.kind for s in history.strikes} == set(cfg.faults)
    assert check_all(history) == []
