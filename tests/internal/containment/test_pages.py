"""What operators see of what is held back, and their release of it."""

import contextlib
import functools
import json
import threading
import types
from http.server import BaseHTTPRequestHandler, HTTPServer

import pytest

from cactusmill import cli
from cactusmill.internal.containment.containment import CrashContainment
from cactusmill.internal.containment.culprits import to_text
from cactusmill.internal.containment.suspicion import Candidate
from cactusmill.internal.operators import render_containment

BAD = 1


def host_that_holds(crashes=3):
    containment = CrashContainment()
    for number in range(crashes):
        candidates = [Candidate(100 + number, (BAD,)), Candidate(200 + number)]
        containment.merge_crash(number, 10.0 + number, candidates, set(), 10.0 + number)
    return types.SimpleNamespace(containment=containment, now=lambda: 20.0)


def page(host, method, path, **args):
    reply = render_containment(host, method, path, args)
    return reply.status, json.loads(reply.body) if reply.status == 200 else None


def test_held_part_is_shown_with_its_evidence():
    status, body = page(host_that_holds(), b"GET", "/v1/held")
    (row,) = body["held"]
    assert status == 200 and row["digest"] == to_text(BAD) and not row["is_request"]
    assert row["crashes"] == 3 and row["last_crash_s"] == 8.0
    assert row["next_trial_s"] > 0 and row["held_s"] == 8.0
    requests = [crash["requests"] for crash in row["evidence"]]
    assert requests == [[to_text(100 + n)] for n in range(3)]


def test_operator_releases_by_post_only_and_evidence_before_counts_no_more():
    host = host_that_holds()
    assert page(host, b"GET", "/v1/release", digest=to_text(BAD))[0] == 405
    assert BAD in host.containment.convictions.held
    released = page(host, b"POST", "/v1/release", digest=to_text(BAD))
    assert released == (200, {"released": True})
    host.containment.review(30.0)
    assert not host.containment.convictions.held
    again = page(host, b"POST", "/v1/release", digest=to_text(BAD))
    assert again == (200, {"released": False})


def test_wrong_digest_is_named():
    _, body = page(host_that_holds(), b"POST", "/v1/release", digest="xyz")
    assert not body["released"] and "'xyz'" in body["fault"]


def test_other_pages_are_left_to_the_host():
    assert render_containment(host_that_holds(), b"GET", "/metrics", {}) is None


class _Handler(BaseHTTPRequestHandler):
    def __init__(self, host, *args):
        self.host = host
        super().__init__(*args)

    def do_GET(self):
        path, _, query = self.path.partition("?")
        args = dict(pair.split("=") for pair in query.split("&") if pair)
        reply = render_containment(self.host, self.command.encode(), path, args)
        self.send_response(reply.status)
        self.end_headers()
        self.wfile.write(reply.body)

    do_POST = do_GET

    def log_message(self, *args):
        pass


@contextlib.contextmanager
def served(host):
    server = HTTPServer(("127.0.0.1", 0), functools.partial(_Handler, host))
    thread = threading.Thread(target=server.serve_forever)
    thread.start()
    try:
        yield f"127.0.0.1:{server.server_port}"
    finally:
        server.shutdown()
        thread.join()
        server.server_close()


def test_commands_show_and_release(capsys):
    with served(host_that_holds()) as address:
        assert cli.main(["held", "--host", address]) == 0
        assert to_text(BAD) in capsys.readouterr().out
        digest = ["--digest", to_text(BAD)]
        assert cli.main(["release", "--host", address, *digest]) == 0
        assert cli.main(["release", "--host", address, *digest]) == 1
        assert "is not held back" in capsys.readouterr().err
        assert cli.main(["held", "--host", address, "--json"]) == 0
        assert json.loads(capsys.readouterr().out) == []


@pytest.mark.parametrize("command", [["held"], ["release", "--digest", "0" * 16]])
def test_commands_report_a_host_that_does_not_answer(command):
    assert cli.main([*command, "--host", "127.0.0.1:1"]) == 3
