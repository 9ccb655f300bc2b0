"""How far a request has come, and what is known of it."""

import attrs

from ..errors import Outcome
from ..internal.crash_suspects import request_digest
from .answers import EventScanner

# An endpoint that rejects or cannot be reached is worth another try after about
# one answer's time.
BUSY_RETRY_S = 0.3


@attrs.define(eq=False)
class Progress:
    """How far a request has come.

    Attributes
    ----------
    attempts_left : int
        Endpoints it may still be sent to.
    digest : str
        By which suspects are known.
    may_have_run : bool
        True once an endpoint may have run it.
    may_have_run_before : bool
        The same before it was sent last.
    has_begun : bool
        True once the answer's head was passed on.
    tried : set of str
        Endpoints that cannot serve it.
    tried_remote_hosts : set of str
        Hosts of other regions that cannot serve it.
    scanner : EventScanner
        Events passed on so far.
    sends : int
        How often it was sent.
    endpoint : str
        Where it was sent last.
    ttft_s, total_s : float or None
        When it was predicted to begin and to end there, in seconds.
    uncached_tokens : int
        Prompt tokens that were expected to be read there.
    max_event_gap_s : float or None
        Longest time between two parts of a stream, in seconds.
    """

    attempts_left: int
    digest: str
    may_have_run: bool = False
    may_have_run_before: bool = False
    has_begun: bool = False
    tried: set = attrs.field(factory=set)
    tried_remote_hosts: set = attrs.field(factory=set)
    scanner: EventScanner = attrs.field(factory=EventScanner)
    sends: int = 0
    endpoint: str = ""
    ttft_s: float | None = None
    total_s: float | None = None
    uncached_tokens: int = 0
    max_event_gap_s: float | None = None

    @property
    def outcome(self):
        """What is known of the request if no answer comes."""
        return Outcome.UNKNOWN if self.may_have_run else Outcome.NOT_RUN


def may_repeat(route):
    """Tell whether a request of a route may run more than once."""
    return route.repeatable or (route.is_stream and route.resumable)


def new_progress(req, attempts):
    """Return the progress of a request that has not been sent.

    Parameters
    ----------
    req : Request
        The request.
    attempts : int
        Endpoints that it may be sent to.
    """
    # Hosts hold no common secret here, and the digest stays between them.
    return Progress(attempts, request_digest("", req))
