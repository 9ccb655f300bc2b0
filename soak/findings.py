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


class LostRequest(Finding):
    """A request that was read ended in neither an answer, a refusal nor a cut."""

    rule = "RULES.md, LOST"


class LateEnd(Finding):
    """A request had no end when its time was over."""

    rule = "RULES.md, CONFIG: unanswered 0.5 s after timeout_ms"


class MixedAnswer(Finding):
    """An answer is not whole, not its request's own, or not its endpoint's."""

    rule = "RULES.md, MIXED"


class BrokenOrder(Finding):
    """A stream misses an event, has one twice, or ends early as complete."""

    rule = "RULES.md, ORDER"


class SecondRun(Finding):
    """A request that may run once has run more than once."""

    rule = "RULES.md, TWICE"


class RefusedRun(Finding):
    """A request that was refused as not run has run."""

    rule = "RULES.md, REFUSED"


class WithdrawnKey(Finding):
    """A withdrawn key was served after its time."""

    rule = "RULES.md, CONFIG: config_apply_ms"


class LeakedKey(Finding):
    """An endpoint received an API key."""

    rule = "RULES.md, UNASKED: API keys"


class WrongRegion(Finding):
    """A request reached a region that is not permitted."""

    rule = "RULES.md, HOME"


class RateExceeded(Finding):
    """More of a team's requests ran than its rate and burst admit."""

    rule = "RULES.md, QUOTA"


class TooManyRetries(Finding):
    """A request ran at too many endpoints, or a service got too many retries."""

    rule = "RULES.md, BUDGET"


class LeftEndpointUsed(Finding):
    """A request reached an endpoint or a zone after it had left."""

    rule = "RULES.md, DRAIN and EVAC"


class OldConfiguration(Finding):
    """A request was handled by a configuration that is no longer in force."""

    rule = "RULES.md, CONFIG"


class WorkedForNobody(Finding):
    """An endpoint worked on a request whose caller had left."""

    rule = "RULES.md, GONE"


class BadExit(Finding):
    """A host did not end as it should after SIGTERM."""

    rule = "docs/OPERATIONS.md, Start, check, stop"


class UnbalancedAccount(Finding):
    """A host's account of requests does not add up."""

    rule = "docs/OPERATIONS.md, The account of requests"


class BoundExceeded(Finding):
    """A process outgrew its bounds or ended by itself."""

    rule = "RULES.md, Faults"


def number_findings(findings):
    """Return findings in the order of their time, each with an id of its own."""
    counts = {}
    numbered = []
    for finding in sorted(findings, key=lambda f: (f.at, type(f).__name__, f.what)):
        name = type(finding).__name__
        counts[name] = counts.get(name, 0) + 1
        numbered.append(attrs.evolve(finding, id=f"{name}-{counts[name]}"))
    return numbered
