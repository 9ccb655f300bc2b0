"""Interface of a dialect: the HTTP conventions of a platform.

A dialect converts between message heads and the types below. The modules of this
package use only these types; the dialect is chosen when the process starts.
"""

import attrs


@attrs.frozen(kw_only=True)
class CallerHead:
    """Head of a caller's request.

    Attributes
    ----------
    request_id : str
        The caller's identifier of this attempt.
    host, path : str
        Host name and path, which select the route.
    secret : bytes
        The caller's API key; empty if none was sent.
    budget_s : float or None
        How long the caller waits for a response, in seconds; None if not stated.
    size_tokens : float or None
        Prompt tokens plus the maximum of output tokens; None if not stated.
    prompt_tokens : int
        Stated length of the prompt; 0 if not stated.
    output_tokens : int
        Expected length of the response; 0 if not stated.
    prompt_segments : tuple of (str, int)
        Identifiers and token counts of the prompt's segments, in order.
    forwardable_headers : list of (bytes, bytes)
        Headers that may be sent to an endpoint.
    problem : str or None
        Why the request is refused as malformed; None if it is not.
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
    problem: str | None = None


@attrs.frozen(kw_only=True)
class ResponseMetadata:
    """Metadata in the head of an endpoint's response.

    Attributes
    ----------
    request_id : str or None
        Identifier of the request it responds to; None if it carries none.
    is_not_run : bool
        True if the endpoint reports that it did not run the request.
    is_misdirected : bool
        True if the address now belongs to another endpoint.
    is_signed : bool
        True if the response carries the endpoint's signature.
    work : tuple of (int, int, int) or None
        Running requests, queued requests and capacity of the endpoint; None if not
        reported.
    pace : float or None
        How long work takes on the endpoint's machine now, as a factor of the usual;
        None if not reported.
    is_load_malformed : bool
        True if a report of `work` or `pace` could not be read.
    idle_s : float or None
        Idle timeout of the connection, in seconds; None if not announced.
    will_close : bool
        True if the endpoint closes the connection.
    is_leaving : bool
        True if the endpoint says that it is leaving.
    pause_s : float or None
        How long the endpoint wants no requests from this host, in seconds; None if it
        does not say so.
    """

    request_id: str | None
    is_not_run: bool
    is_misdirected: bool
    is_signed: bool
    work: tuple | None
    idle_s: float | None
    will_close: bool
    is_leaving: bool = False
    pause_s: float | None = None
    pace: float | None = None
    is_load_malformed: bool = False


@attrs.frozen(kw_only=True)
class Dialect:
    """Functions that implement the conventions of callers and endpoints.

    Attributes
    ----------
    read_head : callable
        ``read_head(h11.Request)`` returns a :class:`CallerHead`.
    read_forwarded_head : callable
        ``read_forwarded_head(headers)`` reads the headers of a request that
        another host forwarded, as a :class:`CallerHead` without a key.
    build_endpoint_headers : callable
        ``build_endpoint_headers(req, endpoint, budget_s, last_event_id)`` returns
        the headers of a request to an endpoint.
    read_response_head : callable
        ``read_response_head(status, headers)`` returns :class:`ResponseMetadata`.
    filter_response_headers : callable
        ``filter_response_headers(headers)`` returns the headers that may be sent
        to a caller.
    render_refusal : callable
        ``render_refusal(refusal, request_id)`` returns the status, headers and body
        of the response to a refused request.
    """

    read_head: object
    read_forwarded_head: object
    build_endpoint_headers: object
    read_response_head: object
    filter_response_headers: object
    render_refusal: object
