"""Settings of small runs for tests."""

import attrs


@attrs.frozen(kw_only=True)
class Settings:
    seed: int = 1
    seconds: float = 20.0
    hosts: int = 3
    zones: int = 3
    endpoints: int = 6
    callers: int = 4
    grace_s: float = 8.0
    faults: tuple = ("endpoint_pause", "configuration")
    events: int = 10
    event_gap_s: float = 0.05
    deadline_s: float = 15.0
    proxies: bool = False
    path: str = "platform"
    source: str = ""
    old_source: str = ""
