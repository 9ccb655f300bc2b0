"""A request on a caller's connection, and the responses to it."""

import contextlib

import attrs
import h11
import trio

from ..errors import AnswerCutError, CallerGoneError, ExchangeError, Outcome
from .at_most_once import IDENTIFIER_HEADER
from .endpoints import STALL_LIMIT_S
from .http import has_other_end_closed, header
from .identifiers import parse_identifier
from .problems import render_problem
from .request import Sink

_BEARER = "bearer "


@attrs.define(eq=False)
class CallerRequest:
    """One request on a caller's connection.

    Attributes
    ----------
    conn : Connection
        The caller's connection.
    head : h11.Request
        Head of the request.
    request_id : str
        Request ID for logs.
    received_at : float
        Time at which the head was complete, in seconds.
    unread_s : float
        Estimate of how long its bytes were unread in this host before, in seconds.
    has_response_started : bool
        True once the head of the response was sent.
    first_byte_s : float or None
        Time from `received_at` until then, in seconds.
    announced_close : bool
        True once the head of a response announced that the connection closes.
    must_close : bool
        True if the connection closes behind the response.
    is_dispatched : bool
        True once an endpoint or another host may have received the request.
    status : int
        HTTP status of the response; 0 before it is sent.
    """

    conn: object
    head: h11.Request
    request_id: str
    received_at: float
    unread_s: float
    has_response_started: bool = False
    first_byte_s: float | None = None
    announced_close: bool = False
    must_close: bool = False
    is_dispatched: bool = False
    status: int = 0

    @property
    def path(self):
        """Path of the request target, without the query."""
        return self.head.target.decode("latin-1").partition("?")[0]

    @property
    def identifier(self):
        """Minted identifier in the request's headers, or None."""
        text = header(self.head.headers, IDENTIFIER_HEADER)
        return parse_identifier(text) if text else None

    @property
    def secret(self):
        """The caller's API key, or empty bytes."""
        text = header(self.head.headers, b"authorization", "")
        if text[: len(_BEARER)].lower() != _BEARER:
            return b""
        return text[len(_BEARER) :].strip().encode("latin-1")

    @property
    def outcome_before_owner(self):
        """Outcome of a request that is refused before its owner was asked.

        ``UNKNOWN`` if the request has an identifier, because an earlier attempt
        with the same identifier may have run through another host.
        """
        return Outcome.UNKNOWN if self.identifier else Outcome.NOT_RUN

    @property
    def outcome(self):
        """Outcome to report if no response arrives."""
        return Outcome.UNKNOWN if self.is_dispatched else self.outcome_before_owner


def caller_sink(host, caller):
    """Return the sink that sends a response to a caller."""
    conn = caller.conn

    async def head(status, headers, first=b""):
        caller.has_response_started, caller.status = True, status
        caller.first_byte_s = host.now() - caller.received_at
        await _send(
            conn,
            h11.Response(
                status_code=status,
                headers=[*headers, *_connection_headers(host, caller)],
            ),
            h11.Data(data=first),
        )

    async def data(chunk):
        await _send(conn, h11.Data(data=chunk))

    async def end(last=b""):
        with _caller_gone():
            await conn.deliver(h11.Data(data=last), h11.EndOfMessage())

    async def whole(status, headers, body):
        caller.has_response_started = True
        caller.first_byte_s = host.now() - caller.received_at
        with _caller_gone():
            await send_response(host, caller, status, headers, body)

    def chunked_stream():
        is_chunked = (
            isinstance(conn.stream, trio.SocketStream)
            and caller.head.http_version == b"1.1"
            and caller.head.method != b"HEAD"
        )
        return conn.stream if is_chunked else None

    def end_chunked():
        # Bytes that the caller sent meanwhile belong to its next request.
        conn.reset_cycle(host.cfg.max_head_bytes)

    def is_abandoned():
        return has_other_end_closed(conn.stream)

    return Sink(head, data, end, whole, chunked_stream, end_chunked, is_abandoned)


async def _send(conn, *events):
    await trio.lowlevel.checkpoint_if_cancelled()
    with _caller_gone():
        await conn.deliver(*events, max_blocked_s=STALL_LIMIT_S)


@contextlib.contextmanager
def _caller_gone():
    try:
        yield
    except AnswerCutError as exc:
        raise CallerGoneError(str(exc), exc.reason) from exc
    except ExchangeError as exc:
        raise CallerGoneError("the caller disconnected") from exc


def _connection_headers(host, caller):
    headers = [(b"x-request-id", caller.request_id.encode())]
    is_unread = caller.conn.h11.their_state is not h11.DONE
    is_short = host.descriptors.is_short(host.now())
    if host.leaving or caller.must_close or is_unread or is_short:
        caller.announced_close = True
        headers.append((b"connection", b"close"))
    else:
        # Two seconds less than the timeout: a caller that respects it does not
        # send on a connection that is about to be closed.
        idle_s = max(1, int(host.cfg.idle_timeout_s) - 2)
        headers.append((b"keep-alive", f"timeout={idle_s}".encode()))
    return headers


async def send_refusal(host, caller, refusal):
    """Send a refusal to a caller as problem details."""
    status, headers, body = render_problem(refusal, caller.request_id)
    await send_response(host, caller, status, headers, body)


async def send_response(host, caller, status, headers, body):
    """Send a response with a complete body to a caller."""
    caller.status = status
    response = h11.Response(
        status_code=status, headers=[*headers, *_connection_headers(host, caller)]
    )
    await caller.conn.deliver(response, h11.Data(data=body), h11.EndOfMessage())
