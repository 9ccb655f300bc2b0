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


def _define(name, rule, doc):
    """Return a type of findings."""
    return type(name, (Finding,), {"rule": rule, "__doc__": doc, "__slots__": ()})


LostRequest = _define(
    "LostRequest", "RULES.md, LOST", "A request that was read has no proper end."
)
LateEnd = _define(
    "LateEnd",
    "RULES.md, CONFIG: timeout_ms",
    "A request had no end 0.5 s after its time was over.",
)
MixedAnswer = _define(
    "MixedAnswer", "RULES.md, MIXED", "An answer is not whole, own or the endpoint's."
)
BrokenOrder = _define(
    "BrokenOrder", "RULES.md, ORDER", "A stream lacks an event, or has one twice."
)
SecondRun = _define(
    "SecondRun", "RULES.md, TWICE", "A request that may run once ran again."
)
RefusedRun = _define(
    "RefusedRun", "RULES.md, REFUSED", "A request refused as not run has run."
)
WithdrawnKey = _define(
    "WithdrawnKey", "RULES.md, CONFIG", "A withdrawn key was served after its time."
)
LeakedKey = _define(
    "LeakedKey", "RULES.md, UNASKED: API keys", "An endpoint received an API key."
)
WrongRegion = _define(
    "WrongRegion", "RULES.md, HOME", "A request ran in a region that is not permitted."
)
RateExceeded = _define(
    "RateExceeded", "RULES.md, QUOTA", "More of a team's tokens ran than permitted."
)
TooManyRetries = _define(
    "TooManyRetries", "RULES.md, BUDGET", "Too many runs of requests, or retries."
)
LeftEndpointUsed = _define(
    "LeftEndpointUsed", "RULES.md, DRAIN, EVAC", "A request reached what had left."
)
OldConfiguration = _define(
    "OldConfiguration", "RULES.md, CONFIG", "An older configuration was followed."
)
WorkedForNobody = _define(
    "WorkedForNobody", "RULES.md, GONE", "Work went on after the caller had left."
)
BadExit = _define(
    "BadExit", "docs/OPERATIONS.md: SIGTERM", "A host did not exit as it should."
)
UnbalancedAccount = _define(
    "UnbalancedAccount",
    "docs/OPERATIONS.md, The account of requests",
    "A host's account does not add up, or not with what callers saw.",
)
BoundExceeded = _define(
    "BoundExceeded", "RULES.md, Faults", "A process outgrew its bounds or ended."
)


def number_findings(findings):
    """Return findings in the order of their time, each with an id of its own."""
    counts = {}
    numbered = []
    for finding in sorted(findings, key=lambda f: (f.at, type(f).__name__, f.what)):
        name = type(finding).__name__
        counts[name] = counts.get(name, 0) + 1
        numbered.append(attrs.evolve(finding, id=f"{name}-{counts[name]}"))
    return numbered
