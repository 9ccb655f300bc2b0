"""The daemon as a separate process, with a store on loopback."""

import contextlib
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

from .test_settings import SETTINGS

pytestmark = pytest.mark.processes
IP = "127.0.2.1"


def serve_store():
    """Serve a fixed listing; watches return no events."""
    store = Store()
    store.put("op/config", configuration())

    class Handler(BaseHTTPRequestHandler):
        protocol_version = "HTTP/1.1"

        def do_GET(self):
            page = {"items": list(store.items.values()), "has_more": False}
            if "kv-watch" in self.path:
                threading.Event().wait(1.0)
                page = {"events": []}
            page["store_revision"] = store.revision
            body = json.dumps(page).encode()
            self.send_response(200)
            self.send_header("content-length", str(len(body)))
            self.end_headers()
            self.wfile.write(body)

        def log_message(self, *args):
            pass

    server = ThreadingHTTPServer(("127.0.0.1", 0), Handler)
    threading.Thread(target=server.serve_forever, daemon=True).start()
    return server


@contextlib.contextmanager
def run_daemon(tmp_path, has_settings=True):
    """Run a daemon; yield its process, its addresses, its file and valid content."""
    server, port = serve_store(), next_port()
    listen = {
        name: f"{IP}:{port + offset}"
        for offset, name in enumerate(
            ("front", "ready_address", "control", "directory")
        )
    }
    settings = tmp_path / "local.json"
    text = json.dumps(
        {
            **SETTINGS,
            "ip": IP,
            "listen": listen,
            "seeds": [],
            "platform": {"address": f"127.0.0.1:{server.server_port}"},
        }
    )
    if has_settings:
        settings.write_text(text)
    process = subprocess.Popen(
        [sys.executable, "-m", "cactusmill.platform.daemon"],
        env={**os.environ, "CACTUSMILL_CONFIG": str(settings)},
        stdout=subprocess.PIPE,
        stderr=subprocess.PIPE,
        text=True,
    )
    try:
        yield process, listen, settings, text
    finally:
        if process.poll() is None:
            process.kill()
        process.communicate()
        server.shutdown()


@pytest.fixture
def daemon(tmp_path):
    with run_daemon(tmp_path) as (process, listen, settings, _):
        yield process, listen, settings


def wait_for_event(process, event):
    """Return the next log line of an event."""
    for text in process.stdout:
        line = json.loads(text)
        if line["event"] == event:
            return line
    raise AssertionError(f"the process ended without {event}")


def get(address, path):
    with urllib.request.urlopen(f"http://{address}{path}", timeout=5) as response:
        return response.status, response.read()


def test_daemon_starts_serves_reloads_and_stops(daemon):
    process, listen, settings = daemon
    assert wait_for_event(process, "configuration_in_force")["version"] == 1
    assert get(listen["ready_address"], "/cactusmill/ready")[0] == 200
    _, body = get(
        listen["directory"], "/cactusmill/resolve?name=api.example&region=east"
    )
    assert json.loads(body)["addresses"] == [listen["front"]]
    page = get(f"{IP}:7610", "/metrics")[1]
    assert b"cactusmill_state" in page and b"cactusmill_events" in page
    data = json.loads(settings.read_text())
    settings.write_text(json.dumps({**data, "seeds": ["127.0.2.9:1"]}))
    assert wait_for_event(process, "reload")["seeds"] == ["127.0.2.9"]
    settings.write_text("{")
    process.send_signal(signal.SIGHUP)
    assert "JSON" in wait_for_event(process, "settings_rejected")["reason"]
    process.send_signal(signal.SIGTERM)
    assert wait_for_event(process, "stop")["open"] == 0
    assert process.wait(10) == 0


def test_missing_settings_file_is_waited_for_with_a_reason(tmp_path):
    """Guards against a host that ends because its settings are not written yet."""
    with run_daemon(tmp_path, has_settings=False) as (process, _, settings, text):
        line = wait_for_event(process, "settings_rejected")
        assert "cannot be read" in line["reason"] and not line["is_started"]
        settings.write_text(text[:100])
        line = wait_for_event(process, "settings_rejected")
        assert "is not JSON" in line["reason"] and not line["is_started"]
        settings.write_text(text)
        assert wait_for_event(process, "configuration_in_force")["version"] == 1
        process.send_signal(signal.SIGTERM)
        assert wait_for_event(process, "stop")["open"] == 0
        assert process.wait(10) == 0
