"""Internal errors: what a host survives is a fault of the program all the same."""

from ..findings import InternalError

_COUNTS = (
    'cactusmill_state{name="task_failures"}',
    'cactusmill_events{event="fault"}',
)


def check(history):
    """Return one finding for each process that counts internal errors."""
    last = {}
    for sample in sorted(history.samples, key=lambda s: s.at):
        last[sample.host, sample.incarnation] = sample
    findings = []
    for (host, _), sample in sorted(last.items()):
        counts = [
            f"{n} {sample.metrics[n]:.0f}" for n in _COUNTS if sample.metrics.get(n)
        ]
        if counts:
            what = ", ".join(counts)
            findings.append(InternalError(at=sample.at, what=what, hosts=(host,)))
    return findings
