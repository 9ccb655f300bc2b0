"""What a dialect of the outside world has to provide.

A dialect turns heads of messages into the types below and back. The serving
parts work on these types only; the functions are chosen when the process
starts.
"""

import attrs


@attrs.frozen(kw_only=True)
class CallerHead:
    """Head of a caller's request.

    Attributes
    ----------
    request_id : str
        Identifier of this attempt of the caller.
    host, path : str
        What selects the route.
    secret : bytes
        The caller's key; empty if none came.
    budget_s : float or None
        How long the caller waits, in seconds.
    size_tokens : float or None
        Prompt tokens and most output tokens together; None if not stated.
    prompt_tokens : int
        Stated size of the prompt.
    output_tokens : int
        Expected size of the answer.
    prompt_segments : tuple of (str, int)
        The prompt's parts in order with their tokens.
    forwardable_headers : list of (bytes, bytes)
        Headers that an endpoint may see.
    """

    request_id: str
    host: str
    path: str
    secret: bytes = attrs.field(repr=False)
    budget_s: float | None
    size_tokens: float | None
    prompt_tokens: int
    output_tokens: int
    prompt_segments: tuple
    forwardable_headers: list = attrs.field(repr=False)


@attrs.frozen(kw_only=True)
class ResponseMetadata:
    """What the head of an endpoint's answer says.

    Attributes
    ----------
    request_id : str or None
        The request that it answers; None if it names none.
    is_not_run : bool
        True if the endpoint says that it did not run the request.
    is_misdirected : bool
        True if another endpoint has the address now.
    is_signed : bool
        True if the answer carries the endpoint's signature.
    work : tuple of (int, int, int) or None
        Requests running and waiting there, and how many it runs at most.
    idle_s : float or None
        How long the connection may stay idle, in seconds.
    will_close : bool
        True if the endpoint closes the connection.
    """

    request_id: str | None
    is_not_run: bool
    is_misdirected: bool
    is_signed: bool
    work: tuple | None
    idle_s: float | None
    will_close: bool


@attrs.frozen(kw_only=True)
class Dialect:
    """How callers and endpoints speak, as functions.

    Attributes
    ----------
    read_head : callable
        ``read_head(h11.Request)`` returns a :class:`CallerHead`.
    read_forwarded_head : callable
        ``read_forwarded_head(headers)`` returns the facts of headers that
        another host passed on, as a :class:`CallerHead` without a key.
    build_endpoint_headers : callable
        ``build_endpoint_headers(req, endpoint, budget_s, last_event_id)`` returns
        the headers of a request to an endpoint.
    read_response_head : callable
        ``read_response_head(status, headers)`` returns :class:`ResponseMetadata`.
    filter_response_headers : callable
        ``filter_response_headers(headers)`` returns what a caller may see.
    render_refusal : callable
        ``render_refusal(refusal, request_id)`` returns status, headers, body.
    """

    read_head: object
    read_forwarded_head: object
    build_endpoint_headers: object
    read_response_head: object
    filter_response_headers: object
    render_refusal: object
