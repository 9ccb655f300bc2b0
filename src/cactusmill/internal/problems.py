"""Rendering of refusals as problem details (RFC 9457)."""

import json
import math


def render_problem(refusal, request_id):
    """Render a refusal as an HTTP response.

    Parameters
    ----------
    refusal : Refusal
        Refusal to send to the caller.
    request_id : str
        Request ID for logs.

    Returns
    -------
    status : int
    headers : list of (bytes, bytes)
    body : bytes
    """
    problem = {
        "type": f"urn:cactusmill:problem:{refusal.type_name}",
        "title": refusal.title,
        "status": refusal.status,
        "detail": refusal.detail,
        "outcome": refusal.outcome.value,
        "request_id": request_id,
    }
    headers = [(b"content-type", b"application/problem+json")]
    if refusal.retry_after_s is not None:
        # The header holds whole seconds only; the body has the exact value.
        seconds = max(1, math.ceil(refusal.retry_after_s))
        headers.append((b"retry-after", str(seconds).encode()))
        problem["retry_after_s"] = round(refusal.retry_after_s, 3)
    if refusal.hosts:
        problem["hosts"] = list(refusal.hosts)
    if refusal.identifier:
        problem["identifier"] = refusal.identifier
    if refusal.status_url:
        problem["status_url"] = refusal.status_url
    body = json.dumps(problem).encode()
    headers.append((b"content-length", str(len(body)).encode()))
    return refusal.status, headers, body
