"""End-to-end tests of a fleet of real processes on loopback addresses."""

import json
import pathlib
import signal
import threading
import time
import urllib.error
import urllib.request

import openai
import pytest
import yaml

from cactusmill import SettingsError, cli, load_settings
from standins.engine import answer_words
from standins.fleet import Fleet, copy_example

EXAMPLE = pathlib.Path(__file__).parent.parent / "examples" / "slovenia"
MODEL = "povzetek-7b"
# A response of this many tokens takes longer than a leaving host accepts callers.
LONG_RESPONSE_TOKENS = 260
pytestmark = pytest.mark.processes


@pytest.fixture(scope="module")
def fleet(tmp_path_factory):
    folder = tmp_path_factory.mktemp("fleet")
    copy_example(EXAMPLE, folder)
    fleet = Fleet(folder, captures=True)
    try:
        fleet.start()
        yield fleet
    finally:
        fleet.kill_all()


def test_fleets_that_start_at_once_get_different_ports(tmp_path):
    """Guards against two test runs whose processes take each other's ports."""
    copies = [tmp_path / name for name in ("first", "second")]
    for copy in copies:
        copy_example(EXAMPLE, copy)
    first, second = (Fleet(copy).settings("osrednja-1") for copy in copies)
    assert first["callers"] != second["callers"]


def base_url(fleet, host):
    return f"http://{fleet.settings(host)['callers']}"


def client(fleet, host, team="ljubljana"):
    return openai.OpenAI(
        base_url=base_url(fleet, host) + "/v1",
        api_key=f"example-key-of-{team}",
        max_retries=5,
        timeout=20,
    )


def messages(text):
    return [{"role": "user", "content": text}]


def expected_text(text, count):
    return "".join(answer_words(json.dumps(messages(text)), count))


def send(fleet, host, path, body=None, team="ljubljana", headers=()):
    request = urllib.request.Request(base_url(fleet, host) + path, data=body)
    if team:
        request.add_header("Authorization", f"Bearer example-key-of-{team}")
    for name, value in headers:
        request.add_header(name, value)
    try:
        with urllib.request.urlopen(request, timeout=20) as response:
            return response.status, response.read()
    except urllib.error.HTTPError as exc:
        return exc.code, exc.read()


@pytest.mark.parametrize("host", ["osrednja-1", "primorska-2"])
def test_client_library_receives_complete_and_streamed_responses(fleet, host):
    chat = client(fleet, host).chat.completions
    complete = chat.create(
        model=MODEL, max_tokens=8, messages=messages(f"whole {host}")
    )
    assert complete.choices[0].message.content == expected_text(f"whole {host}", 8)
    stream = chat.create(
        model=MODEL, max_tokens=8, messages=messages(f"stream {host}"), stream=True
    )
    deltas = [c.choices[0].delta.content or "" for c in stream if c.choices]
    assert "".join(deltas) == expected_text(f"stream {host}", 8)


def test_identifier_runs_once_through_any_host(fleet):
    _, body = send(fleet, "osrednja-1", "/v1/hosts?identifiers=1")
    headers = [("Idempotency-Key", json.loads(body)["identifiers"][0])]
    responses = [
        send(fleet, host, "/enrolments", b"seat 7", headers=headers)
        for host in ("osrednja-1", "stajerska-2", "primorska-1")
    ]
    assert {status for status, _ in responses} == {200}
    assert len({body for _, body in responses}) == 1


def test_refusals_are_typed(fleet):
    status, body = send(fleet, "osrednja-1", "/enrolments", b"seat 7")
    problem = json.loads(body)
    assert (status, problem["outcome"]) == (428, "not_run")
    assert problem["identifier"].startswith("cm1~osrednja-1~")
    assert send(fleet, "osrednja-1", "/nowhere")[0] == 404
    assert send(fleet, "osrednja-1", "/v1/chat/completions", b"{}", team="")[0] == 401
    status, body = send(
        fleet, "osrednja-1", "/v1/chat/completions", b"{}", team="celje"
    )
    assert status == 421
    assert json.loads(body)["hosts"]


def test_no_key_reaches_an_endpoint_or_a_log(fleet):
    secret = "example-key-of-ljubljana"
    body = json.dumps(
        {"model": MODEL, "messages": messages("a secret"), "user": secret}
    )
    assert send(fleet, "osrednja-1", "/v1/chat/completions", body.encode())[0] == 400
    path = f"/v1/chat/completions?key={secret}"
    assert send(fleet, "osrednja-1", path, b"{}")[0] == 400
    client(fleet, "stajerska-1").chat.completions.create(
        model=MODEL,
        max_tokens=2,
        messages=messages("kept"),
        extra_headers={"api-key": secret},
    )
    captures = list(fleet.folder.glob("*.capture"))
    logs = list(fleet.folder.glob("*.log"))
    assert any(b"kept" in path.read_bytes() for path in captures)
    for path in captures + logs:
        assert b"example-key-of-" not in path.read_bytes()


def test_sigterm_under_load_interrupts_no_response(fleet):
    host = "stajerska-2"
    results, stop = [], threading.Event()

    def work(number):
        # Each request uses the hosts that the directory lists at that time.
        while not stop.is_set():
            text = f"load {number} {len(results)}"
            asked_at = time.monotonic()
            _, body = send(fleet, "osrednja-1", "/v1/hosts")
            names = [h["name"] for h in json.loads(body)["hosts"]]
            target = host if host in names else "stajerska-1"
            latest[number] = {
                "target": target,
                "asked at": asked_at,
                "answered at": time.monotonic(),
            }
            response = client(fleet, target).chat.completions.create(
                model=MODEL, max_tokens=LONG_RESPONSE_TOKENS, messages=messages(text)
            )
            content = response.choices[0].message.content
            is_whole = content == expected_text(text, LONG_RESPONSE_TOKENS)
            results.append(is_whole)
            if not is_whole:
                explain(number, f"received {content!r} for {text!r}")

    failures, latest = [], {}

    def explain(number, problem):
        # Printed by pytest if the test fails.
        print(f"worker {number} at {time.monotonic():.3f}: {problem}")
        print(f"  its latest request: {latest.get(number)}")

    def run_worker(number):
        try:
            work(number)
        except Exception as exc:
            failures.append(exc)
            causes = [exc]
            while causes[-1].__cause__ or causes[-1].__context__:
                causes.append(causes[-1].__cause__ or causes[-1].__context__)
            explain(number, " <- ".join(repr(cause) for cause in causes))

    workers = [threading.Thread(target=run_worker, args=(n,)) for n in range(3)]
    for worker in workers:
        worker.start()
    time.sleep(2)
    print(f"SIGTERM at {time.monotonic():.3f}")
    fleet.signal(host, signal.SIGTERM)
    code = fleet.processes.pop(host).wait(30)
    print(f"exit with {code} at {time.monotonic():.3f}")
    stop.set()
    for worker in workers:
        worker.join()
    print(f"whole responses: {results.count(True)} of {len(results)}")
    assert (code, failures) == (0, [])
    assert all(results) and len(results) >= 3


def run_tool(capsys, *args):
    code = cli.main(list(args))
    captured = capsys.readouterr()
    return code, captured.out, captured.err


def test_operators_tool_reports_and_its_exit_code_matches(fleet, capsys):
    operators = fleet.settings("osrednja-1")["operators"]
    chat = client(fleet, "osrednja-1").chat.completions
    chat.create(model=MODEL, max_tokens=2, messages=messages("counted"))
    code, out, _ = run_tool(capsys, "status", "--host", operators, "--json")
    status = json.loads(out)
    assert {h["records_version"] for h in status["hosts"]} == {
        status["hosts"][0]["records_version"]
    }
    assert code == (1 if status["lost"] else 0)
    code, out, _ = run_tool(capsys, "burn", "--host", operators, "--json")
    rows = json.loads(out)["rows"]
    burning = any(min(r["short_rate"], r["long_rate"]) > 14.4 for r in rows)
    assert {"ljubljana"} <= {r["team"] for r in rows}
    assert code == (1 if burning else 0)
    assert run_tool(capsys, "burn", "--host", operators, "--max-rate", "1e9")[0] == 0
    where = ("--team", "koper", "--path", "/v1/chat/completions", "--model", MODEL)
    code, out, _ = run_tool(capsys, "explain", "--host", operators, *where)
    assert code == 0
    assert "region not permitted" in out
    assert run_tool(capsys, "status", "--host", "127.0.0.1:9")[0] == 3


def test_check_reports_field_and_fix(tmp_path, capsys):
    records = tmp_path / "records.yaml"
    records.write_text("- {kind: zone, name: a, body: {region: r, slots: many}}\n")
    settings = tmp_path / "host.yaml"
    text = (EXAMPLE / "hosts" / "osrednja-1.yaml").read_text()
    settings.write_text(text + "heartbeat_ms: 5\n")
    code, _, err = run_tool(
        capsys, "check", "--settings", str(settings), "--records", str(records)
    )
    assert code == 1
    assert "heartbeat_ms: unknown field; use one of:" in err
    assert "record 0: zone/a: slots: 'many' must be a number" in err


@pytest.mark.parametrize(
    ("line", "message"),
    [
        ("drain_s: 3s", "'3s' must be a plain number of seconds, without a unit"),
        ("operators: 127.0.0.1:7101", "is also used by callers"),
        ("callers: localhost:7101", "'localhost' is no IP number"),
        ("link_secret: short", "must have at least 16 characters"),
        ("peer_timeout_s: 0.5", "is less than two heartbeats"),
    ],
)
def test_settings_errors_contain_the_value(tmp_path, line, message):
    settings = yaml.safe_load((EXAMPLE / "hosts" / "osrednja-1.yaml").read_text())
    settings.update(yaml.safe_load(line))
    path = tmp_path / "host.yaml"
    path.write_text(yaml.safe_dump(settings))
    with pytest.raises(SettingsError, match=message):
        load_settings(path)
