"""``cactusmill story`` finds the cause of a request's outcome in the logs."""

import json

import pytest

from cactusmill import cli
from cactusmill.internal.commands.story import find_request_lines, parse_lines


def log_line(event, second, ms=0, **fields):
    time = f"2026-05-15T08:07:{second:02}"
    return json.dumps({"time": time, "ms": ms, "event": event, **fields})


RATE_EXCEEDED_LINES = [
    ("e1", log_line("configuration_in_force", 3, version=7)),
    (
        "e1",
        log_line(
            "request",
            4,
            200,
            request_id="a",
            outcome="RateExceeded",
            status=429,
            team="red",
            version=7,
            took_s=0.001,
        ),
    ),
    ("e1", log_line("request", 4, 300, request_id="b", outcome="answered", took_s=0.2)),
]
TRUNCATED_LINES = [
    ("e1", log_line("endpoint_removed", 11, 900, endpoint="engine-1", revision=9)),
    (
        "e1",
        log_line(
            "endpoint_broke_off",
            12,
            100,
            request_id="c",
            endpoint="engine-1",
            reason="TruncatedAnswerError('...')",
        ),
    ),
    (
        "e1",
        log_line(
            "request",
            12,
            101,
            request_id="c",
            outcome="AnswerCutError",
            endpoint="engine-1",
            sends=1,
            took_s=2.5,
        ),
    ),
    ("e2", log_line("endpoint_removed", 11, 900, endpoint="engine-1", revision=9)),
]
FORWARDED_LATE_LINES = [
    ("e1", log_line("forward_refused", 20, 300, request_id="d", host="w1", wait_s=0.1)),
    ("w1", log_line("forwarded_request", 21, 0, request_id="d", endpoint="engine-w")),
    (
        "e1",
        log_line(
            "request",
            21,
            100,
            request_id="d",
            outcome="answered",
            first_s=0.95,
            predicted_s=0.3,
            endpoint="w1",
            took_s=1.2,
        ),
    ),
]


@pytest.mark.parametrize(
    ("lines", "request_id", "events", "context_events"),
    [
        (RATE_EXCEEDED_LINES, "a", ["request"], ["configuration_in_force"]),
        (TRUNCATED_LINES, "c", ["endpoint_broke_off", "request"], ["endpoint_removed"]),
        (
            FORWARDED_LATE_LINES,
            "d",
            ["forward_refused", "forwarded_request", "request"],
            [],
        ),
    ],
)
def test_output_includes_cause(lines, request_id, events, context_events):
    own, context = find_request_lines(parse_lines(lines), request_id)
    assert [entry["event"] for entry in own] == events
    assert [entry["event"] for entry in context] == context_events


def test_command_merges_logs_of_several_hosts(tmp_path, capsys):
    for host in ("e1", "w1"):
        text = "\n".join(t for source, t in FORWARDED_LATE_LINES if source == host)
        (tmp_path / host).write_text("not json\n" + text + "\n")
    files = [str(tmp_path / host) for host in ("e1", "w1")]
    assert cli.main(["story", "--request", "d", *files]) == 0
    printed = capsys.readouterr().out.splitlines()
    assert [text.split()[2] for text in printed] == [
        "forward_refused:",
        "forwarded_request:",
        "request:",
    ]
    assert cli.main(["story", "--request", "none", *files]) == 1
