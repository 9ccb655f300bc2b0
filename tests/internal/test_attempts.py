"""A response of a repeatable request that broke off does not get an end."""

import functools

import attrs
import pytest
import trio
import trio.testing

from cactusmill.errors import ExchangeError
from cactusmill.internal import attempts
from cactusmill.internal.attempts import RequestProgress, _relay_decoded
from cactusmill.internal.chat import UsageMeter
from cactusmill.internal.containment.containment import CrashContainment
from cactusmill.internal.containment.culprits import Culprits
from cactusmill.internal.containment.running import RunningSuspects
from cactusmill.internal.endpoints import (
    EndpointState,
    Exchange,
    receive_head,
    send_request,
)
from cactusmill.internal.event_stream import is_event_stream
from cactusmill.internal.framing import Framing
from cactusmill.internal.http import client_connection
from cactusmill.internal.request import Request, Sink
from cactusmill.records import Endpoint, Route
from standins.raw_responses import EVENT_STREAM, encode_response

WORDS = [b'data: {"word": "%d"}\n\n' % number for number in range(3)]
CHAT = [*WORDS, b"data: [DONE]\n\n"]
FRAMINGS = [Framing.CLOSE, Framing.CHUNKED, Framing.LENGTH]
ROUTE = Route(name="r", prefix="/r", kind="model", service="s", repeatable=True)
ENDPOINT = Endpoint(
    name="e", zone="z", region="r", address="127.0.0.1:1", serves=("s",)
)


@attrs.define
class PoolStub:
    """Stands for the host and its pool of connections."""

    containment: CrashContainment = attrs.field(factory=CrashContainment)
    running_suspects: RunningSuspects = attrs.field(factory=RunningSuspects)

    @property
    def pool(self):
        return self

    def now(self):
        return 0.0

    async def release(self, endpoint, exchange, now):
        pass


def request():
    return Request(
        request_id="q",
        route=ROUTE,
        team=None,
        records_version=1,
        method="POST",
        target="/r",
        headers=[],
        body=b"{}",
        deadline=10.0,
        service="s",
        is_stream=True,
    )


def relay(framing, chunks, size=None, meter=None):
    """Return the relayed body, and whether it was relayed with its end.

    Parameters
    ----------
    framing : Framing
    chunks : list of bytes
    size : int or None
        Bytes of the encoded body that arrive before the connection closes.
    meter : UsageMeter or None
        Meter of a chat completion.
    """
    relayed, is_complete = [], False
    req = request()

    async def end():
        nonlocal is_complete
        is_complete = True

    async def data(chunk):
        relayed.append(chunk)

    async def main():
        near, far = trio.testing.memory_stream_pair()
        exchange = Exchange(client_connection(near), reused=False)
        head, body = encode_response(framing, chunks, [(b"content-type", EVENT_STREAM)])

        async def receive():
            await far.send_all(head + body[:size])
            await far.send_eof()
            await receive_head(exchange, req, 1.0)

        await send_request(exchange, ENDPOINT, req, [], receive)
        has_events = is_event_stream(exchange.headers)
        progress = RequestProgress(set(), Culprits(0), meter)
        sink = Sink(head=None, data=data, end=end)
        try:
            await _relay_decoded(
                PoolStub(), sink, progress, ENDPOINT, exchange, has_events
            )
        except ExchangeError:
            pass

    trio.run(main)
    return b"".join(relayed), is_complete


@pytest.mark.parametrize("framing", FRAMINGS)
def test_chat_broken_off_at_any_byte_gets_no_end(framing):
    for size in range(len(encode_response(framing, CHAT)[1])):
        assert not relay(framing, CHAT, size, UsageMeter(1, True))[1], size


@pytest.mark.parametrize("framing", FRAMINGS)
def test_whole_chat_gets_its_end(framing):
    assert relay(framing, CHAT, meter=UsageMeter(1, True)) == (b"".join(CHAT), True)


def test_stream_of_a_service_needs_no_last_event_of_a_chat():
    assert relay(Framing.CLOSE, WORDS) == (b"".join(WORDS), True)
    assert not relay(Framing.CLOSE, WORDS, len(WORDS[0]) + 3)[1]


@pytest.mark.parametrize("load", [b"\xb2", b"-1", b"9" * 5000, b"x"])
def test_load_that_is_no_count_is_ignored(monkeypatch, load):
    async def nothing(*args):
        pass

    monkeypatch.setattr(attempts, "send_request", nothing)
    monkeypatch.setattr(attempts, "receive_head", nothing)
    monkeypatch.setattr(attempts, "record_notices", lambda *args: None)
    state = EndpointState("e")
    exchange = Exchange(None, reused=False)
    exchange.status, exchange.headers = 200, [(attempts.LOAD_HEADER, load)]
    progress = RequestProgress(set(), "d", None)
    send = functools.partial(attempts._send_and_receive_head, PoolStub(), request())
    args = progress, ENDPOINT, state, exchange, lambda silent: False
    assert trio.run(send, *args) is None
    assert state.reported_load is None
