"""Relay of responses to callers: complete bodies, and streams event by event."""

import contextlib

import trio

from ..errors import ExchangeError
from ..internal.event_stream import (
    check_last_event,
    count_events,
    ends_event,
    is_event_stream,
    last_bytes,
)

# What is discarded of a response so that its connection can be reused.
_MAX_DRAINED_BYTES = 64 * 1024
_MAX_DRAIN_S = 0.1
# Time without data in a response after which another endpoint may take over. Callers
# give up after two seconds or more.
STALL_S = 1.6


async def drain(host, response):
    """Discard the body of a response, so that its connection can be reused.

    The head was enough: if the body is not over soon, the connection is closed.
    """
    response.received.max_bytes = _MAX_DRAINED_BYTES
    with trio.move_on_after(_MAX_DRAIN_S), contextlib.suppress(ExchangeError):
        while await response.next_data() is not None:
            pass
        await response.release(host.now())
        return
    response.abort()


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
    """Relay a response with its complete body, also after the deadline.

    Raises
    ------
    AnswerCutError
        If the caller does not take it.
    """
    headers = host.dialect.filter_response_headers(response.headers)
    headers = [*headers, (b"content-length", str(len(body)).encode())]
    progress.has_response_started = True
    await sink.whole(response.status, headers, body)


async def relay_stream(host, req, sink, progress, choice, response, load, sent_at):
    """Relay the complete events of a stream as they arrive.

    The last ones leave with the end if it has arrived with them, also after the
    deadline.

    `choice` is None for a stream of another host, which records times and load
    itself.

    Raises
    ------
    ExchangeError
        If the stream breaks off.
    """
    scanner = progress.scanner
    is_first, event_at, tail, last = True, host.now(), b"", b""
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
            progress.began_at = event_at
            load.mark_prompt_read()
            if choice is not None:
                host.placement.record_response_start(
                    choice, host.service(req.service), host.now() - sent_at, host.now()
                )
        if progress.has_response_started and response.has_ended() and ends_event(tail):
            last = complete_events
            continue
        if complete_events and progress.has_response_started:
            await sink.data(complete_events)
        elif complete_events:
            await _send_head(host, sink, progress, response, complete_events)
        if complete_events:
            scanner.mark_relayed()
    check_last_event(tail, response.received.framing)
    await response.release(host.now())
    load.is_complete = True
    if not progress.has_response_started:
        await _send_head(host, sink, progress, response, b"")
    await sink.end(last)
    scanner.mark_relayed()


async def _send_head(host, sink, progress, response, first):
    """Relay the head with the first events; a resumed stream keeps its first head."""
    # After this, cancellation can only take effect once the head has been sent.
    await trio.lowlevel.checkpoint_if_cancelled()
    progress.has_response_started = True
    headers = host.dialect.filter_response_headers(response.headers)
    await sink.head(response.status, headers, first)
