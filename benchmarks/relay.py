"""Cost of relaying through a host, compared with a direct call.

    python benchmarks/relay.py

Measures added latency, CPU time and memory. Starts one host, a minimal engine
and the platform stand-ins as processes on loopback, and stops them at the end.
Compare only figures of one run.
"""

import argparse
import json
import os
import pathlib
import subprocess
import sys
import tempfile
import time

import trio
import yaml

ROOT = pathlib.Path(__file__).resolve().parent.parent
sys.path.insert(0, str(ROOT))

from standins.fleet import Fleet, copy_example  # noqa: E402

SETTLE_S = 1.0
KEY = "example-key-of-ljubljana"
MODEL = "povzetek-7b"
EVENT = b'data: {"choices":[{"delta":{"content":"w"}}]}\n\n'
CHUNK = b"%x\r\n%s\r\n" % (len(EVENT), EVENT)
LAST_CHUNKS = b"e\r\ndata: [DONE]\n\n\r\n0\r\n\r\n"
RESPONSE_HEAD = (
    b"HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\n"
    b"transfer-encoding: chunked\r\n\r\n"
)
PLAIN_RESPONSE = b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\n{}"


async def serve_engine(stream):
    """Answer the requests of one connection with as little work as possible."""
    buffer = b""
    while True:
        while b"\r\n\r\n" not in buffer:
            data = await stream.receive_some()
            if not data:
                return
            buffer += data
        head, _, buffer = buffer.partition(b"\r\n\r\n")
        length = int(head.lower().partition(b"content-length: ")[2].split(b"\r\n")[0])
        while len(buffer) < length:
            buffer += await stream.receive_some()
        body, buffer = json.loads(buffer[:length]), buffer[length:]
        if not body.get("stream"):
            await stream.send_all(PLAIN_RESPONSE)
            continue
        await stream.send_all(RESPONSE_HEAD)
        for _ in range(body["max_tokens"]):
            await trio.sleep(body["gap_s"])
            await stream.send_all(CHUNK)
        await stream.send_all(LAST_CHUNKS)


def request_bytes(stream=False, max_tokens=1, gap_s=0.0):
    """Return the bytes of one chat request."""
    body = json.dumps(
        {
            "model": MODEL,
            "stream": stream,
            "max_tokens": max_tokens,
            "gap_s": gap_s,
            "messages": [{"role": "user", "content": "measure"}],
        }
    ).encode()
    return (
        b"POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\n"
        b"Authorization: Bearer %s\r\nContent-Length: %d\r\n\r\n%s"
        % (KEY.encode(), len(body), body)
    )


async def connect(address):
    """Open a connection to ``"IP:PORT"``."""
    ip, _, port = address.rpartition(":")
    return await trio.open_tcp_stream(ip, int(port))


async def receive_until(stream, mark):
    """Receive until ``mark`` has come; return all bytes received."""
    received = b""
    while mark not in received:
        data = await stream.receive_some()
        if not data:
            raise RuntimeError(f"connection closed after {received[-300:]!r}")
        received += data
    return received


async def time_requests(address, mark, requests):
    """Send requests one after the other; return their sorted times in seconds."""
    stream = await connect(address)
    message, times = request_bytes(), []
    for _ in range(requests):
        start = time.perf_counter()
        await stream.send_all(message)
        response = await receive_until(stream, mark)
        times.append(time.perf_counter() - start)
        assert b" 200 " in response[:20], response
    await stream.aclose()
    return sorted(times)


async def run_streams(address, streams, events, gap_s, sample):
    """Run concurrent streams; return two samples and the events between them.

    The first sample is taken when all streams run, the second shortly before
    the first stream ends, so that setup and teardown are not measured.
    """
    received = 0
    samples = []

    async def run_stream():
        nonlocal received
        stream = await connect(address)
        await stream.send_all(request_bytes(True, events, gap_s))
        tail = b""
        while b"[DONE]" not in tail:
            data = await stream.receive_some()
            received += data.count(b'"delta"')
            tail = tail[-20:] + data
        await stream.aclose()

    async def sample_twice():
        for wait_s in (SETTLE_S, events * gap_s - 2 * SETTLE_S):
            await trio.sleep(wait_s)
            samples.append((sample(), received))

    async with trio.open_nursery() as nursery:
        for _ in range(streams):
            nursery.start_soon(run_stream)
            await trio.sleep(0.002)
        nursery.start_soon(sample_twice)
    (first, before), (second, after) = samples
    return first, second, after - before


def cpu_s(pid):
    """Return the CPU time of a process, in seconds."""
    fields = pathlib.Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


def resident_bytes(pid):
    """Return the resident size of a process, in bytes."""
    fields = pathlib.Path(f"/proc/{pid}/statm").read_text().split()
    return int(fields[1]) * os.sysconf("SC_PAGE_SIZE")


def prepare(folder):
    """Write a deployment of one host and one engine, without effective limits."""
    copy_example(ROOT / "examples" / "slovenia", folder)
    entries = yaml.safe_load((folder / "platform-hosts.yaml").read_text())
    kept = [e for e in entries if e["name"] in ("osrednja-1", "engine-osrednja-1")]
    for entry in kept:
        if entry["kind"] == "endpoint":
            entry["body"]["capacity"] = 10_000
    (folder / "platform-hosts.yaml").write_text(yaml.safe_dump(kept))
    records = yaml.safe_load((folder / "records.yaml").read_text())
    kept = [r for r in records if r["kind"] != "zone" or r["name"] == "osrednja-a"]
    for record in kept:
        if record["kind"] == "team" and record["name"] == "ljubljana":
            record["body"].update(rate_tokens_per_s=1e9, burst_tokens=1e9)
    (folder / "records.yaml").write_text(yaml.safe_dump(kept))


async def measure(fleet, args):
    """Return all figures by name."""
    pid = fleet.processes["osrednja-1"].pid
    host = fleet.settings("osrednja-1")["callers"]
    engine = fleet.endpoints["engine-osrednja-1"]["body"]["address"]
    figures = {"resident size idle, MB": resident_bytes(pid) / 1e6}
    await time_requests(host, b"\r\n0\r\n\r\n", 200)
    direct = await time_requests(engine, b"{}", args.requests)
    before = cpu_s(pid)
    relayed = await time_requests(host, b"\r\n0\r\n\r\n", args.requests)
    cpu_s_per_request = (cpu_s(pid) - before) / args.requests
    for name, fraction in (("p50", 0.5), ("p99", 0.99)):
        index = int(fraction * args.requests)
        figures[f"time direct {name}, ms"] = direct[index] * 1e3
        figures[f"time added {name}, ms"] = (relayed[index] - direct[index]) * 1e3
    figures["requests/s per core"] = 1 / cpu_s_per_request
    idle_bytes = resident_bytes(pid)
    loaded_bytes, _, _ = await run_streams(
        host, args.streams, 20, 0.25, lambda: resident_bytes(pid)
    )
    figures["memory per open stream, KB"] = (
        (loaded_bytes - idle_bytes) / args.streams / 1e3
    )
    for streams, gap_s in ((20, 0.005), (args.streams, 0.05), (args.streams, 0.02)):
        first, second, events = await run_streams(
            host, streams, int(6 / gap_s), gap_s, lambda: cpu_s(pid)
        )
        name = f"CPU per event, {streams} streams at {1 / gap_s:.0f}/s, us"
        figures[name] = (second - first) / events * 1e6
    return figures


def main():
    """Run the benchmark and print its figures."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--requests", type=int, default=2000)
    parser.add_argument("--streams", type=int, default=300)
    parser.add_argument("--engine", help=argparse.SUPPRESS)
    args = parser.parse_args()
    if args.engine:
        ip, _, port = args.engine.rpartition(":")
        trio.run(lambda: trio.serve_tcp(serve_engine, int(port), host=ip))
        return
    with tempfile.TemporaryDirectory() as name:
        folder = pathlib.Path(name)
        prepare(folder)
        fleet = Fleet(folder)
        address = fleet.endpoints["engine-osrednja-1"]["body"]["address"]
        engine = subprocess.Popen([sys.executable, __file__, "--engine", address])
        try:
            fleet.start(endpoints=False)
            time.sleep(1)
            figures = trio.run(measure, fleet, args)
        finally:
            engine.kill()
            engine.wait()
            fleet.kill_all()
    for name, value in figures.items():
        print(f"{name:44} {value:10.2f}")


if __name__ == "__main__":
    main()
