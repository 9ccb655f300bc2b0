"""What the own interface takes for the whole answer of an endpoint."""

import attrs
import pytest
import trio

from cactusmill.errors import ConnectError, EndpointFailed, ExchangeError
from cactusmill.internal import attempts
from cactusmill.internal.attempts import RequestProgress
from cactusmill.internal.containment.culprits import Culprits
from cactusmill.internal.endpoints import Exchange, receive_data
from cactusmill.internal.framing import Framing
from cactusmill.internal.http import client_connection, collect_body
from standins.raw_responses import Ending, encode_response, end_during_request

from .test_attempts import ENDPOINT, request
from .test_relay import tcp_pair
from .test_silences import LONG_BODY, HostStub

CHUNKS = [b"an answer ", b"in two parts"]
HEADERS = [(b"x-request-id", b"q")]


@attrs.define
class UnreachableNetwork:
    """Nothing shows whether the endpoint has crashed."""

    async def connect(self, address, timeout_s):
        raise ConnectError("unreachable")


@attrs.define
class Host(HostStub):
    net: object = attrs.field(factory=UnreachableNetwork)


def receive_early_answer(data, ending, request_body=LONG_BODY):
    """Return the body of an answer that comes before its request was read.

    Returns
    -------
    bytes, Refusal or ExchangeError
        The error after which the answer is broken off.
    """

    async def main():
        near, far = await tcp_pair()
        host = Host()
        exchange = Exchange(client_connection(near), reused=False)
        deadline = trio.current_time() + 3.0
        req = attrs.evolve(request(), body=request_body, deadline=deadline)

        async def answer():
            await far.receive_some(100)
            await far.send_all(data)
            await end_during_request(far, ending)

        with trio.fail_after(5):
            async with trio.open_nursery() as nursery:
                nursery.start_soon(answer)
                refusal = await attempts._send_and_receive_head(
                    host,
                    req,
                    RequestProgress(set(), Culprits(0), None),
                    ENDPOINT,
                    host.pool.state(ENDPOINT.name),
                    exchange,
                    lambda silent: False,
                )
                if refusal is not None:
                    return refusal
                try:
                    return await collect_body(lambda: receive_data(exchange))
                except ExchangeError as exc:
                    return exc

    return trio.run(main)


@pytest.mark.parametrize("ending", [*Ending, None])
@pytest.mark.parametrize("chunks", [CHUNKS[:1], CHUNKS])
def test_answer_without_length_that_ends_during_the_request_is_not_complete(
    chunks, ending
):
    """Guards against a part of an answer that its caller takes for all of it."""
    head, body = encode_response(Framing.CLOSE, chunks, HEADERS)
    answer = receive_early_answer(head + body, ending)
    assert isinstance(answer, EndpointFailed | ExchangeError)


@pytest.mark.parametrize("framing", [Framing.CHUNKED, Framing.LENGTH])
def test_framed_answer_during_the_request_is_complete(framing):
    head, body = encode_response(framing, CHUNKS, HEADERS)
    assert receive_early_answer(head + body, None) == b"".join(CHUNKS)


@pytest.mark.parametrize("status", [b"000", b"099", b"20", b"2000", b"600", b"999"])
def test_answer_with_a_status_that_http_does_not_define_is_none(status):
    """Guards against an answer of an endpoint in trouble that reaches a caller."""
    head, body = encode_response(Framing.LENGTH, CHUNKS, HEADERS)
    answer = receive_early_answer(head.replace(b"200", status, 1) + body, None, b"x")
    assert isinstance(answer, EndpointFailed)
