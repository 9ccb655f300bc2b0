"""Construction of a :class:`Request` from a message of a caller or a peer."""

import uuid

from returns.result import Failure, Success

from ..errors import Outcome, UnknownKey, UnknownRoute
from .chat import parse_chat
from .request import Request

# No other header is forwarded, because callers may put a key into any header.
FORWARDED_HEADERS = frozenset(
    {
        b"accept",
        b"accept-language",
        b"content-type",
        b"content-language",
    }
)


def new_request_id():
    """Return a request ID for logs, unique across the fleet."""
    return uuid.uuid4().hex


def select_forwarded_headers(headers):
    """Return the headers that may be forwarded to an endpoint."""
    return [(k, v) for k, v in headers if k in FORWARDED_HEADERS]


def build_request(
    host,
    *,
    request_id,
    route,
    team_name,
    method,
    target,
    headers,
    body,
    identifier,
    timeout_s,
):
    """Build a request from an authenticated message.

    Parameters
    ----------
    host : HostProcess
        This process.
    request_id : str
        Request ID for logs.
    route : Route or None
        Route in force on this host; None if it is not published here.
    team_name : str
        The authenticated team; empty on an open route.
    method, target : str
        Method and target of the request.
    headers : list of (bytes, bytes)
        Headers that may be forwarded.
    body : bytes
        The complete body.
    identifier : Identifier or None
        As sent by the caller.
    timeout_s : float
        Time within which the response must begin, in seconds.

    Returns
    -------
    Success of Request or Failure of Refusal
    """
    outcome = Outcome.UNKNOWN if identifier else Outcome.NOT_RUN
    if route is None:
        return Failure(UnknownRoute(detail="the route is not known", outcome=outcome))
    team = host.records.get("team", team_name) if team_name else None
    if team is None and (team_name or not route.open):
        return Failure(UnknownKey(detail="the team is not known", outcome=outcome))
    service, cost, affinity, is_stream = route.service, route.charge_tokens, "", False
    prompt_tokens, segments = 0, ()
    if route.kind == "model":
        match parse_chat(body):
            case Failure(refusal):
                return Failure(refusal)
            case Success(chat):
                service, affinity, is_stream = chat.model, chat.affinity, chat.is_stream
                prompt_tokens, segments = chat.prompt_tokens, chat.segments
                cost = float(chat.prompt_tokens + chat.max_tokens)
    return Success(
        Request(
            request_id=request_id,
            route=route,
            team=team,
            records_version=host.records.version,
            method=method,
            target=target,
            headers=headers,
            body=body,
            deadline=host.now() + timeout_s,
            service=service,
            cost_tokens=cost,
            prompt_tokens=prompt_tokens,
            affinity=affinity,
            is_stream=is_stream,
            identifier=identifier,
            prompt_segments=segments,
        )
    )
