"""Relay of responses to callers: complete bodies, and streams event by event."""

from ..errors import ExchangeError
from ..internal.event_stream import (
    check_last_event,
    count_events,
    is_event_stream,
    last_bytes,
)

_MAX_RESPONSE_BYTES = 16 * 1024 * 1024
# Longest time without data before a stream is resumed at another endpoint. Callers
# give up after two seconds or more.
STREAM_STALL_S = 1.6


def stall_timeout_s(req, remaining_s):
    """Return the longest permitted time without data in a response, in seconds.

    Parameters
    ----------
    req : Request
        The request.
    remaining_s : float
        Time until its deadline, in seconds.
    """
    if req.is_stream and req.route.resumable:
        return min(remaining_s, STREAM_STALL_S)
    return remaining_s


async def read_body(response):
    """Return the complete body of a response.

    Raises
    ------
    ExchangeError
        If it is truncated or too large.
    """
    chunks, size = [], 0
    while (data := await response.next_data()) is not None:
        chunks.append(data)
        size += len(data)
        if size > _MAX_RESPONSE_BYTES:
            raise ExchangeError(f"an answer over {_MAX_RESPONSE_BYTES} bytes")
    return b"".join(chunks)


async def drain(host, response):
    """Discard the body of a response, so that its connection can be reused."""
    try:
        while await response.next_data() is not None:
            pass
    except ExchangeError:
        # The head was enough; only the connection is lost.
        response.abort()
        return
    await response.release(host.now())


def has_events(req, progress, response):
    """Return whether a response is relayed event by event, rather than as a body.

    Raises
    ------
    ExchangeError
        If a body cannot be relayed, since events were relayed before.
    """
    is_success = 200 <= response.status < 300
    if req.is_stream and is_success and is_event_stream(response.headers):
        return True
    if progress.has_response_started:
        raise ExchangeError("the response cannot continue the stream")
    return False


async def relay_body(host, sink, progress, response, body):
    """Relay a response with its complete body."""
    headers = host.dialect.filter_response_headers(response.headers)
    headers = [*headers, (b"content-length", str(len(body)).encode())]
    progress.has_response_started = True
    await sink.head(response.status, headers)
    if body:
        await sink.data(body)
    await sink.end()


async def relay_stream(host, req, sink, progress, choice, response, load, sent_at):
    """Relay the complete events of a stream as they arrive.

    `choice` is None for a stream of another host, which records times and load
    itself.

    Raises
    ------
    ExchangeError
        If the stream breaks off.
    """
    scanner = progress.scanner
    is_first, event_at, tail = True, host.now(), b""
    while (data := await response.next_data()) is not None:
        tail = last_bytes(tail, data)
        complete_events = scanner.feed(data)
        if complete_events and not is_first:
            now = host.now()
            gap_s = now - event_at
            progress.max_event_gap_s = max(progress.max_event_gap_s or 0.0, gap_s)
            if choice is not None:
                choice.view.record_event_gap(gap_s / count_events(complete_events), now)
            event_at = now
        if is_first:
            is_first, event_at = False, host.now()
            load.mark_prompt_read()
            if choice is not None:
                host.placement.record_response_start(
                    choice, host.service(req.service), host.now() - sent_at, host.now()
                )
        if complete_events:
            await _send_head(host, sink, progress, response)
            await sink.data(complete_events)
    check_last_event(tail, response.received.framing)
    await response.release(host.now())
    load.is_complete = True
    await _send_head(host, sink, progress, response)
    await sink.end()


async def _send_head(host, sink, progress, response):
    """Relay the head unless it has been sent: a resumed stream keeps its first."""
    if progress.has_response_started:
        return
    progress.has_response_started = True
    headers = host.dialect.filter_response_headers(response.headers)
    await sink.head(response.status, headers)
