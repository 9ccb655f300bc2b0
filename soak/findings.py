"""Findings: broken promises, a type for each kind."""

import attrs


@attrs.frozen(kw_only=True)
class Finding:
    """A broken promise.

    Attributes
    ----------
    at : float
        When, in seconds of the history's clock.
    what : str
        What was seen.
    why : str
        Why nothing that the soak did excuses it.
    request_ids, hosts : tuple of str
        Requests and hosts that it is about.
    id : str
        Names the finding within its report.
    """

    rule = ""

    at: float
    what: str
    why: str = "nothing excuses it"
    request_ids: tuple = attrs.field(default=(), converter=tuple)
    hosts: tuple = attrs.field(default=(), converter=tuple)
    id: str = ""


def _define(name, rule):
    """Return a type of findings that break a rule."""
    return type(name, (Finding,), {"rule": rule, "__doc__": rule, "__slots__": ()})


LostRequest = _define("LostRequest", "RULES.md, LOST")
LateEnd = _define("LateEnd", "RULES.md, CONFIG: timeout_ms")
MixedAnswer = _define("MixedAnswer", "RULES.md, MIXED")
BrokenOrder = _define("BrokenOrder", "RULES.md, ORDER")
SecondRun = _define("SecondRun", "RULES.md, TWICE")
RefusedRun = _define("RefusedRun", "RULES.md, REFUSED")
WithdrawnKey = _define("WithdrawnKey", "RULES.md, CONFIG: keys")
LeakedKey = _define("LeakedKey", "RULES.md, UNASKED: API keys")
WrongRegion = _define("WrongRegion", "RULES.md, HOME")
RateExceeded = _define("RateExceeded", "RULES.md, QUOTA")
TooManyRetries = _define("TooManyRetries", "RULES.md, BUDGET")
LeftEndpointUsed = _define("LeftEndpointUsed", "RULES.md, DRAIN and EVAC")
OldConfiguration = _define("OldConfiguration", "RULES.md, CONFIG")
WorkedForNobody = _define("WorkedForNobody", "RULES.md, GONE")
BadExit = _define("BadExit", "docs/OPERATIONS.md: SIGTERM")
UnbalancedAccount = _define("UnbalancedAccount", "docs/OPERATIONS.md: account")
InternalError = _define("InternalError", "docs/OPERATIONS.md: task_failures")
BoundExceeded = _define("BoundExceeded", "RULES.md, Faults")


def find(kind, att, what, at=None, **fields):
    """Return a finding about an attempt."""
    at = att.ended_at if at is None else at
    ids, hosts = (att.request_id,), (att.host,)
    return kind(at=at, what=what, request_ids=ids, hosts=hosts, **fields)


def number_findings(findings):
    """Return findings in the order of their time, each with an id of its own."""
    counts = {}
    numbered = []
    for finding in sorted(findings, key=lambda f: (f.at, type(f).__name__, f.what)):
        name = type(finding).__name__
        counts[name] = counts.get(name, 0) + 1
        numbered.append(attrs.evolve(finding, id=f"{name}-{counts[name]}"))
    return numbered
