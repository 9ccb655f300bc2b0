"""Exchanges of requests and responses with endpoints over TCP."""

import socket

import attrs
import h11
import pytest
import trio

from cactusmill.errors import ExchangeError
from cactusmill.internal import http
from cactusmill.internal.framing import Framing
from cactusmill.internal.http import client_connection
from cactusmill.platform.dialect import DIALECT
from cactusmill.serving.connections import ConnectionPool, exchange
from standins.raw_responses import (
    Ending,
    encode_response,
    end_connection,
    end_during_request,
)

CHUNKS = [b"enrolled in ", b"the circle of 12 readers"]
SIGNED = [(b"response-signature", b"s"), (b"request-id", b"r-1")]
_SMALL_BUFFER = 4096


async def tcp_pair():
    """Return both ends of a TCP connection with small buffers."""
    listener = socket.socket()
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, _SMALL_BUFFER)
    listener.bind(("127.0.0.1", 0))
    listener.listen()
    client = await trio.open_tcp_stream(*listener.getsockname())
    client.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, _SMALL_BUFFER)
    accepted, _ = listener.accept()
    listener.close()
    accepted.setblocking(False)
    return client, trio.SocketStream(trio.socket.from_stdlib_socket(accepted))


def receive_answer(answer, request_body, limit_s=2.0):
    """Return the body of an exchange, and whether it was taken for complete.

    Parameters
    ----------
    answer : callable
        ``await answer(stream)`` plays the endpoint.
    request_body : bytes
        Body of the request.
    limit_s : float
        Limit of the head and of each pause, in seconds.
    """

    async def main():
        client, endpoint = await tcp_pair()
        pool = ConnectionPool(net=None)
        pool._count("desk", 1)
        request = h11.Request(
            method="POST",
            target="/order/1",
            headers=[("host", "x"), ("content-length", str(len(request_body)))],
        )
        chunks = []
        is_complete = False
        with trio.fail_after(10):
            async with trio.open_nursery() as nursery:
                nursery.start_soon(answer, endpoint)
                try:
                    response = await exchange(
                        pool,
                        "desk",
                        client_connection(client),
                        request,
                        request_body,
                        "r-1",
                        DIALECT.read_response_head,
                        (limit_s, limit_s),
                    )
                    while (data := await response.next_data()) is not None:
                        chunks.append(data)
                    is_complete = True
                except ExchangeError:
                    pass
                nursery.cancel_scope.cancel()
        return b"".join(chunks), is_complete

    return trio.run(main)


@attrs.define
class ScriptedStream(trio.abc.Stream):
    """A connection that gives its error to whoever sends, as a socket does."""

    received: list

    async def send_all(self, data):
        await trio.sleep(0)
        raise trio.BrokenResourceError

    async def wait_send_all_might_not_block(self):
        pass

    async def receive_some(self, max_bytes=None):
        await trio.sleep(0.01)
        return self.received.pop(0) if self.received else b""

    async def aclose(self):
        pass


@pytest.mark.parametrize("body", [b"", b"x" * 100_000])
def test_close_after_a_failed_send_is_no_end(body):
    head, data = encode_response(Framing.CLOSE, CHUNKS, SIGNED)
    request = h11.Request(
        method="POST",
        target="/order/1",
        headers=[("host", "x"), ("content-length", str(len(body)))],
    )

    async def main():
        conn = client_connection(ScriptedStream([head + data[:12]]))
        response = await exchange(
            ConnectionPool(net=None),
            "desk",
            conn,
            request,
            body,
            "r-1",
            DIALECT.read_response_head,
            (2.0, 2.0),
        )
        while await response.next_data() is not None:
            pass

    with pytest.raises(ExchangeError):
        trio.run(main)


def test_answer_without_length_reset_while_the_request_is_sent_is_not_complete():
    """The send takes the error of the socket, so that the next read sees a close."""

    async def reset_early(stream):
        await stream.receive_some(100)
        head, body = encode_response(Framing.CLOSE, CHUNKS, SIGNED)
        await stream.send_all(head + body[:12])
        await end_connection(stream, Ending.RESET)

    for _ in range(50):
        assert not receive_answer(reset_early, b"x" * 1_000_000)[1]


def answer_early(framing, size, ending, pause_s):
    """Return an endpoint that answers a long request before it has read it."""

    async def answer(stream):
        await stream.receive_some(100)
        head, body = encode_response(framing, CHUNKS, SIGNED)
        await stream.send_all(head + body[:size])
        await trio.sleep(pause_s)
        await end_during_request(stream, ending)
        await trio.sleep_forever()

    return answer


@pytest.mark.parametrize("pause_s", [0.0, 0.05])
@pytest.mark.parametrize("size", [12, None])
@pytest.mark.parametrize("ending", [*Ending, None])
def test_answer_without_length_that_ends_during_the_request_is_not_complete(
    ending, size, pause_s
):
    """Guards against a part of an answer that its caller takes for all of it."""
    answer = answer_early(Framing.CLOSE, size, ending, pause_s)
    assert not receive_answer(answer, b"x" * 1_000_000)[1]


async def answer_without_reading(stream):
    head, body = encode_response(Framing.CLOSE, CHUNKS, SIGNED)
    await stream.send_all(head + body[:12])
    await trio.sleep(0.05)
    await end_during_request(stream, None)
    await trio.sleep_forever()


def test_request_that_still_lies_in_the_socket_has_not_been_sent(monkeypatch):
    body = b"x" * 6000
    assert not receive_answer(answer_without_reading, body)[1]
    monkeypatch.setattr(http, "has_unsent_bytes", lambda stream: False)
    assert receive_answer(answer_without_reading, body)[1]


@pytest.mark.parametrize("framing", [Framing.CHUNKED, Framing.LENGTH])
def test_framed_answer_during_the_request_is_complete_with_its_last_byte(framing):
    whole = answer_early(framing, None, None, 0.0)
    assert receive_answer(whole, b"x" * 1_000_000) == (b"".join(CHUNKS), True)
    for ending in [*Ending, None]:
        cut = answer_early(framing, -1, ending, 0.0)
        assert not receive_answer(cut, b"x" * 1_000_000)[1]


@pytest.mark.parametrize("status", [b"000", b"099", b"42", b"-20", b"2000", b"600"])
def test_answer_with_a_status_that_http_does_not_define_is_none(status):
    """Guards against an answer of an endpoint in trouble that reaches a caller."""

    async def answer(stream):
        await stream.receive_some(1000)
        head, body = encode_response(Framing.LENGTH, CHUNKS, SIGNED)
        await stream.send_all(head.replace(b"200", status, 1) + body)
        await trio.sleep_forever()

    assert receive_answer(answer, b"x") == (b"", False)
