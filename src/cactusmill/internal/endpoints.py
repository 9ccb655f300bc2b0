"""Endpoints as one host sees them: connections, work in flight, health."""

import collections

import attrs
import h11
import trio
import xxhash

from ..errors import (
    CrossedAnswerError,
    SilentEndpointError,
    TruncatedAnswerError,
)
from .http import client_connection, header
from .net import Network

CONNECT_TIMEOUT_S = 1.0
IDLE_LIMIT_S = 4.0
STALL_LIMIT_S = 10.0
_MAX_IDLE = 32
_SMOOTHING = 0.1
_FIRST_BACKOFF_S = 0.2
_LAST_BACKOFF_S = 5.0
REQUEST_ID_HEADER = b"x-request-id"


@attrs.define(eq=False)
class EndpointState:
    """What this host knows of one endpoint.

    Attributes
    ----------
    name : str
        The endpoint.
    in_flight : int
        Requests of this host that it works on now.
    down_until : float
        No request is sent before this time, in seconds.
    failures : int
        Failures since the last success.
    reported_load : int or None
        Requests that it last said to hold, from all hosts.
    reported_at : float
        When it said so, in seconds.
    peer_loads : dict of str to (int, float)
        By host of the zone, its requests there and when it said so.
    leaving : bool
        True once it refused work because it is leaving.
    ttfb_s : float
        Smoothed time until an answer begins, in seconds.
    recovered_at : float
        When it last came back after a failure, in seconds.
    """

    name: str
    in_flight: int = 0
    down_until: float = 0.0
    failures: int = 0
    reported_load: int | None = None
    reported_at: float = 0.0
    peer_loads: dict = attrs.field(factory=dict)
    leaving: bool = False
    ttfb_s: float = 0.0
    recovered_at: float = float("-inf")
    idle: collections.deque = attrs.field(factory=collections.deque)

    def record_failure(self, now):
        """Back off, longer with each failure in a row."""
        backoff = min(_LAST_BACKOFF_S, _FIRST_BACKOFF_S * 2**self.failures)
        self.failures += 1
        self.down_until = now + backoff

    def record_ttfb(self, seconds):
        """Feed the smoothed time until an answer begins."""
        self.ttfb_s += _SMOOTHING * (seconds - self.ttfb_s)

    def record_success(self, now):
        """Take the endpoint as healthy."""
        if self.failures:
            self.recovered_at = now
        self.failures = 0
        self.down_until = 0.0


@attrs.define(eq=False)
class Exchange:
    """One request on its way to an endpoint.

    Attributes
    ----------
    conn : Connection
        Used by this request alone until it ends.
    reused : bool
        True if the connection had served an earlier request.
    status, headers
        Head of the answer, once received.
    """

    conn: object
    reused: bool
    status: int = 0
    headers: list = attrs.field(factory=list)


@attrs.define
class EndpointPool:
    """Connections and states of all endpoints that a host uses.

    Attributes
    ----------
    net : Network
        How to reach them.
    """

    net: Network
    _states: dict = attrs.field(factory=dict)
    _names_by_key: dict = attrs.field(factory=dict)

    def state(self, name):
        """Return the state of an endpoint, made on first use."""
        if name not in self._states:
            self._states[name] = EndpointState(name)
        return self._states[name]

    def leaving_names(self):
        """Return the endpoints that told this host that they are leaving."""
        return [s.name for s in self._states.values() if s.leaving]

    def mark_leaving(self, names):
        """Take over from a peer which endpoints are leaving."""
        for name in names:
            self.state(name).leaving = True

    def update_listed(self, names):
        """Take over which endpoints are listed, and drop all others."""
        self._names_by_key = {load_key(name): name for name in names}
        for name in set(self._states) - set(self._names_by_key.values()):
            if self._states[name].in_flight == 0:
                del self._states[name]

    def own_loads(self):
        """Return this host's requests in flight, by the endpoints' keys."""
        return {load_key(s.name): s.in_flight for s in self._states.values()}

    def update_peer_loads(self, host_name, loads, now):
        """Take over what a host of the zone has in flight.

        Parameters
        ----------
        host_name : str
            Who reports.
        loads : dict of int to int
            Requests in flight by the endpoints' keys.
        now : float
            Present time, in seconds.
        """
        for key, in_flight in loads.items():
            name = self._names_by_key.get(key)
            if name is not None:
                self.state(name).peer_loads[host_name] = (in_flight, now)

    async def acquire(self, endpoint, now, fresh):
        """Return an exchange on an idle or a new connection.

        Parameters
        ----------
        endpoint : Endpoint
            Whom to reach.
        now : float
            Present time, in seconds.
        fresh : bool
            True to open a new connection: a byte sent on a reused one may
            have been read even if the connection turns out to be closed.

        Raises
        ------
        ConnectError
            If none could be opened; the endpoint has received nothing.
        """
        state = self.state(endpoint.name)
        while state.idle and not fresh:
            conn, since = state.idle.pop()
            if now - since < IDLE_LIMIT_S:
                return Exchange(conn, reused=True)
            await conn.close()
        stream = await self.net.connect(endpoint.address, CONNECT_TIMEOUT_S)
        return Exchange(client_connection(stream), reused=False)

    async def drop_idle(self, endpoint):
        """Close the idle connections to an endpoint."""
        state = self.state(endpoint.name)
        while state.idle:
            conn, _ = state.idle.pop()
            await conn.close()

    def release_stream(self, endpoint, stream, now):
        """Keep a connection whose last body was passed on as it came."""
        idle = self.state(endpoint.name).idle
        if len(idle) >= _MAX_IDLE:
            # Dropping the reference closes the socket.
            return
        idle.append((client_connection(stream), now))

    async def release(self, endpoint, exchange, now):
        """Keep the connection of a whole answer for later requests."""
        state = self.state(endpoint.name)
        conn = exchange.conn
        if conn.h11.our_state is h11.DONE and conn.h11.their_state is h11.DONE:
            conn.h11.start_next_cycle()
            if len(state.idle) < _MAX_IDLE:
                state.idle.append((conn, now))
                return
        await conn.close()


def load_key(name):
    """Return the key by which load reports name an endpoint."""
    return xxhash.xxh32_intdigest(name.encode()) - 2**31


async def send_request(exchange, endpoint, req, extra_headers):
    """Send a request's head and body.

    Raises
    ------
    ExchangeError
        If the connection fails; any byte may have reached the endpoint.
    """
    headers = [
        (b"host", endpoint.address.encode()),
        (REQUEST_ID_HEADER, req.request_id.encode()),
        (b"content-length", str(len(req.body)).encode()),
        *req.headers,
        *extra_headers,
    ]
    request = h11.Request(method=req.method, target=req.target, headers=headers)
    body = [h11.Data(data=req.body)] if req.body else []
    await exchange.conn.send(request, *body, h11.EndOfMessage())


async def receive_head(exchange, req, timeout_s):
    """Receive the head of the answer.

    Parameters
    ----------
    exchange : Exchange
        After :func:`send_request`.
    req : Request
        Whose answer it must be.
    timeout_s : float
        Longest wait, in seconds.

    Raises
    ------
    ExchangeError
        If the connection fails, stays silent or answers another request.
    """
    try:
        with trio.fail_after(max(0.0, timeout_s)):
            event = await exchange.conn.next_event()
            while isinstance(event, h11.InformationalResponse):
                event = await exchange.conn.next_event()
    except trio.TooSlowError as exc:
        raise SilentEndpointError(f"no answer within {timeout_s:.1f} s") from exc
    except h11.RemoteProtocolError as exc:
        raise TruncatedAnswerError(str(exc)) from exc
    if not isinstance(event, h11.Response):
        raise TruncatedAnswerError("the connection ended before an answer")
    exchange.status, exchange.headers = event.status_code, list(event.headers)
    echoed = header(exchange.headers, REQUEST_ID_HEADER)
    if echoed is not None and echoed != req.request_id:
        raise CrossedAnswerError(f"answer to {echoed!r}, not to {req.request_id!r}")


async def receive_data(exchange):
    """Return the next part of the answer's body, or None at its end.

    Raises
    ------
    ExchangeError
        If the body ends early or makes no progress.
    """
    try:
        with trio.fail_after(STALL_LIMIT_S):
            return await exchange.conn.next_data()
    except trio.TooSlowError as exc:
        raise SilentEndpointError(f"no progress for {STALL_LIMIT_S} s") from exc
    except h11.RemoteProtocolError as exc:
        raise TruncatedAnswerError(str(exc)) from exc
