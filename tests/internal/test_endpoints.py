"""What endpoints say of themselves, and the last look before a request is sent."""

import random
import types

import attrs
import pytest
import trio
import trio.testing
from returns.result import Failure

from cactusmill.errors import CallerGoneError, NoEndpoint, Outcome
from cactusmill.internal import at_most_once, attempts, endpoints
from cactusmill.internal.containment.containment import CrashContainment
from cactusmill.internal.containment.culprits import Culprits
from cactusmill.internal.containment.running import RunningSuspects
from cactusmill.internal.endpoints import (
    LEAVING_HEADER,
    EndpointPool,
    Exchange,
    record_notices,
)
from cactusmill.internal.http import client_connection
from cactusmill.internal.request import Sink
from cactusmill.internal.routing import make_candidate

from .test_attempts import ENDPOINT, request
from .test_relay import tcp_pair

REQUEST = attrs.evolve(request(), identifier=types.SimpleNamespace(text="i"))


@attrs.define
class HostStub:
    """Stands for a host with one endpoint, to which it has a connection."""

    time: float = 0.0
    pool: EndpointPool = attrs.field(factory=lambda: EndpointPool(None))
    containment: CrashContainment = attrs.field(factory=CrashContainment)
    running_suspects: RunningSuspects = attrs.field(factory=RunningSuspects)
    rng: random.Random = attrs.field(factory=lambda: random.Random(1))
    cfg: object = types.SimpleNamespace(zone="z")

    def now(self):
        return self.time

    def wall_time(self):
        return self.time

    def send_heartbeats_now(self):
        pass

    async def record_served(self, progress):
        pass

    def endpoints_for(self, service):
        return [ENDPOINT]


def exchange(status=200, headers=()):
    return Exchange(None, False, status=status, headers=list(headers))


def is_usable(host):
    state = host.pool.state(ENDPOINT.name)
    return make_candidate(ENDPOINT, state, host.now()).usable


@pytest.mark.parametrize("status", [200, 404, 500, 503])
def test_endpoint_that_leaves_by_any_response_is_not_used(status):
    host = HostStub()
    state = host.pool.state(ENDPOINT.name)
    record_notices(host, state, exchange(status, [(LEAVING_HEADER, b"1")]))
    assert not is_usable(host)
    # A response that was begun before.
    record_notices(host, state, exchange())
    assert not is_usable(host)


def test_endpoint_that_wants_no_requests_is_used_again_by_degrees():
    host = HostStub()
    state = host.pool.state(ENDPOINT.name)
    record_notices(host, state, exchange(503, [(b"retry-after", b"2")]))
    host.time = 1.99
    assert not is_usable(host)
    assert host.pool.pause_left_s([ENDPOINT.name], host.now()) > 0
    host.time = 2.51
    assert is_usable(host)
    assert host.pool.pause_left_s([ENDPOINT.name], host.now()) is None
    assert make_candidate(ENDPOINT, state, host.now()).ramp_up_fraction < 0.5


@pytest.mark.parametrize("text", [b"", b"0", b"-1", b"nan", b"9" * 3000, b"soon"])
def test_malformed_retry_after_is_ignored(text):
    host = HostStub()
    state = host.pool.state(ENDPOINT.name)
    record_notices(host, state, exchange(503, [(b"retry-after", text)]))
    assert is_usable(host)


def attempt(host, sink, meanwhile):
    """Make one attempt on each path; return the results and what was sent.

    `meanwhile` is called while the requests wait for their connections.
    """
    sent, results = [], []

    async def main():
        async def acquire(pool, endpoint, now, new_connection):
            near, far = trio.testing.memory_stream_pair()
            fars.append(far)
            meanwhile(host)
            return Exchange(client_connection(near), reused=False)

        host.pool = types.SimpleNamespace(
            state=host.pool.state,
            put_back=host.pool.put_back,
            pause_left_s=host.pool.pause_left_s,
            acquire=lambda endpoint, now, new_connection: acquire(
                host.pool, endpoint, now, new_connection
            ),
        )
        fars = []
        progress = attempts.RequestProgress(set(), Culprits(0), None)
        state = host.pool.state(ENDPOINT.name)
        results.append(
            await attempts._attempt(
                host, REQUEST, sink, progress, ENDPOINT, state, lambda silent: False
            )
        )
        state.leaving = False
        results.append(await at_most_once._send_to_any(host, REQUEST))
        for far in fars:
            with trio.move_on_after(0.01):
                sent.append(await far.receive_some())

    trio.run(main)
    return results, sent


def test_nothing_is_sent_to_an_endpoint_that_left_during_the_wait():
    def leave(host):
        host.pool.state(ENDPOINT.name).leaving = True

    sink = Sink(head=None, data=None, end=None)
    results, sent = attempt(HostStub(), sink, leave)
    assert isinstance(results[0], NoEndpoint)
    match results[1]:
        case Failure(refusal):
            assert refusal.outcome is Outcome.NOT_RUN
    assert not sent


def test_nothing_is_sent_after_the_deadline_passed_during_the_wait():
    def wait(host):
        host.time = REQUEST.deadline

    sink = Sink(head=None, data=None, end=None)
    host = HostStub()
    results, sent = attempt(host, sink, wait)
    assert isinstance(results[0], NoEndpoint)
    assert not any(sent)


def test_nothing_is_sent_after_the_caller_left_during_the_wait():
    has_left = []
    sink = Sink(head=None, data=None, end=None, is_abandoned=lambda: bool(has_left))
    host = HostStub()
    with pytest.raises(CallerGoneError):
        attempt(host, sink, lambda host: has_left.append(True))
    assert len(host.pool.state(ENDPOINT.name).idle) == 1


def is_reused_after(act):
    """Return whether an idle connection is reused after `act` at the endpoint."""

    async def main():
        near, far = await tcp_pair()
        fresh, _ = trio.testing.memory_stream_pair()

        async def connect(address, timeout_s):
            return fresh

        pool = EndpointPool(types.SimpleNamespace(connect=connect))
        pool.release_stream(ENDPOINT, near, 0.0)
        await act(far)
        # Lets the bytes or the end arrive.
        await trio.sleep(0.05)
        exchange = await pool.acquire(ENDPOINT, 0.1, new_connection=False)
        is_reused = exchange.conn.stream is near
        assert exchange.reused == is_reused
        await near.aclose()
        await far.aclose()
        return is_reused

    return trio.run(main)


async def close(far):
    await far.aclose()


async def send_surplus(far):
    await far.send_all(b"HTTP/1.1 408 Request Timeout\r\n\r\n")


async def stay_open(far):
    pass


@pytest.mark.parametrize("act", [close, send_surplus])
def test_idle_connection_that_the_endpoint_closed_or_wrote_to_is_not_reused(act):
    assert not is_reused_after(act)


def test_idle_connection_that_is_open_is_reused():
    assert is_reused_after(stay_open)


def test_closed_connection_is_reused_without_the_look(monkeypatch):
    monkeypatch.setattr(endpoints, "is_idle_and_open", lambda stream: True)
    assert is_reused_after(close)
