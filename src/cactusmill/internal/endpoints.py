"""Connections to endpoints, and each endpoint's load and health as seen here."""

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
from .framing import new_received_body, response_framing
from .http import (
    client_connection,
    header,
    is_idle_and_open,
    parse_retry_after,
    send_and_receive,
)
from .net import Network
from .patience import give_up_always, receive_patiently

CONNECT_TIMEOUT_S = 1.0
# Idle time after which a connection is not reused.
IDLE_LIMIT_S = 4.0
# Longest time without a byte of a response body.
STALL_LIMIT_S = 10.0
# Idle connections kept for each endpoint.
_MAX_IDLE = 32
# Weight of the newest sample in the smoothed time to first byte.
_TTFB_SMOOTHING = 0.1
# Backoff after the first failure; each further one doubles it.
_MIN_BACKOFF_S = 0.2
_MAX_BACKOFF_S = 5.0
REQUEST_ID_HEADER = b"x-request-id"
# The endpoint is shutting down. With status 503 it did not run the request.
LEAVING_HEADER = b"x-endpoint-leaving"
_UNAVAILABLE = 503
# Random fraction that is added to a pause, and its limit, so that hosts do not return
# in the same moment.
_PAUSE_JITTER = 0.25
_MAX_PAUSE_JITTER_S = 1.0


@attrs.define(eq=False)
class EndpointState:
    """Load and health of one endpoint, as known to this host.

    Attributes
    ----------
    name : str
        Name of the endpoint.
    in_flight : int
        Requests of this host that it is processing.
    backoff_until : float
        End of the backoff after failures, in seconds; no request is sent before.
    failures : int
        Failures since the last success.
    reported_load : int or None
        Requests from all hosts, as the endpoint last reported.
    reported_at : float
        Time of that report, in seconds.
    peer_loads : dict of str to (int, float)
        For each other host of the zone, its requests at the endpoint and the time
        of its report, in seconds.
    leaving : bool
        True once it said that it is shutting down.
    paused_until : float
        Time until which it wants no requests from this host, in seconds.
    ttfb_s : float
        Exponentially smoothed time to first byte, in seconds.
    recovered_at : float
        Time of the last success after a failure, in seconds.
    idle : collections.deque of (Connection, float)
        Idle connections, each with the time since when it is idle, in seconds.
    """

    name: str
    in_flight: int = 0
    backoff_until: float = 0.0
    failures: int = 0
    reported_load: int | None = None
    reported_at: float = 0.0
    peer_loads: dict = attrs.field(factory=dict)
    leaving: bool = False
    paused_until: float = float("-inf")
    ttfb_s: float = 0.0
    recovered_at: float = float("-inf")
    idle: collections.deque = attrs.field(factory=collections.deque)

    def takes_requests(self, now):
        """Return whether it takes requests, by what it said in its responses."""
        return not self.leaving and now >= self.paused_until

    def record_pause(self, pause_s, now):
        """Send nothing for a time, in seconds; then its usable capacity grows."""
        self.paused_until = max(self.paused_until, now + pause_s)
        self.recovered_at = self.paused_until

    def record_failure(self, now):
        """Back off exponentially, starting at `now`, in seconds."""
        backoff = min(_MAX_BACKOFF_S, _MIN_BACKOFF_S * 2**self.failures)
        self.failures += 1
        self.backoff_until = now + backoff

    def record_ttfb(self, seconds):
        """Update the smoothed time to first byte with a measured one, in seconds."""
        self.ttfb_s += _TTFB_SMOOTHING * (seconds - self.ttfb_s)

    def record_success(self, now):
        """End the backoff; the endpoint counts as healthy from `now`, in seconds."""
        if self.failures:
            self.recovered_at = now
        self.failures = 0
        self.backoff_until = 0.0


@attrs.define(eq=False)
class Exchange:
    """One request to an endpoint, and its response.

    Attributes
    ----------
    conn : Connection
        Connection that the exchange owns until it ends.
    reused : bool
        True if the connection has served an earlier request.
    status : int
        Status of the response; 0 until its head is received.
    headers : list of (bytes, bytes)
        Headers of the response.
    received : ReceivedBody or None
        Body of the response; None until its head is received.
    """

    conn: object
    reused: bool
    status: int = 0
    headers: list = attrs.field(factory=list)
    received: object = None


@attrs.define
class EndpointPool:
    """Connections to and states of all endpoints that a host uses.

    Attributes
    ----------
    net : Network
        Opens the connections.
    """

    net: Network
    _states: dict = attrs.field(factory=dict)
    _names_by_key: dict = attrs.field(factory=dict)

    def state(self, name):
        """Return the state of an endpoint, created on first use."""
        if name not in self._states:
            self._states[name] = EndpointState(name)
        return self._states[name]

    def leaving_names(self):
        """Return the names of the endpoints that are known to be shutting down."""
        return [s.name for s in self._states.values() if s.leaving]

    def mark_leaving(self, names):
        """Mark endpoints as shutting down, as reported by a peer."""
        for name in names:
            self.state(name).leaving = True

    def update_listed(self, names):
        """Set the names of the listed endpoints.

        The state of an endpoint that is no longer listed is dropped once none of
        this host's requests is in flight there.
        """
        self._names_by_key = {load_key(name): name for name in names}
        for name in set(self._states) - set(self._names_by_key.values()):
            if self._states[name].in_flight == 0:
                del self._states[name]

    def pause_left_s(self, names, now):
        """Return when the first of some endpoints takes requests again.

        Parameters
        ----------
        names : iterable of str
            Names of the endpoints.
        now : float
            Current time, in seconds.

        Returns
        -------
        float or None
            Seconds from now; None if not all of them are paused or leaving, or all
            are leaving.
        """
        states = [self.state(name) for name in names]
        if any(state.takes_requests(now) for state in states):
            return None
        left_s = [s.paused_until - now for s in states if not s.leaving]
        return min(left_s, default=None)

    def own_loads(self):
        """Return this host's requests in flight, by endpoint key."""
        return {load_key(s.name): s.in_flight for s in self._states.values()}

    def update_peer_loads(self, host_name, loads, now):
        """Apply another host's report of its requests in flight.

        Parameters
        ----------
        host_name : str
            Host of the zone that sent the report.
        loads : dict of int to int
            Requests in flight, by endpoint key.
        now : float
            Current time, in seconds.
        """
        for key, in_flight in loads.items():
            name = self._names_by_key.get(key)
            if name is not None:
                self.state(name).peer_loads[host_name] = (in_flight, now)

    async def acquire(self, endpoint, now, new_connection):
        """Return an exchange on an idle connection or, if there is none, a new one.

        Parameters
        ----------
        endpoint : Endpoint
            Endpoint to connect to.
        now : float
            Current time, in seconds.
        new_connection : bool
            True to always open a new connection. Bytes sent on a reused one may
            have been read by the endpoint even if the connection proves closed.

        Raises
        ------
        ConnectError
            If no connection could be opened; the endpoint has received nothing.
        """
        state = self.state(endpoint.name)
        while state.idle and not new_connection:
            conn, idle_since = state.idle.pop()
            is_fresh = now - idle_since < IDLE_LIMIT_S
            if is_fresh and is_idle_and_open(conn.stream):
                return Exchange(conn, reused=True)
            await conn.close()
        stream = await self.net.connect(endpoint.address, CONNECT_TIMEOUT_S)
        return Exchange(client_connection(stream), reused=False)

    async def drop_idle(self, endpoint):
        """Close all idle connections to an endpoint."""
        state = self.state(endpoint.name)
        while state.idle:
            conn, _ = state.idle.pop()
            await conn.close()

    def release_stream(self, endpoint, stream, now):
        """Return a stream to the pool whose last body was relayed without ``h11``."""
        idle = self.state(endpoint.name).idle
        if len(idle) >= _MAX_IDLE:
            # The socket is closed when its last reference is dropped.
            return
        idle.append((client_connection(stream), now))

    def put_back(self, endpoint, exchange, now):
        """Return a connection on which nothing was sent to the pool."""
        self.state(endpoint.name).idle.append((exchange.conn, now))

    async def release(self, endpoint, exchange, now):
        """Return the connection of a complete response to the pool, or close it."""
        state = self.state(endpoint.name)
        conn = exchange.conn
        is_done = conn.h11.our_state is h11.DONE and conn.h11.their_state is h11.DONE
        if is_done and not conn.is_partly_sent:
            conn.h11.start_next_cycle()
            if len(state.idle) < _MAX_IDLE:
                state.idle.append((conn, now))
                return
        await conn.close()


def load_key(name):
    """Return the key of an endpoint in load reports, a signed 32-bit hash."""
    return xxhash.xxh32_intdigest(name.encode()) - 2**31


async def send_request(exchange, endpoint, req, extra_headers, receive):
    """Send the head and the body of a request, and receive the response meanwhile.

    An endpoint may respond before it has read the request.

    Parameters
    ----------
    exchange : Exchange
        Before anything is sent on it.
    endpoint : Endpoint
        Other end of its connection.
    req : Request
        The request.
    extra_headers : list of (bytes, bytes)
        Headers besides those of the request.
    receive : callable
        ``await receive()`` receives the head, as :func:`receive_head` does.

    Raises
    ------
    ExchangeError
        If the connection fails; the endpoint may have received any of the bytes.
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
    events = [request, *body, h11.EndOfMessage()]
    data = b"".join(exchange.conn.h11.send(event) or b"" for event in events)
    await send_and_receive(exchange.conn, data, receive)


async def receive_head(exchange, req, timeout_s, may_give_up=give_up_always):
    """Receive the head of the response into the exchange.

    Parameters
    ----------
    exchange : Exchange
        One that :func:`send_request` uses.
    req : Request
        Request that the response must belong to.
    timeout_s : float
        Wait after which `may_give_up` is asked, in seconds.
    may_give_up : callable
        As in :func:`.patience.receive_patiently`.

    Raises
    ------
    ExchangeError
        If the connection fails or is given up, or if the response belongs to
        another request.
    """
    try:
        event = await receive_patiently(
            exchange.conn.next_response, exchange.conn.stream, timeout_s, may_give_up
        )
    except h11.RemoteProtocolError as exc:
        raise TruncatedAnswerError(str(exc)) from exc
    exchange.status, exchange.headers = event.status_code, list(event.headers)
    exchange.received = new_received_body(
        response_framing(req.method.encode(), exchange.status, exchange.headers),
        req.cost_tokens,
    )
    echoed = header(exchange.headers, REQUEST_ID_HEADER)
    if echoed is not None and echoed != req.request_id:
        raise CrossedAnswerError(f"answer to {echoed!r}, not to {req.request_id!r}")


def record_notices(host, state, exchange):
    """Record what an endpoint says of itself in the head of any response."""
    if header(exchange.headers, LEAVING_HEADER) is not None and not state.leaving:
        state.leaving = True
        host.send_heartbeats_now()
    if exchange.status == _UNAVAILABLE:
        pause_s = parse_retry_after(exchange.headers)
        if pause_s is not None:
            jitter_s = min(_MAX_PAUSE_JITTER_S, _PAUSE_JITTER * pause_s)
            state.record_pause(pause_s + jitter_s * host.rng.random(), host.now())


async def receive_data(exchange):
    """Return the next chunk of the response body, or None at its end.

    Raises
    ------
    ExchangeError
        If the body is truncated or no byte arrives within `STALL_LIMIT_S`.
    """
    try:
        with trio.fail_after(STALL_LIMIT_S):
            return await exchange.conn.next_data(exchange.received)
    except trio.TooSlowError as exc:
        raise SilentEndpointError(f"no progress for {STALL_LIMIT_S} s") from exc
    except h11.RemoteProtocolError as exc:
        raise TruncatedAnswerError(str(exc)) from exc
