"""The program as a process of its own, against a store on loopback."""

import json
import os
import signal
import subprocess
import sys
import threading
import urllib.request
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer

import pytest

from standins.loopback import Store, configuration, next_port

from .test_settings import FILE

pytestmark = pytest.mark.processes
IP = "127.0.2.1"


def serve_store():
    """Serve a listing for ever; watches bring nothing."""
    store = Store()
    store.put("op/config", configuration())

    class Handler(BaseHTTPRequestHandler):
        protocol_version = "HTTP/1.1"

        def do_GET(self):
            members = {"items": list(store.items.values()), "has_more": False}
            if "kv-watch" in self.path:
                threading.Event().wait(1.0)
                members = {"events": []}
            members["store_revision"] = store.revision
            body = json.dumps(members).encode()
            self.send_response(200)
            self.send_header("content-length", str(len(body)))
            self.end_headers()
            self.wfile.write(body)

        def log_message(self, *args):
            pass

    server = ThreadingHTTPServer(("127.0.0.1", 0), Handler)
    threading.Thread(target=server.serve_forever, daemon=True).start()
    return server


@pytest.fixture
def process(tmp_path):
    server, port = serve_store(), next_port()
    listen = {
        name: f"{IP}:{port + at}"
        for at, name in enumerate(("front", "ready_address", "control", "directory"))
    }
    settings = tmp_path / "local.json"
    settings.write_text(
        json.dumps(
            {
                **FILE,
                "ip": IP,
                "listen": listen,
                "seeds": [],
                "platform": {"address": f"127.0.0.1:{server.server_port}"},
            }
        )
    )
    process = subprocess.Popen(
        [sys.executable, "-m", "cactusmill.platform.daemon"],
        env={**os.environ, "CACTUSMILL_CONFIG": str(settings)},
        stdout=subprocess.PIPE,
        stderr=subprocess.PIPE,
        text=True,
    )
    try:
        yield process, listen, settings
    finally:
        if process.poll() is None:
            process.kill()
        process.communicate()
        server.shutdown()


def wait_for(process, event):
    """Read log lines up to an event."""
    for text in process.stdout:
        line = json.loads(text)
        if line["event"] == event:
            return line
    raise AssertionError(f"the process ended without {event}")


def get(address, path):
    with urllib.request.urlopen(f"http://{address}{path}", timeout=5) as answer:
        return answer.status, answer.read()


def test_process_starts_answers_reloads_and_leaves(process):
    process, listen, settings = process
    assert wait_for(process, "configuration_in_force")["version"] == 1
    assert get(listen["ready_address"], "/cactusmill/ready")[0] == 200
    _, body = get(
        listen["directory"], "/cactusmill/resolve?name=api.example&region=east"
    )
    assert json.loads(body)["addresses"] == [listen["front"]]
    page = get(f"{IP}:7610", "/metrics")[1]
    assert b"cactusmill_state" in page and b"cactusmill_events" in page
    data = json.loads(settings.read_text())
    settings.write_text(json.dumps({**data, "seeds": ["127.0.2.9:1"]}))
    assert wait_for(process, "reload")["seeds"] == ["127.0.2.9"]
    settings.write_text("{")
    process.send_signal(signal.SIGHUP)
    assert "JSON" in wait_for(process, "settings_rejected")["reason"]
    process.send_signal(signal.SIGTERM)
    assert wait_for(process, "stop")["open"] == 0
    assert process.wait(10) == 0


def test_missing_settings_end_the_process_with_a_reason(tmp_path):
    done = subprocess.run(
        [sys.executable, "-m", "cactusmill.platform.daemon", "--settings", "/none"],
        capture_output=True,
        text=True,
        timeout=20,
        check=False,
    )
    assert done.returncode == 2 and "cannot be read" in done.stdout
