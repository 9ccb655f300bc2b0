"""Bounds: memory, descriptors and turns of hosts; processes that end by themselves."""

from ..findings import BoundExceeded

MAX_RSS_BYTES = 300 << 20
MAX_DESCRIPTORS = 4100
_NO_TASK = ("no processor time", "many tasks", "garbage collection")
_TURNS = 'cactusmill_long_turns{ran="'


def check(history):
    """Return the hosts that outgrew their bounds and the processes that ended."""
    findings, seen = [], set()
    for sample in sorted(history.samples, key=lambda s: s.at):
        for what in _find_faults(sample):
            if (sample.incarnation, what) not in seen:
                seen.add((sample.incarnation, what))
                hosts = (sample.host,)
                findings.append(BoundExceeded(at=sample.at, what=what, hosts=hosts))
    for end in history.exits:
        if not end.is_expected:
            what = f"{end.name} ended by itself with exit code {end.code}"
            findings.append(BoundExceeded(at=end.at, what=what, hosts=(end.name,)))
    return findings


def _find_faults(sample):
    if sample.rss_bytes > MAX_RSS_BYTES:
        yield f"over {MAX_RSS_BYTES >> 20} MB of memory"
    if sample.descriptors > MAX_DESCRIPTORS:
        yield f"over {MAX_DESCRIPTORS} descriptors"
    for name, count in sample.metrics.items():
        task = name.removeprefix(_TURNS).removesuffix('"}')
        if count and name.startswith(_TURNS) and task not in _NO_TASK:
            yield f"task {task} held the event loop for 0.1 s or more"
