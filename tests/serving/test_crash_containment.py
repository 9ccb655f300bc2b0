"""Requests with a prompt part that crashes engines, replayed on loopback."""

import pytest
import trio

from standins.crashing_parts import ENGINES, HOSTS, Traffic, replay
from standins.loopback import running_deployment

# The users' bounds: `stable_window_ms` after the fifth crash at most three requests
# with the part reach engines.
WINDOW_S = 6.0
MAX_LATE_ARRIVALS = 3
# Share of the sound requests that are served, of the share before the first crash.
MIN_SOUND_SHARE = 0.9
SETTLED_S = 4.0

ROWS = {
    "in-the-middle": Traffic(),
    "first-part": Traffic(bad_position=0),
    "in-sound-company": Traffic(companion="sound", companion_share=0.02),
    "amid-kills-and-restarts": Traffic(kill_gap_s=4.0, restart_gap_s=3.0),
    "two-parts": Traffic(bad_parts=("bad", "worse"), bad_per_s=4.0),
    "rapid": Traffic(bad_per_s=20.0, down_s=(0.3, 0.3)),
}


def observe(traffic, seed):
    result = []

    async def main():
        with trio.fail_after(4 * traffic.for_s):
            async with running_deployment(hosts=HOSTS, endpoints=ENGINES) as running:
                result.append(await replay(running, traffic, seed))

    trio.run(main)
    return result[0]


@pytest.mark.histories
@pytest.mark.parametrize("row", ROWS)
def test_requests_with_a_part_that_crashed_five_engines_crash_more(row):
    traffic, seed = ROWS[row], 1
    seen = observe(traffic, seed)
    before = seen.served_share(0.0, traffic.bad_from_s)
    after = seen.served_share(traffic.for_s - SETTLED_S, traffic.for_s)
    print(
        f"{row}, seed {seed}: {len(seen.crashes)} crashes, "
        f"{seen.arrivals_after(WINDOW_S)} late arrivals, "
        f"served {before:.2f} before and {after:.2f} at the end"
    )
    assert seen.arrivals_after(WINDOW_S) <= MAX_LATE_ARRIVALS
    assert after >= MIN_SOUND_SHARE * before
