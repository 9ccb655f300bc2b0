"""The platform's HTTP conventions, as a :class:`cactusmill.serving.dialect.Dialect`.

Parses the heads of callers' requests and of endpoints' responses, builds the headers of
requests to endpoints, and renders refusals (responses of the gateway in place of an
endpoint's). A malformed value of an optional header counts as missing; a time limit or
a size that is out of bounds or repeated is a problem of the request. In header names, a
tenant is a team and an instance is an endpoint.
"""

import json
import re

from ..internal.http import (
    MAX_COUNT,
    end_to_end_headers,
    header,
    parse_count,
    parse_keep_alive,
    parse_retry_after,
)
from ..internal.request import request_priority
from ..serving.dialect import CallerHead, Dialect, ResponseMetadata

_KEY_SCHEME = "token "
# Never copied from the caller: headers that only the gateway may set, and those that
# it sets anew or consumes. ``host`` is copied separately.
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
# Forwarded even if the caller lists them in ``connection`` as hop-by-hop. In a
# request, ``token-usage`` has the tokens of the prompt and the limit on output tokens.
_ALWAYS_FORWARDED_HEADERS = frozenset(
    {b"request-id", b"model", b"token-usage", b"prompt-prefix", b"last-event-id"}
)
# Priorities range from 0, which engines serve first, to 9.
_MAX_PRIORITY = 9
_INTEGER = re.compile(r"-?[0-9]+", re.ASCII)
_MAX_LOGGED_CHARS = 20
# Largest pace of a machine, in percent.
_MAX_PACE = 1_000_000


def _find_problem(headers):
    """Return why a request's time limit or size cannot be accepted, or None."""
    for name in (b"deadline-ms", b"token-usage"):
        texts = [v.decode("latin-1") for k, v in headers if k == name]
        if len(texts) > 1:
            return f"{name.decode()} is sent {len(texts)} times; send it once"
        for text in ",".join(texts).split(","):
            if _INTEGER.fullmatch(text.strip()) and parse_count(text) is None:
                return (
                    f"{name.decode()} has {text.strip()[:_MAX_LOGGED_CHARS]}; "
                    f"send whole numbers from 0 to {MAX_COUNT}"
                )
    return None


def _parse_usage(text):
    """Return the token counts of "PROMPT,MAX_OUTPUT"; None if malformed or missing."""
    first, _, second = (text or "").partition(",")
    prompt, max_output = parse_count(first), parse_count(second)
    return None if prompt is None or max_output is None else (prompt, max_output)


def _parse_segments(text):
    """Parse the prompt segments of "ID:TOKENS,ID:TOKENS".

    Returns
    -------
    tuple of (str, int)
        Identifier and token count of each segment; empty if any is malformed.
    """
    segments = []
    for entry in (text or "").split(","):
        segment, _, tokens = entry.strip().partition(":")
        count = parse_count(tokens)
        if not segment or count is None:
            return ()
        segments.append((segment, count))
    return tuple(segments)


def _parse_token_counts(headers):
    """Return the fields of `CallerHead` that describe the prompt and the response.

    ``length-hint`` is the expected number of output tokens. The rate limit counts the
    maximum instead (`size_tokens`).
    """
    usage = _parse_usage(header(headers, b"token-usage"))
    max_output = usage[1] if usage else 0
    hint = parse_count(header(headers, b"length-hint"))
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
    credentials = header(headers, b"authorization", "")
    secret = b""
    if credentials[: len(_KEY_SCHEME)].lower() == _KEY_SCHEME:
        secret = credentials[len(_KEY_SCHEME) :].strip().encode("latin-1")
    budget_ms = parse_count(header(headers, b"deadline-ms"))
    return CallerHead(
        request_id=header(headers, b"request-id", ""),
        host=header(headers, b"host", "").partition(":")[0].lower(),
        path=event.target.decode("latin-1").partition("?")[0],
        secret=secret,
        budget_s=None if budget_ms is None else budget_ms / 1000,
        problem=_find_problem(headers),
        forwardable_headers=_filter_request_headers(headers),
        **_parse_token_counts(headers),
    )


def _filter_request_headers(headers):
    """Return the caller's headers that are forwarded to an endpoint."""
    listed_as_hop_by_hop = {
        name.strip().lower()
        for key, value in headers
        if key == b"connection"
        for name in value.split(b",")
    }
    dropped = _GATEWAY_HEADERS | (listed_as_hop_by_hop - _ALWAYS_FORWARDED_HEADERS)
    forwarded = [(k, v) for k, v in end_to_end_headers(headers) if k not in dropped]
    return forwarded + [(k, v) for k, v in headers if k == b"host"]


def read_forwarded_head(headers):
    """Parse the headers of a request forwarded by another host.

    That host has matched the route, checked the API key and filtered the headers; the
    remaining time is sent beside them. The fields for these are therefore empty.
    """
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
        endpoint at the address rejects the request with status 421 and does not run
        it.
    budget_s : float
        Time left until the deadline, in seconds. Sent in ``deadline-ms`` as at least
        1 ms.
    last_event_id : str
        ID of the last event received of a stream that is resumed; empty for a new
        stream.

    Returns
    -------
    list of (bytes, bytes)
        A stream also has the priority of its team or else of its route.
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
        priority = min(_MAX_PRIORITY, max(0, request_priority(req)))
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
    load = _parse_load(load_text := header(headers, b"instance-load")) or ()
    return ResponseMetadata(
        request_id=header(headers, b"request-id"),
        is_not_run=header(headers, b"not-executed") is not None,
        is_misdirected=is_misdirected,
        is_signed=header(headers, b"response-signature") is not None,
        work=load[:3] or None,
        pace=load[3] / 100 if load[3:] else None,
        is_load_malformed=load_text is not None and not load,
        idle_s=parse_keep_alive(header(headers, b"keep-alive")),
        will_close="close" in header(headers, b"connection", "").lower(),
        is_leaving=header(headers, b"server-leaving", "").strip() == "1",
        pause_s=parse_retry_after(headers) if status == _UNAVAILABLE else None,
    )


def _parse_load(text):
    """Return the numbers of "RUNNING,QUEUED,CAPACITY[,PACE]"; None if malformed."""
    # Later versions may append more values.
    numbers = [parse_count(item) for item in (text or "").split(",", 4)[:4]]
    is_malformed = len(numbers) < 3 or None in numbers or numbers[3:] > [_MAX_PACE]
    return None if is_malformed else tuple(numbers)


def filter_response_headers(headers):
    """Return the endpoint's response headers that are passed to the caller."""
    return end_to_end_headers(headers)


def render_refusal(refusal, request_id):
    """Render a refusal as a response.

    ``retry-after`` is in seconds with three decimals, whereas standard HTTP permits
    whole seconds only.

    Parameters
    ----------
    refusal : Refusal
        Refusal to report.
    request_id : str
        The caller's identifier of the request; empty if it sent none.

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
    """Return the status of a refusal.

    Statuses of `_NOT_RUN_STATUSES` are replaced if the request may have been run. If it
    was not run, any status from 500 on is replaced by 503, which is one of them.
    """
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
