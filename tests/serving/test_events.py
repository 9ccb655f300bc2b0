"""Every log event is documented, and requests and state changes are logged."""

import json
import pathlib
import re

import pytest
import trio
from absl import logging

from standins.loopback import running_deployment

ROOT = pathlib.Path(__file__).parents[2]
EVENT = re.compile(r'log_event\(\s*"(\w+)"')


def test_each_log_event_is_documented():
    page = (ROOT / "docs" / "LOGS.md").read_text(encoding="utf-8")
    used_events = {
        event
        for path in (ROOT / "src" / "cactusmill").rglob("*.py")
        for event in EVENT.findall(path.read_text(encoding="utf-8"))
    }
    assert len(used_events) > 25
    assert not [event for event in sorted(used_events) if f"`{event}`" not in page]


@pytest.fixture
def log_lines(monkeypatch):
    collected = []

    def info(event, extra):
        collected.append({"event": event, **extra["fields"]})

    monkeypatch.setattr(logging, "info", info)
    return collected


def test_requests_and_state_changes_are_logged(log_lines):
    async def main():
        endpoints = (("desk-1", "east-a", "desk"),)
        async with running_deployment(endpoints=endpoints) as deployment:
            await deployment.send_request("e1", "/look/1", request_id="good")
            await deployment.send_request(
                "e1", "/look/1", request_id="bad", key="wrong"
            )
            deployment.store.put("op/evacuate/east-a", {})
            host = deployment.hosts["e1"]
            await deployment.wait_until(lambda: host.catalog.is_evacuated("east-a"))
            await deployment.send_request("e1", "/look/1", request_id="none")

    trio.run(main)
    events = {line["event"] for line in log_lines}
    assert {
        "start",
        "configuration_in_force",
        "endpoint_listed",
        "evacuation",
        "request",
    } <= events
    by_id = {x["request_id"]: x for x in log_lines if x["event"] == "request"}
    good, bad, unserved = by_id["good"], by_id["bad"], by_id["none"]
    assert good["outcome"] == "answered" and good["endpoint"] == "desk-1"
    assert good["version"] == 1 and good["predicted_s"] > 0
    assert bad["outcome"] == "UnknownKey" and bad["status"] == 401
    assert unserved["outcome"] == "NoEndpoint" and unserved["status"] == 503
    assert unserved["not_run"] and unserved["retry_after_s"] > 0
    assert "wrong" not in json.dumps(log_lines)
