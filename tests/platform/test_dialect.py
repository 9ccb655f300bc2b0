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


def read_load(*values):
    headers = [(b"instance-load", value) for value in values]
    parsed = dialect.read_response_head(200, headers)
    return parsed.work, parsed.pace, parsed.is_load_malformed


@pytest.mark.parametrize(
    ("value", "work", "pace"),
    [
        (b"3,1,8", (3, 1, 8), None),
        (b"3,1,8,100", (3, 1, 8), 1.0),
        (b" 3, 1 ,8 , 250 ", (3, 1, 8), 2.5),
        (b"3,1,8,0", (3, 1, 8), 0.0),
        (b"3,1,8,1000000", (3, 1, 8), 10_000.0),
        (b"3,1,8,90,7", (3, 1, 8), 0.9),
        (b"3,1,8,90,later,-x,", (3, 1, 8), 0.9),
    ],
)
def test_load_and_pace_are_parsed(value, work, pace):
    assert read_load(value) == (work, pace, False)


def test_missing_load_is_not_malformed():
    assert read_load() == (None, None, False)


@pytest.mark.parametrize(
    "value",
    [
        *(b"", b"3", b"3,1", b"3,,8", b"3,1,8,", b"3,1,8,,7", b",,,"),
        *(b"3,1,8,x", b"3,1,8,-1", b"3,1,8,1.5", b"3,1,8,1e2", b"-3,1,8,100"),
        *(b"3,1,8,1000001", b"3,1,8," + b"9" * 5000, b"3;1;8;100", "3,1,8,²".encode()),
    ],
)
def test_malformed_load_costs_the_report_only(value):
    assert read_load(value) == (None, None, True)
    parsed = dialect.read_response_head(
        200,
        [
            (b"request-id", b"r"),
            (b"keep-alive", b"timeout=5"),
            (b"instance-load", value),
        ],
    )
    assert parsed.request_id == "r" and parsed.idle_s == 5


@given(st.lists(st.integers() | st.text("0123456789-+., x", max_size=9), max_size=6))
def test_any_load_is_read_or_counted_as_malformed(items):
    value = ",".join(map(str, items)).encode()
    work, pace, is_malformed = read_load(value)
    assert is_malformed == (work is None)
    assert work is None or len(work) == 3 and min(work) >= 0
    assert pace is None or work is not None and 0.0 <= pace <= 10_000.0


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
