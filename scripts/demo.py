"""Demonstrate the example fleet on loopback.

Streams a response, sends one order twice, prints the status, and shuts down.
"""

import json
import pathlib
import subprocess
import sys
import tempfile
import time
import urllib.error
import urllib.request

ROOT = pathlib.Path(__file__).resolve().parent.parent
sys.path.insert(0, str(ROOT))

from standins.fleet import Fleet, copy_example  # noqa: E402

KEY = "example-key-of-maribor"
MAX_RETRIES = 5


def send_request(url, method="GET", body=None, headers=()):
    """Send one request with the example's key; retry when rate-limited.

    A host that has just started has no tokens in its buckets yet and refuses
    with a ``Retry-After`` header.
    """
    request = urllib.request.Request(url, method=method, data=body)
    for name, value in [("Authorization", f"Bearer {KEY}"), *headers]:
        request.add_header(name, value)
    for _ in range(MAX_RETRIES):
        try:
            return urllib.request.urlopen(request, timeout=10)
        except urllib.error.HTTPError as exc:
            if exc.code != 429:
                raise
            time.sleep(float(exc.headers["Retry-After"]))
    return urllib.request.urlopen(request, timeout=10)


def stream_chat(base_url):
    """Print a streamed response as it arrives."""
    body = {
        "model": "povzetek-7b",
        "stream": True,
        "max_tokens": 12,
        "messages": [{"role": "user", "content": "Propose a chapter schedule."}],
    }
    headers = [("Content-Type", "application/json")]
    with send_request(
        f"{base_url}/v1/chat/completions", "POST", json.dumps(body).encode(), headers
    ) as response:
        for line in response:
            if line.startswith(b"data: {"):
                for choice in json.loads(line[6:])["choices"]:
                    print(choice["delta"].get("content", ""), end="", flush=True)
    print()


def main():
    """Run the demonstration."""
    with tempfile.TemporaryDirectory() as name:
        folder = pathlib.Path(name)
        copy_example(ROOT / "examples" / "slovenia", folder)
        fleet = Fleet(folder)
        try:
            print("starting 3 regions, 6 hosts, 9 endpoints ...")
            fleet.start()
            first_url = f"http://{fleet.settings(fleet.hosts[0])['callers']}"
            with send_request(f"{first_url}/v1/hosts?identifiers=1") as response:
                directory = json.load(response)
            base_url = directory["hosts"][0]["url"]
            print("use host:", directory["hosts"][0]["name"])
            print("streamed answer: ", end="")
            stream_chat(base_url)
            identifier = directory["identifiers"][0]
            headers = [("Idempotency-Key", identifier)]
            for attempt in ("order", "the same order, sent again"):
                with send_request(
                    f"{base_url}/enrolments", "POST", b"seat 12", headers
                ) as response:
                    print(f"{attempt}:", response.read().decode())
            operators = fleet.settings(fleet.hosts[0])["operators"]
            subprocess.run(
                [sys.executable, "-m", "cactusmill.cli", "status", "--host", operators],
                check=True,
            )
            codes = fleet.stop()
            print("exit codes of the hosts:", codes)
            return max(codes.values())
        finally:
            fleet.kill_all()


if __name__ == "__main__":
    sys.exit(main())
