"""Arbitrary input yields a valid response or one of the documented errors."""

import h11
import pytest
import trio
import trio.testing
from hypothesis import given, settings
from hypothesis import strategies as st
from returns.result import Failure, Success

from cactusmill.errors import (
    LinkClosedError,
    PlatformError,
    RecordError,
    SettingsError,
)
from cactusmill.internal.chat import parse_chat
from cactusmill.internal.edge import serve_caller
from cactusmill.internal.host_process import HostProcess
from cactusmill.internal.identifiers import parse_identifier
from cactusmill.internal.link import decode
from cactusmill.internal.platform_client import parse_update
from cactusmill.records import parse_record
from cactusmill.settings import parse_settings
from tests.helpers import change, settings_data

fuzz = settings(max_examples=200, derandomize=True, deadline=None)
SECRET = "fuzzed-key"
DIGEST = "f0f5b0f8f1a5e30b0ba7c2a0f5ab7ed5d6ef8ba3d1a9a8bd1e4d9d38f5e16a8c"
json_values = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(max_size=8),
    lambda inner: (
        st.lists(inner, max_size=3)
        | st.dictionaries(st.text(max_size=8), inner, max_size=3)
    ),
    max_leaves=8,
)
VALID_BODIES = {
    "zone": {"region": "r", "slots": 1},
    "team": {
        "rate_tokens_per_s": 1,
        "burst_tokens": 1,
        "regions": ["r"],
        "weight": 1,
        "zone_shares": {"z": 1},
    },
    "key": {"digest": DIGEST, "team": "t", "state": "active"},
    "route": {
        "prefix": "/x",
        "kind": "service",
        "service": "s",
        "repeatable": True,
        "teams": ["t"],
        "timeout_s": 1,
    },
    "policy": {"retry_share": 0.1, "objective": 0.9},
    "host": {
        "zone": "z",
        "region": "r",
        "slot": 0,
        "callers": "127.0.0.1:1",
        "peers": "127.0.0.1:2",
        "state": "live",
    },
    "endpoint": {
        "zone": "z",
        "region": "r",
        "address": "127.0.0.1:3",
        "serves": ["s"],
        "capacity": 1,
        "state": "live",
    },
}


@pytest.mark.parametrize("kind", sorted(VALID_BODIES))
@fuzz
@given(data=st.data())
def test_records_are_parsed_or_the_field_is_reported(kind, data):
    valid = VALID_BODIES[kind]
    field = data.draw(st.sampled_from(sorted(valid)))
    try:
        parse_record(
            kind, "a", schema_of(kind), {**valid, field: data.draw(json_values)}
        )
    except RecordError as exc:
        assert field in str(exc)


def schema_of(kind):
    return 2 if kind == "team" else 1


@pytest.mark.parametrize(
    ("kind", "field", "value"),
    [
        ("team", "regions", 5),
        ("team", "regions", None),
        ("zone", "slots", 1.5),
        ("team", "zone_shares", {"a": 0.7, "b": 0.7}),
        ("key", "digest", "short"),
        ("key", "state", "lost"),
        ("route", "prefix", "x"),
        ("host", "callers", "localhost:1"),
        ("host", "unheard", 1),
    ],
)
def test_invalid_fields_are_reported(kind, field, value):
    with pytest.raises(RecordError, match=f"{kind}/a: {field}: "):
        parse_record(kind, "a", schema_of(kind), {**VALID_BODIES[kind], field: value})


@pytest.mark.parametrize("kind", sorted(VALID_BODIES))
def test_valid_records_are_parsed(kind):
    assert parse_record(kind, "a", schema_of(kind), VALID_BODIES[kind]).name == "a"


@fuzz
@given(st.dictionaries(st.sampled_from(sorted(settings_data())), json_values))
def test_settings_are_parsed_or_rejected(changes):
    try:
        parse_settings({**settings_data(), **changes})
    except SettingsError as exc:
        assert str(exc)


@fuzz
@given(json_values)
def test_values_other_than_settings_are_rejected(data):
    with pytest.raises(SettingsError):
        parse_settings(data)


@fuzz
@given(st.binary(max_size=64) | json_values.map(lambda v: repr(v).encode()))
def test_platform_responses_are_parsed_or_rejected(text):
    try:
        trio.run(parse_update, text)
    except PlatformError:
        pass


@fuzz
@given(st.binary(max_size=200))
def test_frames_are_decoded_or_rejected(data):
    try:
        decode(data)
    except LinkClosedError:
        pass


@fuzz
@given(st.binary(max_size=64) | json_values.map(lambda v: repr(v).encode()))
def test_chat_bodies_are_parsed_or_rejected(body):
    assert isinstance(parse_chat(body), Success | Failure)


@fuzz
@given(
    st.text(max_size=60)
    | st.from_regex(r"cm1~[a-z]{1,4}~[0-9a-f]{1,8}~[0-9a-f]{1,12}~\w{1,8}")
)
def test_identifiers_are_parsed_or_unknown(text):
    identifier = parse_identifier(text)
    assert identifier is None or identifier.text == text


def make_host():
    host = HostProcess(parse_settings(settings_data()))
    bodies = [
        ("zone", "z", {"region": "r", "slots": 1}),
        ("team", "t", {"rate_tokens_per_s": 1e6, "burst_tokens": 1e6}),
        ("key", "k", {"digest": DIGEST, "team": "t", "state": "active"}),
        ("route", "open", {"prefix": "/open", "kind": "service", "service": "s"}),
        ("route", "chat", {"prefix": "/chat", "kind": "model"}),
    ]
    bodies[3][2]["open"] = bodies[4][2]["open"] = True
    changes = [change(k, n, b, i + 1) for i, (k, n, b) in enumerate(bodies)]
    host.records.apply(changes, len(changes))
    return host


def send_to_edge(data):
    """Send bytes and then EOF on a caller's connection; return the received bytes."""

    async def main():
        client, server = trio.testing.memory_stream_pair()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(serve_caller, make_host(), server)
            await client.send_all(data)
            await client.send_eof()
            received = b""
            try:
                while chunk := await client.receive_some():
                    received += chunk
            except trio.BrokenResourceError:
                pass
        return received

    return trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))


def parse_statuses(received, requests):
    conn = h11.Connection(h11.CLIENT)
    found = []
    for _ in range(requests):
        conn.send(h11.Request(method="GET", target="/", headers=[("host", "x")]))
        conn.send(h11.EndOfMessage())
        conn.receive_data(received)
        received = b""
        while True:
            event = conn.next_event()
            if isinstance(event, h11.Response):
                found.append(event.status_code)
            if isinstance(event, h11.EndOfMessage):
                break
            if event is h11.NEED_DATA or isinstance(event, h11.ConnectionClosed):
                return found
        if conn.our_state is not h11.DONE or conn.their_state is not h11.DONE:
            return found
        conn.start_next_cycle()
    return found


fragments = st.sampled_from(
    [
        b"POST /chat HTTP/1.1\r\n",
        b"GET /open/x HTTP/1.1\r\n",
        b"GET /nowhere HTTP/1.0\r\n",
        b"Host: x\r\n",
        b"Content-Length: 5\r\n",
        b"Content-Length: 7\r\n",
        b"Content-Length: -1\r\n",
        b"Content-Length: 99999999999\r\n",
        b"Transfer-Encoding: chunked\r\n",
        b"Transfer-Encoding: gzip, chunked\r\n",
        b"Authorization: Bearer fuzzed-key\r\n",
        b"Authorization: Bearer \xff\x00\r\n",
        b"Idempotency-Key: cm1~a~b~c~d\r\n",
        b"Expect: 100-continue\r\n",
        b"Upgrade: h2c\r\nConnection: upgrade\r\n",
        b"\r\n",
        b"5\r\nhello\r\n0\r\n\r\n",
        b"zz\r\n",
        b"hello",
        b"X: " + b"y" * 20_000 + b"\r\n",
        b" folded\r\n",
    ]
) | st.binary(max_size=12)


@settings(fuzz, max_examples=300)
@given(st.lists(fragments, max_size=12).map(b"".join))
def test_arbitrary_caller_bytes_get_valid_responses(data):
    received = send_to_edge(data)
    if received:
        statuses = parse_statuses(received, requests=data.count(b"HTTP/1") + 1)
        assert statuses
        assert all(100 < status < 500 or status in (501, 503) for status in statuses)


@pytest.mark.parametrize(
    ("data", "status"),
    [
        (b"GET /nowhere HTTP/1.1\r\nHost: x\r\n\r\n", 404),
        (b"GET /chat HTTP/1.1\r\n\r\n", 400),
        (b"nonsense\r\n\r\n", 400),
        (b"GET / HTTP/1.1\r\nHost: x\r\nX: " + b"y" * 30_000, 431),
        (
            b"POST /chat HTTP/1.1\r\nHost: x\r\nContent-Length: 5\r\n"
            b"Content-Length: 6\r\n\r\nhello",
            400,
        ),
        (
            b"POST /chat HTTP/1.1\r\nHost: x\r\nContent-Length: 99999999\r\n\r\n",
            413,
        ),
        (
            b"POST /chat HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n"
            b"zz\r\n",
            400,
        ),
        (b"POST /chat HTTP/1.1\r\nHost: x\r\nContent-Length: 2\r\n\r\n{}", 400),
        (
            b"GET /v1/hosts HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer \x80\r\n\r\n",
            401,
        ),
    ],
)
def test_invalid_input_gets_the_matching_status(data, status):
    assert parse_statuses(send_to_edge(data), 1) == [status]


def test_slow_head_gets_a_timeout_response():
    async def main():
        client, server = trio.testing.memory_stream_pair()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(serve_caller, make_host(), server)
            await client.send_all(b"GET /open HTTP/1.1\r\nHost:")
            received = await client.receive_some()
            await client.aclose()
        return received

    received = trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))
    assert parse_statuses(received, 1) == [408]
