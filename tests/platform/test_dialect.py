"""Parsing and rendering of the platform's HTTP headers."""

import h11
import pytest
from hypothesis import given
from hypothesis import strategies as st

from cactusmill.errors import EndpointFailed, Outcome, Overloaded, RequestSuspected
from cactusmill.platform import dialect


def parse_head(*headers):
    return dialect.read_head(
        h11.Request(
            method="POST",
            target="/a/b?c=d",
            headers=[("host", "API.example:80"), ("request-id", "r-1"), *headers],
        )
    )


def test_caller_head_is_parsed():
    parsed = parse_head(
        ("model", "m"),
        ("token-usage", "1460,80"),
        ("prompt-prefix", "5c:800,91:410,e4:250"),
        ("length-hint", "40"),
        ("deadline-ms", "5000"),
        ("authorization", "Token secret"),
    )
    assert parsed.host == "api.example" and parsed.path == "/a/b"
    assert parsed.secret == b"secret" and parsed.budget_s == 5.0
    assert parsed.size_tokens == 1540 and parsed.output_tokens == 40
    assert parsed.prompt_segments == (("5c", 800), ("91", 410), ("e4", 250))


@pytest.mark.parametrize("text", ["x", "1", "1,", ",", "a,b", "1,2,3"])
def test_malformed_token_usage_counts_as_missing(text):
    assert parse_head(("token-usage", text)).size_tokens is None


def test_hop_by_hop_and_gateway_headers_are_not_forwarded():
    parsed = parse_head(
        ("connection", "x-hop, request-id, keep-alive"),
        ("x-hop", "1"),
        ("x-end", "2"),
        ("keep-alive", "timeout=5"),
        ("pin-ms", "4000"),
        ("kv-from", "10.0.0.1:1/x"),
        ("tenant", "forged"),
    )
    names = [name for name, _ in parsed.forwardable_headers]
    assert sorted(names) == [b"host", b"request-id", b"x-end"]


@given(st.binary(max_size=40))
def test_any_header_value_is_accepted(value):
    try:
        h11.Request(method="GET", target="/", headers=[("host", "x"), ("a", value)])
    except h11.LocalProtocolError:
        return
    for name in ("token-usage", "prompt-prefix", "deadline-ms", "authorization"):
        parse_head((name, value))
    dialect.read_response_head(200, [(b"keep-alive", value), (b"instance-load", value)])


@pytest.mark.parametrize(
    ("refusal", "status"),
    [
        (Overloaded(detail="x", outcome=Outcome.NOT_RUN), 503),
        (Overloaded(detail="x", outcome=Outcome.UNKNOWN), 502),
        (EndpointFailed(detail="x", outcome=Outcome.UNKNOWN), 502),
        (EndpointFailed(detail="x", outcome=Outcome.NOT_RUN), 503),
        (RequestSuspected(detail="x", outcome=Outcome.NOT_RUN), 503),
        (RequestSuspected(detail="x", outcome=Outcome.UNKNOWN), 502),
    ],
)
def test_status_implies_not_run_only_if_known(refusal, status):
    assert dialect.render_refusal(refusal, "r")[0] == status
