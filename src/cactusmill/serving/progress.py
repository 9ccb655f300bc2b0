"""State of a request over its attempts, for the dispatcher and the access log."""

import attrs

from ..errors import DeadlineExceeded, Outcome, RequestSuspected
from ..internal.containment.culprits import Culprits, culprits_of, to_text
from ..internal.event_stream import EventScanner

# Retry time at an endpoint that rejects requests or cannot be reached: about the
# duration of one response.
BUSY_RETRY_S = 0.3
# Retry time of a request of which something is held back.
_SUSPECTED_RETRY_S = 30.0


@attrs.define(eq=False)
class Progress:
    """State of a request over its attempts.

    Attributes
    ----------
    attempts_left : int
        Number of further attempts allowed.
    culprits : Culprits
        What may be at fault in the request if an endpoint crashes.
    may_have_run : bool
        True once an endpoint may have run it.
    may_have_run_before : bool
        Value of `may_have_run` before the latest attempt.
    has_response_started : bool
        True once the response head was sent to the caller.
    tried : set of str
        Endpoints that cannot serve it.
    tried_remote_hosts : set of str
        Hosts of other regions that cannot serve it.
    scanner : EventScanner
        Parser of the response stream; knows the last event sent to the caller.
    sends : int
        Number of times it was sent.
    is_abandoned : bool
        True if the caller had left when it was last to be sent.
    left_out : dict of str to str or None
        Why endpoints were left out of the latest choice for what they had said.
    endpoint : str
        Endpoint or host of the latest attempt.
    ttft_s, total_s : float or None
        Predicted time to first token and until the response is complete, in
        seconds, of the latest attempt.
    uncached_tokens : int
        Predicted uncached prompt tokens of the latest attempt.
    machine_pace, machine_pace_age_s : float or None
        Pace of the endpoint's machine in the predictions of the latest attempt, and
        the age of the report behind it, in seconds; the age is None without one.
    sent_at : float or None
        When the latest attempt was sent, in seconds.
    began_at : float or None
        When the first data of the latest response arrived, in seconds.
    entry_revision : int
        Revision of the endpoint's entry that decided the latest attempt.
    warmup_hosts : int
        Hosts that shared the endpoint's warm-up rate in the latest attempt; 0 if this
        host took it for warm.
    max_event_gap_s : float or None
        Longest time between two chunks of a stream, in seconds.
    received : ReceivedBody or None
        Body of the latest response; None before a response.
    reserved_step : Send or ForwardTo or None
        Step that takes over from a silent endpoint; its retry has been paid for.
    is_trial : bool
        True if something in it is held back, and it is sent to learn whether it still
        crashes endpoints.
    is_admitted : bool
        False if it is beyond the level of its service's patient requests.
    silence : (str, str) or None
        Silent endpoint or host that was logged last, and what followed.
    partial_event_bytes : int
        Bytes after the last complete event when the latest response ended.
    is_asked_counted, is_wanted_counted : bool
        Whether the request was counted as asked for, and as wanted in other regions.
    forward_tokens : int
        Tokens that forwarding it takes from the allowance; 0 if it is not limited.
    """

    attempts_left: int
    culprits: Culprits
    may_have_run: bool = False
    may_have_run_before: bool = False
    has_response_started: bool = False
    tried: set = attrs.field(factory=set)
    tried_remote_hosts: set = attrs.field(factory=set)
    scanner: EventScanner = attrs.field(factory=EventScanner)
    sends: int = 0
    is_abandoned: bool = False
    left_out: dict | None = None
    endpoint: str = ""
    ttft_s: float | None = None
    total_s: float | None = None
    uncached_tokens: int = 0
    machine_pace: float | None = None
    machine_pace_age_s: float | None = None
    sent_at: float | None = None
    began_at: float | None = None
    entry_revision: int = 0
    warmup_hosts: int = 0
    max_event_gap_s: float | None = None
    received: object = None
    partial_event_bytes: int = 0
    reserved_step: object = None
    is_trial: bool = False
    is_admitted: bool = True
    silence: tuple | None = None
    is_asked_counted: bool = False
    is_wanted_counted: bool = False
    forward_tokens: int = 0

    def body_fields(self):
        """Return the fields of log lines that tell how the latest response ended."""
        return {
            "framing": self.received.framing.value if self.received else None,
            "body_bytes": self.received.size if self.received else 0,
            "partial_event_bytes": self.partial_event_bytes,
        }

    def pace_fields(self):
        """Return the fields of log lines about a reported machine pace, if any."""
        if self.machine_pace_age_s is None:
            return {}
        return {
            "machine_pace": round(self.machine_pace, 2),
            "machine_pace_age_s": round(self.machine_pace_age_s, 3),
        }

    @property
    def outcome(self):
        """Outcome to report if no response arrives."""
        return Outcome.UNKNOWN if self.may_have_run else Outcome.NOT_RUN


def may_repeat(route):
    """Return whether a request of a route may run more than once."""
    return route.repeatable or (route.is_stream and route.resumable)


def deadline_exceeded(progress):
    """Return the refusal of a request whose deadline passed before a response."""
    return DeadlineExceeded(
        detail="the deadline passed before the answer", outcome=progress.outcome
    )


def culprits_in(req):
    """Return what may be at fault in a request if an endpoint crashes."""
    # Hosts share no secret here, and digests are only exchanged among them.
    return culprits_of("", req)


def suspected(thing, outcome):
    """Return the refusal of a request of which something is held back.

    Parameters
    ----------
    thing : int
        Digest of what is held back.
    outcome : Outcome
        Whether the request may have run.
    """
    return RequestSuspected(
        detail="endpoints died while they ran this request, or others with a part "
        f"of its prompt (held back: {to_text(thing)})",
        outcome=outcome,
        retry_after_s=_SUSPECTED_RETRY_S,
    )


def new_progress(req, attempts, culprits=None):
    """Return the initial state of a request.

    Parameters
    ----------
    req : Request
        The request.
    attempts : int
        Number of attempts.
    culprits : Culprits or None
        What may be at fault in it, if that is known already.
    """
    return Progress(attempts, culprits or culprits_in(req))
