"""Heads of messages as the platform's callers and endpoints write them."""

import json

from ..internal.http import end_to_end_headers, header
from ..serving.dialect import CallerHead, Dialect, ResponseMetadata

_KEY_SCHEME = "token "
# Set by the gateway alone, whatever a caller sent. The tenant names the team.
_OWN_HEADERS = frozenset(
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
# Reach the endpoint even if a caller lists them as its connection's own.
_NEEDED_HEADERS = frozenset(
    {b"request-id", b"model", b"token-usage", b"prompt-prefix", b"last-event-id"}
)
# Engines take urgent requests first: 0 before 9.
_LAST_RANK = 9


def _read_number(text):
    try:
        return int(text)
    except (TypeError, ValueError):
        return None


def _read_usage(text):
    """Return prompt and output tokens of "PROMPT,OUTPUT", or None."""
    first, _, second = (text or "").partition(",")
    prompt, output = _read_number(first), _read_number(second)
    return None if prompt is None or output is None else (prompt, output)


def _read_parts(text):
    """Return the parts of "ID:TOKENS,ID:TOKENS"; none if any is unreadable."""
    parts = []
    for entry in (text or "").split(","):
        part, _, tokens = entry.strip().partition(":")
        count = _read_number(tokens)
        if not part or count is None:
            return ()
        parts.append((part, count))
    return tuple(parts)


def _facts(headers):
    usage = _read_usage(header(headers, b"token-usage"))
    most = usage[1] if usage else 0
    hint = _read_number(header(headers, b"length-hint"))
    return {
        "size_tokens": None if usage is None else float(sum(usage)),
        "prompt_tokens": usage[0] if usage else 0,
        "output_tokens": most if hint is None else min(most, hint),
        "prompt_segments": _read_parts(header(headers, b"prompt-prefix")),
    }


def read_head(event):
    """Read the head of a caller's request.

    Parameters
    ----------
    event : h11.Request
        As received.

    Returns
    -------
    CallerHead
    """
    headers = list(event.headers)
    text = header(headers, b"authorization", "")
    secret = b""
    if text[: len(_KEY_SCHEME)].lower() == _KEY_SCHEME:
        secret = text[len(_KEY_SCHEME) :].strip().encode("latin-1")
    budget_ms = _read_number(header(headers, b"deadline-ms"))
    return CallerHead(
        request_id=header(headers, b"request-id", ""),
        host=header(headers, b"host", "").partition(":")[0].lower(),
        path=event.target.decode("latin-1").partition("?")[0],
        secret=secret,
        budget_s=None if budget_ms is None else budget_ms / 1000,
        forwardable_headers=_passed(headers),
        **_facts(headers),
    )


def _passed(headers):
    """Return the headers of a caller that an endpoint may see."""
    listed = {
        name.strip().lower()
        for key, value in headers
        if key == b"connection"
        for name in value.split(b",")
    }
    dropped = _OWN_HEADERS | (listed - _NEEDED_HEADERS)
    passed = [(k, v) for k, v in end_to_end_headers(headers) if k not in dropped]
    return passed + [(k, v) for k, v in headers if k == b"host"]


def read_forwarded_head(headers):
    """Read the headers that another host passed on."""
    return CallerHead(
        request_id=header(headers, b"request-id", ""),
        host="",
        path="",
        secret=b"",
        budget_s=None,
        forwardable_headers=headers,
        **_facts(headers),
    )


def build_endpoint_headers(req, endpoint, budget_s, last_event_id):
    """Return the headers of a request to an endpoint.

    Parameters
    ----------
    req : Request
        The request.
    endpoint : Endpoint
        Who is to run it; any other answers that it did not.
    budget_s : float
        Time that is left, in seconds.
    last_event_id : str
        Event behind which a stream goes on; empty at its beginning.
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
        rank = req.route.priority
        if req.team is not None and req.team.priority is not None:
            rank = req.team.priority
        rank = min(_LAST_RANK, max(0, rank))
        headers.append((b"request-priority", str(rank).encode()))
    return headers


def read_response_head(status, headers):
    """Read the head of an endpoint's answer.

    Parameters
    ----------
    status : int
        Its status.
    headers : list of (bytes, bytes)
        Its headers.

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
        work=_read_work(header(headers, b"instance-load")),
        idle_s=_read_idle(header(headers, b"keep-alive")),
        will_close="close" in header(headers, b"connection", "").lower(),
    )


def _read_work(text):
    numbers = [_read_number(part) for part in (text or "").split(",")]
    return None if len(numbers) != 3 or None in numbers else tuple(numbers)


def _read_idle(text):
    for part in (text or "").split(","):
        name, _, value = part.strip().partition("=")
        if name.lower() == "timeout":
            return _read_number(value)
    return None


def filter_response_headers(headers):
    """Return the headers of an endpoint's answer that a caller may see."""
    return end_to_end_headers(headers)


def render_refusal(refusal, request_id):
    """Render a refusal; times to come back may be fractions here.

    Parameters
    ----------
    refusal : Refusal
        What the caller is told.
    request_id : str
        The caller's identifier; empty if it gave none.

    Returns
    -------
    status : int
    headers : list of (bytes, bytes)
    body : bytes
    """
    status = _promise_status(refusal)
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


# Callers take these as a promise that the request never runs.
_PROMISE_STATUSES = frozenset({408, 421, 429, 503})
_UNAVAILABLE, _BAD_GATEWAY = 503, 502


def _promise_status(refusal):
    """Return a status that promises just what the refusal's outcome says."""
    is_not_run = refusal.outcome.value == "not_run"
    if is_not_run and refusal.status >= 500 or refusal.type_name == "RequestSuspected":
        return _UNAVAILABLE if is_not_run else _BAD_GATEWAY
    if not is_not_run and refusal.status in _PROMISE_STATUSES:
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
