"""Passing answers on: whole bodies, and streams event by event."""

from ..errors import ExchangeError

_MAX_ANSWER_BYTES = 16 * 1024 * 1024
# Longest silence inside a stream before it goes on elsewhere. Callers leave
# after two seconds or more.
STREAM_STALL_S = 1.6


def stall_timeout_s(req, left_s):
    """Return the longest silence inside an answer, in seconds.

    Parameters
    ----------
    req : Request
        The request.
    left_s : float
        Time until its deadline, in seconds.
    """
    if req.is_stream and req.route.resumable:
        return min(left_s, STREAM_STALL_S)
    return left_s


async def read_body(answer):
    """Return an answer's whole body.

    Raises
    ------
    ExchangeError
        If it breaks off or is too large.
    """
    chunks, size = [], 0
    while (data := await answer.next_data()) is not None:
        chunks.append(data)
        size += len(data)
        if size > _MAX_ANSWER_BYTES:
            raise ExchangeError(f"an answer over {_MAX_ANSWER_BYTES} bytes")
    return b"".join(chunks)


async def drain(host, answer):
    """Read past a body that no caller needs."""
    try:
        while await answer.next_data() is not None:
            pass
    except ExchangeError:
        # The head has said all; only the connection is lost.
        answer.abort()
        return
    await answer.release(host.now())


async def relay_body(host, sink, progress, answer, body):
    """Pass a whole body on."""
    headers = host.dialect.filter_response_headers(answer.headers)
    headers = [*headers, (b"content-length", str(len(body)).encode())]
    progress.has_begun = True
    await sink.head(answer.status, headers)
    if body:
        await sink.data(body)
    await sink.end()


async def relay_stream(host, req, sink, progress, choice, answer, work, sent_at):
    """Pass a stream's events on as they arrive."""
    scanner = progress.scanner
    is_first, event_at = True, host.now()
    while (data := await answer.next_data()) is not None:
        whole = scanner.feed(data)
        if whole and not is_first:
            now = host.now()
            gap_s = now - event_at
            progress.max_event_gap_s = max(progress.max_event_gap_s or 0.0, gap_s)
            if choice is not None:
                choice.view.record_event_gap(gap_s / whole.count(b"\n\n"), now)
            event_at = now
        if is_first:
            is_first, event_at = False, host.now()
            work.mark_prompt_read()
            if choice is not None:
                host.placement.record_response_start(
                    choice, host.service(req.service), host.now() - sent_at, host.now()
                )
        if whole:
            await _begin(host, sink, progress, answer)
            await sink.data(whole)
    await answer.release(host.now())
    work.is_whole = True
    rest = scanner.take_rest()
    await _begin(host, sink, progress, answer)
    if rest:
        await sink.data(rest)
    await sink.end()


async def _begin(host, sink, progress, answer):
    """Pass the head on, once: a stream that goes on keeps its first head."""
    if progress.has_begun:
        return
    progress.has_begun = True
    headers = host.dialect.filter_response_headers(answer.headers)
    await sink.head(answer.status, headers)
