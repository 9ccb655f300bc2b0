"""The platform's HTTP dialect: headers of callers, endpoints and refusals."""

import json

from ..internal.http import end_to_end_headers, header
from ..serving.dialect import CallerHead, Dialect, ResponseMetadata

_KEY_SCHEME = "token "
# Set by the gateway only; a caller's values are dropped. ``tenant`` is the team.
_GATEWAY_HEADERS = frozenset(
    {
        b"authorization",
        b"deadline-ms",
        b"expect-instance",
        b"expected-version",
        b"host",
        b"kv-backup",
        b"kv-fetch",
        b"kv-from",
        b"kv-hold",
        b"pin-ms",
        b"request-priority",
        b"tenant",
        b"content-length",
        b"expect",
    }
)
# Forwarded even if the caller lists them in ``connection`` as hop-by-hop.
_ALWAYS_FORWARDED_HEADERS = frozenset(
    {b"request-id", b"model", b"token-usage", b"prompt-prefix", b"last-event-id"}
)
# Engines serve lower values first, from 0 to 9.
_MAX_PRIORITY = 9


def _parse_int(text):
    try:
        return int(text)
    except (TypeError, ValueError):
        return None


def _parse_usage(text):
    """Return prompt and output tokens of "PROMPT,OUTPUT"; None if malformed."""
    first, _, second = (text or "").partition(",")
    prompt, output = _parse_int(first), _parse_int(second)
    return None if prompt is None or output is None else (prompt, output)


def _parse_segments(text):
    """Return the segments of "ID:TOKENS,ID:TOKENS"; empty if any is malformed."""
    segments = []
    for entry in (text or "").split(","):
        segment, _, tokens = entry.strip().partition(":")
        count = _parse_int(tokens)
        if not segment or count is None:
            return ()
        segments.append((segment, count))
    return tuple(segments)


def _parse_token_counts(headers):
    usage = _parse_usage(header(headers, b"token-usage"))
    max_output = usage[1] if usage else 0
    hint = _parse_int(header(headers, b"length-hint"))
    return {
        "size_tokens": None if usage is None else float(sum(usage)),
        "prompt_tokens": usage[0] if usage else 0,
        "output_tokens": max_output if hint is None else min(max_output, hint),
        "prompt_segments": _parse_segments(header(headers, b"prompt-prefix")),
    }


def read_head(event):
    """Parse the head of a caller's request.

    Parameters
    ----------
    event : h11.Request
        Request head as received.

    Returns
    -------
    CallerHead
    """
    headers = list(event.headers)
    text = header(headers, b"authorization", "")
    secret = b""
    if text[: len(_KEY_SCHEME)].lower() == _KEY_SCHEME:
        secret = text[len(_KEY_SCHEME) :].strip().encode("latin-1")
    budget_ms = _parse_int(header(headers, b"deadline-ms"))
    return CallerHead(
        request_id=header(headers, b"request-id", ""),
        host=header(headers, b"host", "").partition(":")[0].lower(),
        path=event.target.decode("latin-1").partition("?")[0],
        secret=secret,
        budget_s=None if budget_ms is None else budget_ms / 1000,
        forwardable_headers=_filter_request_headers(headers),
        **_parse_token_counts(headers),
    )


def _filter_request_headers(headers):
    """Return the caller's headers that are forwarded to an endpoint."""
    hop_by_hop = {
        name.strip().lower()
        for key, value in headers
        if key == b"connection"
        for name in value.split(b",")
    }
    dropped = _GATEWAY_HEADERS | (hop_by_hop - _ALWAYS_FORWARDED_HEADERS)
    forwarded = [(k, v) for k, v in end_to_end_headers(headers) if k not in dropped]
    return forwarded + [(k, v) for k, v in headers if k == b"host"]


def read_forwarded_head(headers):
    """Parse the headers of a request forwarded by another host."""
    return CallerHead(
        request_id=header(headers, b"request-id", ""),
        host="",
        path="",
        secret=b"",
        budget_s=None,
        forwardable_headers=headers,
        **_parse_token_counts(headers),
    )


def build_endpoint_headers(req, endpoint, budget_s, last_event_id):
    """Build the headers of a request to an endpoint.

    Parameters
    ----------
    req : Request
        Request to be sent.
    endpoint : Endpoint
        Target endpoint. It is named in ``expect-instance``, so that any other
        endpoint at the address rejects the request unexecuted.
    budget_s : float
        Time left until the deadline, in seconds.
    last_event_id : str
        Last event received of a stream that is resumed; empty for a new one.
    """
    headers = list(req.headers)
    if last_event_id:
        headers = [(k, v) for k, v in headers if k != b"last-event-id"]
        headers.append((b"last-event-id", last_event_id.encode("latin-1")))
    headers.append((b"content-length", str(len(req.body)).encode()))
    headers.append((b"deadline-ms", str(max(1, int(budget_s * 1000))).encode()))
    headers.append((b"expect-instance", endpoint.name.encode()))
    if req.team is not None:
        headers.append((b"tenant", req.team.name.encode()))
    if req.is_stream:
        priority = req.route.priority
        if req.team is not None and req.team.priority is not None:
            priority = req.team.priority
        priority = min(_MAX_PRIORITY, max(0, priority))
        headers.append((b"request-priority", str(priority).encode()))
    return headers


def read_response_head(status, headers):
    """Parse the head of an endpoint's response.

    Parameters
    ----------
    status : int
        HTTP status.
    headers : list of (bytes, bytes)
        Response headers.

    Returns
    -------
    ResponseMetadata
    """
    is_misdirected = status == 421
    return ResponseMetadata(
        request_id=header(headers, b"request-id"),
        is_not_run=header(headers, b"not-executed") is not None,
        is_misdirected=is_misdirected,
        is_signed=header(headers, b"response-signature") is not None,
        work=_parse_load(header(headers, b"instance-load")),
        idle_s=_parse_keep_alive(header(headers, b"keep-alive")),
        will_close="close" in header(headers, b"connection", "").lower(),
    )


def _parse_load(text):
    numbers = [_parse_int(item) for item in (text or "").split(",")]
    return None if len(numbers) != 3 or None in numbers else tuple(numbers)


def _parse_keep_alive(text):
    for parameter in (text or "").split(","):
        name, _, value = parameter.strip().partition("=")
        if name.lower() == "timeout":
            return _parse_int(value)
    return None


def filter_response_headers(headers):
    """Return the endpoint's response headers that are passed to the caller."""
    return end_to_end_headers(headers)


def render_refusal(refusal, request_id):
    """Render a refusal as a response.

    Here ``retry-after`` may have a fraction of a second, unlike standard HTTP.

    Parameters
    ----------
    refusal : Refusal
        Refusal to report.
    request_id : str
        The caller's request identifier; empty if it sent none.

    Returns
    -------
    status : int
    headers : list of (bytes, bytes)
    body : bytes
    """
    status = _refusal_status(refusal)
    body = json.dumps({"error": refusal.type_name, "detail": refusal.detail}).encode()
    headers = [
        (b"content-type", b"application/json"),
        (b"content-length", str(len(body)).encode()),
    ]
    if request_id:
        headers.append((b"request-id", request_id.encode("latin-1")))
    if refusal.retry_after_s is not None:
        headers.append((b"retry-after", f"{refusal.retry_after_s:.3f}".encode()))
    return status, headers, body


# Callers take these statuses as a guarantee that the request was not run.
_NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})
_UNAVAILABLE, _BAD_GATEWAY = 503, 502


def _refusal_status(refusal):
    """Return a status that implies ``not_run`` only if the refusal's outcome does."""
    is_not_run = refusal.outcome.value == "not_run"
    if is_not_run and refusal.status >= 500 or refusal.type_name == "RequestSuspected":
        return _UNAVAILABLE if is_not_run else _BAD_GATEWAY
    if not is_not_run and refusal.status in _NOT_RUN_STATUSES:
        return _BAD_GATEWAY
    return refusal.status


DIALECT = Dialect(
    read_head=read_head,
    read_forwarded_head=read_forwarded_head,
    build_endpoint_headers=build_endpoint_headers,
    read_response_head=read_response_head,
    filter_response_headers=filter_response_headers,
    render_refusal=render_refusal,
)
