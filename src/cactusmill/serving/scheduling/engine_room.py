"""Prompt tokens queued at engines by patience, and the KV cache that requests hold.

Answers the load pattern of an urgent request at an engine whose queue consists of
patient requests, or whose memory is full of long streams. An engine prefills urgent
prompts first, so that patient ones in its queue do not delay them. An engine without
free memory preempts running streams.

Used by :mod:`..placement` and :mod:`..sending`, for ranked services only (see
:mod:`.patience`). Tokens are those of the engine's tokenizer, as estimated from the
prompt.
"""

import attrs

from ...internal.request import request_priority

# Fraction of an engine's KV cache that requests in flight may hold. The rest covers
# responses that are longer than expected.
MEMORY_FRACTION = 0.95
# Time until a stream of a full batch ends and the most urgent queued request starts. At
# 1.0 s, the cost for others, urgent requests are refused wherever patient ones fill the
# batches; at 0.1 s so many start that streams become too slow.
URGENT_SLOT_WAIT_S = 0.3


@attrs.frozen(kw_only=True)
class EngineNeed:
    """What a request of a ranked service needs of an engine.

    Attributes
    ----------
    is_patient : bool
        True if engines prefill the prompts of more urgent requests first, and it may
        wait for them.
    held_tokens : int
        Tokens of KV cache that it will hold.
    max_held_tokens : float
        Tokens of KV cache that all requests in flight at one engine may hold.
    """

    is_patient: bool
    held_tokens: int
    max_held_tokens: float


@attrs.define(eq=False)
class EngineRoom:
    """What this host's requests in flight take of one engine, in tokens.

    Attributes
    ----------
    patient_tokens : int
        Uncached prompt tokens of patient requests whose response has not begun.
    held_tokens : int
        KV cache held by all requests.
    promised_tokens : int
        The part of `held_tokens` of requests whose response has not begun.
    """

    patient_tokens: int = 0
    held_tokens: int = 0
    promised_tokens: int = 0


@attrs.define(eq=False)
class RoomShare:
    """What one request takes of an engine, counted in its room while it runs.

    It keeps the room in which it was counted: an engine that restarts gets another.

    Attributes
    ----------
    room : EngineRoom
        The room that counts it.
    patient_tokens, held_tokens, promised_tokens : int
        What it adds to the attributes of the room.
    """

    room: EngineRoom
    patient_tokens: int
    held_tokens: int
    promised_tokens: int = attrs.field(init=False)

    def __attrs_post_init__(self):
        self.promised_tokens = self.held_tokens
        self.room.patient_tokens += self.patient_tokens
        self.room.held_tokens += self.held_tokens
        self.room.promised_tokens += self.promised_tokens

    def mark_prompt_read(self):
        """Stop counting the prompt, once its prefill has ended."""
        self.room.patient_tokens -= self.patient_tokens
        self.room.promised_tokens -= self.promised_tokens
        self.patient_tokens = self.promised_tokens = 0

    def end(self):
        """Stop counting the request."""
        self.mark_prompt_read()
        self.room.held_tokens -= self.held_tokens
        self.held_tokens = 0


def find_need(req, service, configuration):
    """Return what a request needs of an engine.

    Parameters
    ----------
    req : Request
        The request.
    service : Service
        Its service.
    configuration : Configuration or None
        The configuration in force.

    Returns
    -------
    EngineNeed or None
        None if the service is not ranked.
    """
    if configuration is None or service.name not in configuration.ranked_services:
        return None
    # A team's priority may be more urgent than that of the route.
    is_patient = (
        req.route.name in configuration.patient_routes
        and request_priority(req) >= req.route.priority
    )
    return EngineNeed(
        is_patient=is_patient,
        held_tokens=count_held(req),
        max_held_tokens=max_held_tokens(service),
    )


def count_held(req):
    """Return the tokens of KV cache that a request will hold at an engine.

    Only its own last prompt segment and its expected response count. Requests share
    the memory of the other segments. Hosts report one sum each, so that shared
    segments would count once per host.
    """
    segments = req.prompt_segments
    own_tokens = segments[-1][1] if segments else req.prompt_tokens
    return own_tokens + req.output_tokens


def max_held_tokens(service):
    """Return the tokens of KV cache that requests in flight at an engine may hold.

    Infinite if the configuration does not give the size of the cache.
    """
    return MEMORY_FRACTION * service.kv_cache_tokens or float("inf")


def add_share(room, need, uncached_tokens):
    """Count a request that is sent to an engine.

    Parameters
    ----------
    room : EngineRoom
        Room of the engine.
    need : EngineNeed or None
        What the request needs; None if its service is not ranked.
    uncached_tokens : int
        Its prompt tokens that the engine will prefill.

    Returns
    -------
    RoomShare or None
        None if nothing is counted.
    """
    if need is None:
        return None
    return RoomShare(room, uncached_tokens if need.is_patient else 0, need.held_tokens)


def tokens_ahead(need, queued, patient):
    """Return the queued prompt tokens that an engine prefills before a request.

    Parameters
    ----------
    need : EngineNeed
        What the request needs.
    queued : float
        All prompt tokens queued at the engine.
    patient : float
        Those of patient requests.
    """
    return queued if need.is_patient else max(0.0, queued - patient)


def full_batch_cost_s(need, is_batch_full, is_memory_full, cost_s):
    """Return the time that a full engine adds to the wait of a request.

    Parameters
    ----------
    need : EngineNeed or None
        What the request needs; None if its service is not ranked.
    is_batch_full : bool
        Whether the engine has as many requests as its batch holds.
    is_memory_full : bool
        Whether it has no memory for the request.
    cost_s : float
        What a full batch costs a request that waits in turn, in seconds.

    Returns
    -------
    float
        Seconds.
    """
    if is_memory_full:
        return cost_s
    if not is_batch_full:
        return 0.0
    if need is None or need.is_patient:
        return cost_s
    return URGENT_SLOT_WAIT_S


def has_memory(need, held):
    """Return whether an engine whose requests hold `held` tokens has room for one."""
    return held + need.held_tokens <= need.max_held_tokens
