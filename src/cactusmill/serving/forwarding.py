"""Forwarding of requests between hosts of different regions, both ends.

A forwarded request is not forwarded again. A link between two hosts carries one
request at a time, so that a slow response delays no other request, and closing the
link cancels the request at the other end.
"""

import collections
import contextlib

import attrs
import trio

from ..errors import (
    AnswerCutError,
    BufferLimitError,
    CallerGoneError,
    Cut,
    EndpointFailed,
    ExchangeError,
    HostExits,
    HostLeavingError,
    InternalFault,
    LinkClosedError,
    LinkFullError,
    NoEndpoint,
    Outcome,
    Overloaded,
    RequestSuspected,
    SilentEndpointError,
    TruncatedAnswerError,
)
from ..internal.account import cut_reason
from ..internal.answer_frames import answer_sink, read_body_frame
from ..internal.framing import Framing, ReceivedBody, check_status
from ..internal.http import MAX_JOINED_BYTES, is_idle_and_open
from ..internal.link import FRAME_TIMEOUT_S, Link
from ..internal.patience import give_up_always, receive_patiently
from ..internal.request import Request
from ..internal.wire.ttypes import (
    AnswerHead,
    ChangesPull,
    ChangesReply,
    Forward,
    Frame,
    Header,
)
from .connections import (
    IDLE_SILENCE_MS,
    IN_USE_SILENCE_MS,
    enable_dead_peer_detection,
    limit_silence,
)
from .events import log_event, log_fault
from .progress import new_progress
from .responses import EndpointResponse

# One-way latency between regions is up to 100 ms.
CONNECT_TIMEOUT_S = 0.6
# Idle links are reused, since opening one takes a round trip.
_MAX_IDLE_PER_HOST = 32
_IDLE_S = 20.0
# The other host enforces the deadline; this covers the round trip and its delays.
_RESPONSE_MARGIN_S = 0.3
_ITEMS_TIMEOUT_S = 1.0
# How long a forwarded request waits for the configuration that its sender used. It is
# refused as not run after that, so that a longer propagation costs a retry only.
_CONFIGURATION_WAIT_S = 0.3
_CONFIGURATION_POLL_S = 0.02
_ITEMS = "items"
# Last message on a link that its other end opened, of a host that leaves or that has no
# room for the frame that comes. It begins no request that it receives there after that,
# nor one that it has not answered.
_LEAVING = "Leaving"
_FAREWELL_S = 0.5
# Frames of a response that are handled before other tasks get a turn.
_MAX_JOINED_FRAMES = 64


def _headers_to_wire(headers):
    return [Header(k.decode("latin-1"), v.decode("latin-1")) for k, v in headers]


def _headers_from_wire(headers):
    return [(h.name.encode("latin-1"), h.value.encode("latin-1")) for h in headers]


@attrs.define(eq=False)
class LinkPool:
    """Idle links to hosts of other regions.

    Attributes
    ----------
    net : Network
        Opens connections.
    port : int
        Link port, the same on all hosts.
    buffers : BufferBudget or None
        Limits the bytes of frames that are held at once.
    """

    net: object
    port: int
    buffers: object = None
    _idle: dict = attrs.field(factory=dict)

    async def acquire(self, ip, now):
        """Return a link to a host, and whether it was used before.

        Raises
        ------
        ConnectError
            If no link could be opened.
        """
        idle = self._idle.get(ip, ())
        while idle:
            link, since = idle.pop()
            if now - since < _IDLE_S and is_idle_and_open(link.stream):
                limit_silence(link.stream, IN_USE_SILENCE_MS)
                return link, True
            await link.close()
        stream = await self.net.connect(f"{ip}:{self.port}", CONNECT_TIMEOUT_S)
        enable_dead_peer_detection(stream)
        return Link(stream, buffers=self.buffers), False

    async def release(self, ip, link, now):
        """Keep a link for reuse, after a complete response."""
        idle = self._idle.setdefault(ip, collections.deque())
        if len(idle) < _MAX_IDLE_PER_HOST:
            limit_silence(link.stream, IDLE_SILENCE_MS)
            idle.append((link, now))
        else:
            close_link(link)

    def drop(self, ip):
        """Close the idle links to a host."""
        for link, _ in self._idle.pop(ip, ()):
            close_link(link)


def close_link(link):
    """Close a link at once, without awaiting."""
    sock = getattr(link.stream, "socket", None)
    if sock is not None:
        sock.close()


async def forward(
    host,
    member,
    req,
    sink,
    attempts,
    last_event_id,
    stall_timeout_s,
    may_give_up=give_up_always,
):
    """Forward a request to a host of another region.

    Parameters
    ----------
    host : GatewayHost
        This process.
    member : Member
        The other host.
    req : Request
        The request.
    sink : Sink
        Destination of the response.
    attempts : int
        Number of attempts that the other host may make.
    last_event_id : str
        Event after which a stream resumes; empty at its beginning.
    stall_timeout_s : float
        Time without data inside the response after which `may_give_up` is asked, in
        seconds.
    may_give_up : callable
        As in :func:`.patience.receive_patiently`.

    Returns
    -------
    EndpointResponse or Refusal
        With the outcome ``NOT_RUN`` in a refusal the other host guarantees that
        no endpoint ran the request.

    Raises
    ------
    CallerGoneError, ConnectError
        If the other host has received nothing.
    HostLeavingError
        If it leaves and has not begun the request.
    ExchangeError
        If the link failed after that.
    """
    link, was_used = await host.links.acquire(member.id.ip, host.now())
    now = host.now()
    try:
        sink.check_open()
    except CallerGoneError:
        await host.links.release(member.id.ip, link, now)
        raise
    message = Forward(
        call=0,
        request_id=req.request_id,
        route=req.route.name,
        team=req.team_name,
        records_version=req.records_version,
        method=req.method,
        target=req.target,
        headers=_headers_to_wire(req.headers),
        body=req.body,
        identifier=last_event_id,
        remaining_ms=max(0, int((req.deadline - now) * 1000)),
        incarnation=member.id.incarnation,
        attempts=attempts,
        objective_ms=int((req.objective_at - now) * 1000),
    )
    try:
        head = await _exchange(link, message, req.deadline - now + _RESPONSE_MARGIN_S)
    except BaseException:
        close_link(link)
        if was_used:
            host.links.drop(member.id.ip)
        raise
    if head.refusal is not None:
        await host.links.release(member.id.ip, link, host.now())
        return _refusal(head)

    received = ReceivedBody(Framing.LINK)
    body = _ForwardedBody(link, received)

    async def next_data():
        return await body.next_data(stall_timeout_s, may_give_up)

    async def release(now):
        await host.links.release(member.id.ip, link, now)

    return EndpointResponse(
        status=head.status,
        headers=_headers_from_wire(head.headers),
        received=received,
        metadata=None,
        next_data=next_data,
        has_ended=lambda: body.is_over,
        release=release,
        abort=lambda: close_link(link),
    )


async def _exchange(link, message, timeout_s):
    try:
        with trio.fail_after(max(0.0, timeout_s)):
            # A link that breaks may hold the other host's last message.
            with contextlib.suppress(LinkClosedError):
                await link.send(forward=message)
            head = (await link.receive()).answer_head
    except trio.TooSlowError as exc:
        raise SilentEndpointError(f"no answer within {timeout_s:.2f} s") from exc
    except LinkClosedError as exc:
        raise ExchangeError(str(exc)) from exc
    if head is not None and head.refusal == _LEAVING and head.not_run:
        raise HostLeavingError("the other host is leaving")
    if head is None or head.request_id != message.request_id:
        raise ExchangeError("the other host answered another request")
    check_status(head.status)
    return head


@attrs.define(eq=False)
class _ForwardedBody:
    """Reads the body of a forwarded response.

    Attributes
    ----------
    link : Link
        Link on which it comes.
    received : ReceivedBody
        Counts it.
    is_over : bool
        True once its end has arrived, maybe behind the chunk that was returned last.
    """

    link: Link
    received: ReceivedBody
    is_over: bool = False
    # A failure behind that chunk.
    _failure: Exception | None = None

    async def next_data(self, stall_timeout_s, may_give_up):
        """Return the data of the next frames, or None at the end.

        Frames that have arrived together are joined. A failure behind them is raised
        by the next call.
        """
        if self._failure is not None:
            raise self._failure
        if self.is_over:
            return None
        try:
            frame = await receive_patiently(
                self.link.receive, self.link.stream, stall_timeout_s, may_give_up
            )
        except LinkClosedError as exc:
            raise TruncatedAnswerError(str(exc)) from exc
        data = read_body_frame(frame, self.received)
        return None if data is None else self._join_arrived(data)

    def _join_arrived(self, data):
        chunks, size = [data], len(data)
        try:
            while size < MAX_JOINED_BYTES and len(chunks) < _MAX_JOINED_FRAMES:
                frame = self.link.receive_arrived()
                if frame is None:
                    break
                data = read_body_frame(frame, self.received)
                if data is None:
                    self.is_over = True
                    break
                chunks.append(data)
                size += len(data)
        except LinkClosedError as exc:
            self._failure = TruncatedAnswerError(str(exc))
        except ExchangeError as exc:
            self._failure = exc
        return chunks[0] if len(chunks) == 1 else b"".join(chunks)


def _refusal(head):
    """Return the refusal that another host's response head carries."""
    outcome = Outcome.NOT_RUN if head.not_run else Outcome.UNKNOWN
    kind = {
        NoEndpoint.__name__: NoEndpoint,
        Overloaded.__name__: Overloaded,
        InternalFault.__name__: InternalFault,
        HostExits.__name__: HostExits,
        RequestSuspected.__name__: RequestSuspected,
    }.get(head.refusal, EndpointFailed)
    retry_s = None if head.retry_after_ms is None else head.retry_after_ms / 1000
    return kind(
        detail=f"another region answered {head.refusal}",
        outcome=outcome,
        retry_after_s=retry_s,
    )


async def fetch_items(host, member, since):
    """Fetch the changes after a revision from another host.

    Parameters
    ----------
    host : GatewayHost
        This process.
    member : Member
        The other host.
    since : int
        Revision up to which this host has applied all changes.

    Returns
    -------
    bytes
        The other host's export of its published items.

    Raises
    ------
    ConnectError, LinkClosedError
        If no complete reply arrives in time.
    """
    link, _ = await host.links.acquire(member.id.ip, host.now())
    reply = None
    try:
        with trio.fail_after(_ITEMS_TIMEOUT_S):
            await link.send(changes_pull=ChangesPull(0, _ITEMS, since))
            reply = (await link.receive()).changes_reply
    except trio.TooSlowError as exc:
        raise LinkClosedError("no reply within the timeout") from exc
    finally:
        if reply is None:
            close_link(link)
    if reply is None:
        raise LinkClosedError("unexpected frame instead of changes_reply")
    await host.links.release(member.id.ip, link, host.now())
    return reply.update


async def serve_link(host, stream, run):
    """Serve the requests that another host forwards on a link, until it closes.

    Parameters
    ----------
    host : GatewayHost
        This process.
    stream : trio.SocketStream
        The accepted connection.
    run : callable
        ``await run(host, req, sink, progress)`` returns a refusal, or None once
        the response is complete.
    """
    enable_dead_peer_detection(stream)
    link = Link(stream, buffers=host.buffers)
    host.served_links.add(link)
    start = host.loop.mark_start()
    try:
        while True:
            frame = await _next_frame(host, link)
            if host.refuses_requests(host.now()):
                await _end_link(host, link, frame)
                return
            if frame is None:
                continue
            arrived_at = host.loop.estimate_arrival(start, host.now())
            if frame.changes_pull is not None:
                since = frame.changes_pull.since_version
                items = await host.source.export(since, host.catalog.revision)
                await link.send(changes_reply=ChangesReply(0, items))
                continue
            message = frame.forward
            if message is None:
                return
            with host.forwards_account.open() as entry:
                if host.shedder.sheds(host.now()):
                    await _refuse(link, message, host.shedder.refusal(), entry)
                    continue
                is_reusable = await _serve_forward(
                    host, link, message, arrived_at, run, entry
                )
                if not is_reusable:
                    return
    except LinkFullError as exc:
        log_event("forward_without_room", reason=str(exc))
        with contextlib.suppress(LinkClosedError):
            await _say_farewell(host, link, FRAME_TIMEOUT_S)
    except (AnswerCutError, LinkClosedError):
        # Closing the link also cancels the request on it.
        return
    finally:
        host.served_links.discard(link)
        await link.close()


async def _next_frame(host, link):
    """Return the next frame, or None if this host leaves before it is complete."""
    if host.refuses_requests(host.now()):
        return None
    with host.idle_links.wait():
        return await link.receive()
    return None


async def _end_link(host, link, frame):
    """Say farewell, which also refuses a request whose frame came before it."""
    if frame is None or frame.forward is None:
        await _say_farewell(host, link)
        return
    with host.forwards_account.open() as entry:
        await _say_farewell(host, link)
        entry.refuse(Overloaded(detail="this host is shutting down"))


async def _say_farewell(host, link, timeout_s=_FAREWELL_S):
    """Tell the other host that nothing more is begun on a link.

    It is closed once the other host has done so, since a close with a request unread
    could destroy what was told.
    """
    head = AnswerHead(
        call=0,
        request_id="",
        status=Overloaded.status,
        headers=[],
        refusal=_LEAVING,
        not_run=True,
    )
    with trio.move_on_after(timeout_s):
        await link.send(answer_head=head)
        await link.discard_until_closed()


async def _serve_forward(host, link, message, arrived_at, run, entry):
    """Serve one request; return whether the link can be reused."""
    if not await _has_configuration_of(host, message):
        refusal = NoEndpoint(detail="this host has an older configuration")
        await _refuse(link, message, refusal, entry)
        return True
    req = progress = None
    refusal = NoEndpoint(detail="this host does not know the route yet")
    try:
        req = _request(host, message, arrived_at)
        if req is not None:
            progress = new_progress(req, message.attempts or 1)
            progress.scanner.last_id = message.identifier or ""
    except Exception as exc:
        log_fault("serve_link", exc, request_id=message.request_id)
        refusal = InternalFault(detail="an internal error")
    if progress is None:
        await _refuse(link, message, refusal, entry)
        return True
    if not host.may_end_before_exit(req.route, req.deadline, host.now()):
        await _say_farewell(host, link)
        entry.refuse(Overloaded(detail="this host is shutting down"))
        return False
    with host.buffers.hold() as count_held:
        try:
            count_held(req.body)
        except BufferLimitError as exc:
            await _refuse(link, message, Overloaded(detail=str(exc)), entry)
            return True
        return await _run_forward(host, link, message, req, progress, run, entry)


async def _has_configuration_of(host, message):
    """Wait for the configuration by which a request was handled; return whether it is.

    An older one may send the request to a service that its route has left.
    """
    with trio.move_on_after(_CONFIGURATION_WAIT_S):
        while not host.has_configuration_since(message.records_version):
            await trio.sleep(_CONFIGURATION_POLL_S)
        return True
    return False


async def _run_forward(host, link, message, req, progress, run, entry):
    """Run a forwarded request; return whether the link can be reused."""
    has_begun = is_success = False

    def encode_head(status, headers):
        nonlocal has_begun, is_success
        has_begun = True
        is_success = status < 300
        return _encode_head(message, status, headers)

    sink = answer_sink(link.send, 0, encode_head, link.stream, link.deliver)
    began_at = host.now()
    refusal, failure, is_complete = None, None, False
    run_time = host.durations.begin(req.route.name, began_at)
    try:
        with entry.open_scope() as exit_scope:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(_cancel_on_close, link, nursery.cancel_scope)
                try:
                    refusal = await run(host, req, sink, progress)
                    is_complete = True
                except (
                    AnswerCutError,
                    CallerGoneError,
                    ExchangeError,
                    LinkClosedError,
                ) as exc:
                    failure = exc
                nursery.cancel_scope.cancel()
        if exit_scope.cancelled_caught and not is_complete:
            refusal = HostExits(detail="the host exits", outcome=progress.outcome)
    except Exception as exc:
        log_fault("serve_link", exc, request_id=req.request_id)
        refusal = InternalFault(detail="an internal error", outcome=progress.outcome)
        is_complete = False
    if refusal is None and failure is None and not is_complete:
        failure = CallerGoneError("the other host closed the link")
    if isinstance(refusal, (HostExits, InternalFault)) and has_begun:
        is_exit = isinstance(refusal, HostExits)
        failure = AnswerCutError(
            refusal.detail, Cut.HOST_EXITS if is_exit else Cut.INTERNAL_FAULT
        )
        refusal = None
    try:
        if failure is not None:
            log_event(
                "forwarded_answer_cut", request_id=req.request_id, reason=repr(failure)
            )
            entry.cut(cut_reason(failure))
        elif refusal is not None:
            await _refuse(link, message, refusal, entry)
        else:
            entry.answer()
            # The rest of a resumed stream tells nothing of a whole one.
            run_time.is_whole = is_success and not message.identifier
    except BaseException as exc:
        failure = exc
        if not entry.kind:
            entry.cut(cut_reason(exc))
        raise
    finally:
        host.durations.end(run_time, host.now())
        _log_forwarded(host, req, progress, refusal, failure, began_at, entry)
    return is_complete


def _log_forwarded(host, req, progress, refusal, failure, began_at, entry):
    outcome = "answered"
    if failure is not None:
        outcome = type(failure).__name__
    elif refusal is not None:
        outcome = refusal.type_name
    log_event(
        "forwarded_request",
        request_id=req.request_id,
        outcome=outcome,
        **entry.log_fields(),
        endpoint=progress.endpoint,
        sends=progress.sends,
        took_s=round(host.now() - began_at, 3),
        is_abandoned=progress.is_abandoned,
        left_out=progress.left_out,
        sent_s=None
        if progress.sent_at is None
        else round(progress.sent_at - began_at, 3),
        entry_revision=progress.entry_revision,
        warmup_hosts=progress.warmup_hosts,
        **progress.body_fields(),
        **progress.pace_fields(),
    )


async def _cancel_on_close(link, scope):
    """Cancel the request when the other host closes the link."""
    await link.wait_closed()
    scope.cancel()


async def _refuse(link, message, refusal, entry):
    """Send a refusal to the other host."""
    retry_s = refusal.retry_after_s
    head = AnswerHead(
        call=0,
        request_id=message.request_id,
        status=refusal.status,
        headers=[],
        refusal=refusal.type_name,
        retry_after_ms=None if retry_s is None else int(retry_s * 1000),
        not_run=refusal.outcome is Outcome.NOT_RUN,
    )
    await link.deliver([Frame(answer_head=head)])
    entry.refuse(refusal)


def _encode_head(message, status, headers):
    return AnswerHead(
        call=0,
        request_id=message.request_id,
        status=status,
        headers=_headers_to_wire(headers),
    )


def _request(host, message, arrived_at):
    """Return a forwarded request that arrived at a time, in seconds.

    None if its route or team is unknown.
    """
    configuration = host.catalog.configuration
    if configuration is None:
        return None
    routes = {route.name: route for route in configuration.routes}
    route = routes.get(message.route)
    team = configuration.teams.get(message.team) if message.team else None
    if route is None or (message.team and team is None):
        return None
    headers = _headers_from_wire(message.headers)
    head = host.dialect.read_forwarded_head(headers)
    return Request(
        request_id=message.request_id,
        route=route,
        team=team,
        records_version=configuration.version,
        method=message.method,
        target=message.target,
        headers=headers,
        body=message.body or b"",
        deadline=arrived_at + message.remaining_ms / 1000,
        service="",
        prompt_tokens=head.prompt_tokens,
        output_tokens=head.output_tokens,
        is_stream=route.is_stream,
        objective_at=arrived_at + (message.objective_ms or 0) / 1000,
        prompt_segments=head.prompt_segments,
    )
