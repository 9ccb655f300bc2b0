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


@given(
    name=st.sampled_from(["deadline-ms", "token-usage", "length-hint"]),
    numbers=st.lists(
        st.integers() | st.sampled_from([10**400, -(10**400), 10**5000]),
        min_size=1,
        max_size=2,
    ),
)
def test_numbers_out_of_bounds_are_neither_used_nor_raised(name, numbers):
    parsed = parse_head((name, ",".join(str_of(number) for number in numbers)))
    is_bounded = all(0 <= number < 2**53 for number in numbers)
    if name != "length-hint":
        assert (parsed.problem is None) == is_bounded
    assert parsed.budget_s is None or 0 <= parsed.budget_s < 2**53
    assert parsed.size_tokens is None or parsed.size_tokens >= 0
    assert parsed.prompt_tokens >= 0 and parsed.output_tokens >= 0


def str_of(number):
    """Return the digits of a number that `str` may hold to be too long."""
    sign = "-" if number < 0 else ""
    return f"{sign}1{'0' * 5000}" if abs(number) >= 10**400 else str(number)


@pytest.mark.parametrize("name", ["deadline-ms", "token-usage"])
def test_repeated_number_is_a_problem(name):
    assert "2 times" in parse_head((name, "1,1"), (name, "9,9")).problem


@given(st.integers(max_value=-1) | st.integers(min_value=2**53, max_value=10**400))
def test_numbers_of_endpoints_out_of_bounds_count_as_missing(number):
    value = str(number).encode()
    headers = [
        (b"keep-alive", b"timeout=" + value),
        (b"instance-load", b"1,1," + value),
    ]
    parsed = dialect.read_response_head(200, headers)
    assert parsed.idle_s is None and parsed.work is None


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
