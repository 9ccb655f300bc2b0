"""Complete answers between hosts and to callers, on late loops and to slow callers."""

import socket
import threading
import types

import attrs
import h11
import pytest
import trio
import trio.testing
from absl import logging

from cactusmill.errors import AnswerCutError, Cut, LinkClosedError
from cactusmill.internal import link as link_module
from cactusmill.internal.account import Account
from cactusmill.internal.answer_frames import read_body_frame, whole_answer
from cactusmill.internal.delivery import MAX_BLOCKED_S, deliver
from cactusmill.internal.framing import Framing, ReceivedBody
from cactusmill.internal.http import collect_body, read_body
from cactusmill.internal.link import Link, encode
from cactusmill.internal.net import split_address
from cactusmill.internal.request import Sink
from cactusmill.internal.wire.ttypes import AnswerHead
from cactusmill.platform.dialect import DIALECT
from cactusmill.records import Route
from cactusmill.serving import dispatch, edge, forwarding, response_relay
from cactusmill.serving.durations import Durations
from cactusmill.serving.membership import Member
from cactusmill.serving.overload import ForwardTo
from cactusmill.serving.progress import new_progress
from standins.late_loop import late_loop

from .test_forwarding import OneLink
from .test_late_reads import encode_request
from .test_lost_requests import tcp_connections
from .test_membership import host_id
from .test_placement import req
from .test_source_sync import Clock, new_host
from .test_whole_path import on_deployment

BODY = b"b" * 900
RESPONSE = types.SimpleNamespace(status=200, headers=[])
ORDER = Route(name="order", prefix="/d/", kind="service", repeatable=False)
DEADLINE_S = 0.5


async def tcp_pair():
    listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
    near = await trio.open_tcp_stream(*listeners[0].socket.getsockname())
    far = await listeners[0].accept()
    await listeners[0].aclose()
    return near, far


async def relay_in_pieces(host, sink, progress, response, body):
    """Relay a response as head, body and end within 0.3 s."""
    with trio.CancelScope(shield=True) as scope:
        scope.deadline = trio.current_time() + 0.3
        await sink.head(response.status, response.headers)
        await sink.data(body)
        await sink.end()
    if scope.cancelled_caught:
        raise AnswerCutError("the other host did not read the response")


def forward_late(turn_s, relay):
    """Relay a forwarded response on a late loop; return what the other host gets."""
    received = []

    async def answer(host, request, sink, progress):
        with late_loop(turn_s):
            await relay(host, sink, types.SimpleNamespace(), RESPONSE, BODY)

    async def main():
        near, far = await tcp_pair()
        host = types.SimpleNamespace(
            now=trio.current_time, dialect=DIALECT, durations=Durations()
        )
        message = types.SimpleNamespace(request_id="r", attempts=1, identifier="")
        link, request = Link(far), req()
        with Account().open() as entry:
            is_complete = await forwarding._run_forward(
                host, link, message, request, new_progress(request, 1), answer, entry
            )
        await link.close()
        with trio.move_on_after(1):
            other, body = Link(near), ReceivedBody(Framing.LINK)
            try:
                received.append((await other.receive()).answer_head.status)
                data = b""
                while data is not None:
                    data = read_body_frame(await other.receive(), body)
                    received.append("end" if data is None else data)
            except LinkClosedError:
                received.append("broke off")
        assert is_complete == (received[-1] == "end")

    trio.run(main)
    return received


@pytest.mark.parametrize("turn_s", [0.4, 1.0, 3.0])
def test_forwarded_response_is_delivered_on_a_late_event_loop(turn_s):
    assert forward_late(turn_s, response_relay.relay_body) == [200, BODY, "end"]


def test_in_pieces_with_a_limit_a_forwarded_response_is_cut():
    assert forward_late(1.0, relay_in_pieces)[-1] == "broke off"


def test_in_pieces_with_a_limit_a_response_to_a_caller_is_cut():
    async def main():
        conn, caller, head = await tcp_connections()
        host = types.SimpleNamespace(
            now=trio.current_time, closes_connections=lambda now: False
        )
        request = edge.CallerRequest(conn, DIALECT.read_head(head), 0.0, 0.0)
        sink = edge._caller_sink(host, request, None)
        framed = types.SimpleNamespace(
            status=200, headers=[(b"content-length", b"%d" % len(BODY))]
        )
        with late_loop(1.0), pytest.raises(AnswerCutError):
            await relay_in_pieces(host, sink, None, framed, BODY)
        await conn.close()
        await caller.next_response()
        with pytest.raises(h11.RemoteProtocolError):
            await collect_body(caller.next_data)

    trio.run(main)


def answer_at_once(sock):
    """Stand for a host that answers a forwarded request at once, frame by frame."""
    sock.recv(65536)
    head = AnswerHead(0, "r", 200, [])
    for frame in whole_answer(0, head, BODY):
        sock.sendall(encode(frame))


def run_forwarded_order():
    """Forward a request whose answer lies in the link as its deadline passes."""
    responses = []

    async def whole(status, headers, body):
        responses.append((status, body))

    async def main():
        near, far = socket.socketpair()
        thread = threading.Thread(target=answer_at_once, args=(far,))
        thread.start()
        host = new_host("near", Clock(), dialect=DIALECT, routes=(ORDER,))
        host.now = trio.current_time
        stream = trio.SocketStream(trio.socket.from_stdlib_socket(near))
        host.links = OneLink(Link(stream))
        request = attrs.evolve(
            req(), route=ORDER, is_stream=False, deadline=host.now() + DEADLINE_S
        )
        sink = Sink(head=None, data=None, end=None, whole=whole)
        with late_loop(2 * DEADLINE_S):
            refusal = await dispatch.run_request(
                host, request, sink, new_progress(request, 1)
            )
        thread.join()
        far.close()
        await trio.aclose_forcefully(stream)
        return refusal

    return trio.run(main), responses


@pytest.fixture
def forwards(monkeypatch):
    member = Member(id=host_id("far", "west"), last_seen_at=0.0)
    step = ForwardTo(member=member, reported_wait_s=0.0)
    monkeypatch.setattr(dispatch, "_next_step", lambda *args: step)


def test_answer_that_lies_in_the_link_as_the_deadline_passes_is_delivered(forwards):
    assert run_forwarded_order() == (None, [(200, BODY)])


def test_without_a_last_look_at_the_link_it_is_lost(forwards, monkeypatch):
    monkeypatch.setattr(
        link_module, "receive_some", lambda end, size: end.stream.receive_some(size)
    )
    refusal, responses = run_forwarded_order()
    assert refusal.status == 504 and not responses


async def send_whole(sink):
    await sink.whole(200, [], BODY)


async def send_stream(sink):
    await sink.head(200, [], BODY)
    await sink.end()


def run_past_deadline(respond):
    """Run a request whose answer takes longer to send than its deadline allows."""
    ended = []

    async def begin(status, headers, first):
        pass

    async def send_late(*args):
        await trio.sleep(2 * DEADLINE_S)
        ended.append(True)

    async def attempt(host, request, sink, progress, is_forwarded):
        progress.has_response_started = True
        await respond(sink)

    async def main():
        host = types.SimpleNamespace(now=trio.current_time, account=Account())
        request = attrs.evolve(req(), deadline=host.now() + DEADLINE_S)
        sink = Sink(head=begin, data=None, end=send_late, whole=send_late)
        with pytest.MonkeyPatch.context() as patch:
            patch.setattr(dispatch, "_run_attempts", attempt)
            await dispatch.run_request(host, request, sink, new_progress(request, 1))

    trio.run(main)
    return ended


@pytest.mark.parametrize("respond", [send_whole, send_stream])
def test_deadline_does_not_cut_a_complete_answer(respond):
    assert run_past_deadline(respond) == [True]


@pytest.mark.parametrize("respond", [send_whole, send_stream])
def test_deadline_that_is_not_lifted_cuts_a_complete_answer(monkeypatch, respond):
    monkeypatch.setattr(dispatch, "_lift_deadline", lambda sink, *args: sink)
    with pytest.raises(AnswerCutError):
        run_past_deadline(respond)


def end_unread_delivery(monkeypatch, respond, is_stopped):
    """Deliver an answer that is found after the deadline to a caller who reads nothing.

    Returns
    -------
    (Cut, float)
        Why the delivery ended, and how long after the deadline, in seconds.
    """
    account = Account()

    async def attempt(host, request, sink, progress, is_forwarded):
        progress.has_response_started = True
        try:
            await trio.sleep_forever()
        finally:
            await respond(sink)

    async def main():
        near, far = await tcp_pair()

        async def begin(status, headers, first):
            pass

        async def send_unread(*args):
            await deliver(near, b"x" * 20_000_000)

        async def stop():
            await trio.sleep(DEADLINE_S + 0.5)
            account.stop()

        host = types.SimpleNamespace(now=trio.current_time, account=account)
        request = attrs.evolve(req(), deadline=host.now() + DEADLINE_S)
        sink = Sink(head=begin, data=None, end=send_unread, whole=send_unread)
        monkeypatch.setattr(dispatch, "_run_attempts", attempt)
        async with trio.open_nursery() as nursery:
            if is_stopped:
                nursery.start_soon(stop)
            with pytest.raises(AnswerCutError) as caught:
                await dispatch.run_request(
                    host, request, sink, new_progress(request, 1)
                )
            ended_at = host.now()
        await trio.aclose_forcefully(near)
        await trio.aclose_forcefully(far)
        return caught.value.reason, ended_at - request.deadline

    return trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0.01))


@pytest.mark.parametrize("respond", [send_whole, send_stream])
def test_unread_delivery_after_its_deadline_does_not_keep_the_host(
    monkeypatch, respond
):
    reason, late_s = end_unread_delivery(monkeypatch, respond, is_stopped=True)
    assert reason is Cut.HOST_EXITS
    assert late_s < 1.0


@pytest.mark.parametrize("respond", [send_whole, send_stream])
def test_unread_delivery_goes_on_while_the_host_stays(monkeypatch, respond):
    reason, late_s = end_unread_delivery(monkeypatch, respond, is_stopped=False)
    assert reason is Cut.NOT_READ
    assert late_s >= MAX_BLOCKED_S


CALLERS = 100
# More than the sockets hold, for all callers together below the limit of a host.
LONG_BODY = b"x" * 512 * 1024
DESK = (("desk-1", "east-a", "desk"),)


@pytest.fixture
def request_lines(monkeypatch):
    lines = []

    def info(event, extra):
        if event == "request":
            lines.append(extra["fields"])

    monkeypatch.setattr(logging, "info", info)
    return lines


async def call_without_reading(address):
    """Send a request on a connection whose socket holds little; return the socket."""
    sock = trio.socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
    await sock.connect(split_address(address))
    await sock.send(encode_request("/look/1"))
    return sock


@pytest.mark.parametrize("bytes_per_s", [0, 1])
def test_callers_that_take_next_to_nothing_are_given_up(request_lines, bytes_per_s):
    async def read_slowly(sock):
        while bytes_per_s:
            await trio.sleep(1)
            await sock.recv(bytes_per_s)

    async def scenario(deployment):
        desk, host = deployment.endpoints["desk-1"], deployment.hosts["e1"]

        bodies = [LONG_BODY]

        async def answer(endpoint, conn, request):
            await read_body(conn, 10**6)
            endpoint.runs.append(request)
            size = [("content-length", str(len(bodies[0])))]
            head = endpoint.head(request, extra=size)
            await conn.send(head, h11.Data(data=bodies[0]), h11.EndOfMessage())
            return True

        desk.handler = answer
        began_at = trio.current_time()
        async with trio.open_nursery() as nursery:
            socks = [
                await call_without_reading(host.cfg.callers) for _ in range(CALLERS)
            ]
            for sock in socks:
                nursery.start_soon(read_slowly, sock)
            await deployment.wait_until(lambda: len(desk.runs) == CALLERS)
            bodies[0] = b"short"
            await trio.sleep(1)
            assert host.buffers.used_bytes == CALLERS * len(LONG_BODY)
            # Others are served meanwhile as before.
            asked_at = trio.current_time()
            reply = await deployment.send_request("e1", "/look/1", request_id="other")
            assert reply.is_complete and reply.body == b"short"
            assert trio.current_time() - asked_at < 1
            await deployment.wait_until(lambda: not host.buffers.used_bytes, 10)
            # Lines are written some turns after the bytes are released.
            await deployment.wait_until(lambda: len(request_lines) > CALLERS)
            nursery.cancel_scope.cancel()
        assert trio.current_time() - began_at < MAX_BLOCKED_S + 5
        for sock in socks:
            sock.close()
        cut = [line for line in request_lines if line["outcome"] == "AnswerCutError"]
        assert len(cut) == CALLERS and len(request_lines) == CALLERS + 1
        assert all("of an answer that were ready" in line["detail"] for line in cut)

    on_deployment(scenario, endpoints=DESK)
