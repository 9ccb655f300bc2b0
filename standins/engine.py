"""Stand-in for a model engine with continuous batching and a prefix cache.

Supports streamed responses and cancellation. The generated text is a function of
the prompt, so that a test can detect a response that belongs to another request.
"""

import collections
import hashlib
import json
import os
import random

import attrs
import h11
import trio

from cactusmill.errors import ExchangeError
from standins.http_server import (
    HTTPResponse,
    json_response,
    listen_parser,
    run_server,
    serve_requests,
)

CRASH_MARKER = "please crash the engine"
_CHARS_PER_TOKEN = 4
# Delay of a response with the fault "late".
_LATE_RESPONSE_S = 3.0


def answer_words(prompt, count):
    """Return the words that the engine generates for a prompt.

    The first word is a digest of the prompt.
    """
    digest = hashlib.sha256(prompt.encode()).hexdigest()[:12]
    return [digest, *(f" w{i}" for i in range(1, count))]


@attrs.define(eq=False)
class Engine:
    """A model engine.

    Attributes
    ----------
    batch : int
        Largest number of requests decoded together; others are queued.
    token_s : float
        Time between two tokens of a stream on an idle engine, in seconds.
    prefill_tokens_per_s : float
        Prefill speed of prompt tokens that are not cached.
    cache_prefixes, prefix_chars : int
        Number of prompt prefixes in the cache, and their length in characters.
    crash : callable
        Ends the engine; called when a prompt contains :data:`CRASH_MARKER`.
    max_events : int
        Largest number of events in a streamed response; each then has several words.
    report_lag_s : float
        Age of the load that the engine reports, in seconds.
    work_s : float
        Total time that requests have spent in the batch, in seconds.
    checks_fencing : bool
        Whether it rejects placement commands with an old fencing token.
    commands : list of (float, dict)
        Placement commands applied, each with its time in seconds.
    received_requests : int
        Number of inference requests received, including those it refused because
        it is leaving.
    next_fault : callable
        Called for each request; returns None or the fault to inject:
        "truncate", "silent" (never respond), "cross" (send an earlier request's
        response), "late", "unframed" (a complete stream without a length or chunks,
        which ends with its connection) or "torn" (the same, but the connection
        closes inside an event).
    is_leaving : bool
        Whether it refuses new requests, as during a shutdown.
    fence : int
        Highest fencing token of the commands applied.
    models, role : list of str, str
        Placement that the engine applied last.
    served, cancelled, cache_hits : int
        Number of completed requests, of requests that ended early, and of prompts
        with a cached prefix.
    in_system : int
        Number of requests that are queued or in the batch.
    """

    name: str = "engine"
    batch: int = 8
    token_s: float = 0.005
    prefill_tokens_per_s: float = 20_000.0
    cache_prefixes: int = 64
    prefix_chars: int = 256
    crash: object = lambda: os._exit(1)
    is_leaving: bool = False
    checks_fencing: bool = False
    fence: int = -1
    models: list = attrs.field(factory=list)
    role: str = "both"
    commands: list = attrs.field(factory=list)
    max_events: int = 1_000_000
    report_lag_s: float = 0.0
    work_s: float = 0.0
    next_fault: object = lambda: None
    received_requests: int = 0
    served: int = 0
    cancelled: int = 0
    cache_hits: int = 0
    in_system: int = 0
    _cache: collections.OrderedDict = attrs.field(factory=collections.OrderedDict)
    _loads: collections.deque = attrs.field(factory=collections.deque)
    _previous: tuple = ((), ())
    _slots: trio.CapacityLimiter = attrs.field(init=False)

    def __attrs_post_init__(self):
        """Create the batch slots."""
        self._slots = trio.CapacityLimiter(self.batch)

    def resize(self, batch):
        """Change the batch size."""
        self.batch = batch
        self._slots.total_tokens = batch

    def clear_cache(self):
        """Empty the prefix cache, as after a restart."""
        self._cache.clear()

    async def serve(self, stream):
        """Serve one connection."""
        await serve_requests(stream, self._handle_request)

    async def _handle_request(self, conn, head, body):
        if head.target == b"/stats":
            return json_response(
                {
                    "served": self.served,
                    "cancelled": self.cancelled,
                    "cache_hits": self.cache_hits,
                }
            )
        if head.target == b"/v1/state":
            return json_response({"models": self.models, "role": self.role})
        if head.target == b"/v1/orders":
            return self._apply_command(json.loads(body))
        if head.target == b"/control":
            self.is_leaving = json.loads(body)["is_leaving"]
            return json_response({})
        self.received_requests += 1
        if self.is_leaving:
            return HTTPResponse(503, b"{}", ((b"x-endpoint-leaving", b"1"),))
        request = json.loads(body)
        self._record_load(1)
        try:
            await self._run(conn, head, request)
            self.served += 1
        except BaseException:
            self.cancelled += 1
            raise
        finally:
            self._record_load(-1)
        return None

    def _apply_command(self, command):
        if self.checks_fencing and command["fence"] < self.fence:
            return json_response({"fence": self.fence}, status=409)
        self.fence = max(self.fence, command["fence"])
        self.models, self.role = command["models"], command["role"]
        self.commands.append((trio.current_time(), command))
        return json_response({})

    def _record_load(self, change):
        self.in_system += change
        self._loads.append((trio.current_time(), self.in_system))
        while len(self._loads) > 1 and self._loads[1][0] <= self._report_time():
            self._loads.popleft()

    def _report_time(self):
        return trio.current_time() - self.report_lag_s

    def _reported_load(self):
        while len(self._loads) > 1 and self._loads[1][0] <= self._report_time():
            self._loads.popleft()
        return self._loads[0][1]

    async def _run(self, conn, head, request):
        prompt = json.dumps(request["messages"])
        count = request.get("max_tokens") or 16
        async with self._slots:
            started_at = trio.current_time()
            try:
                await self._generate(conn, head, request, prompt, count)
            finally:
                self.work_s += trio.current_time() - started_at

    async def _generate(self, conn, head, request, prompt, count):
        await trio.sleep(self._prefill_s(request["model"], prompt))
        if CRASH_MARKER in prompt:
            self.crash()
            return
        words = answer_words(prompt, count)
        usage = {
            "prompt_tokens": len(prompt) // _CHARS_PER_TOKEN,
            "completion_tokens": count,
            "total_tokens": len(prompt) // _CHARS_PER_TOKEN + count,
        }
        headers = self._headers(head)
        fault = self.next_fault()
        if fault == "silent":
            await trio.sleep_forever()
        elif fault == "late":
            await trio.sleep(_LATE_RESPONSE_S)
        elif fault == "cross":
            # Send the response to an earlier, abandoned request.
            headers, words = list(self._previous[0]), self._previous[1]
        self._previous = self._headers(head), answer_words(prompt, count)
        if fault == "truncate":
            words = words[: count // 2]
        if fault in {"unframed", "torn"}:
            await self._send_unframed(conn, headers, request, words, fault == "torn")
        elif request.get("stream"):
            include = request.get("stream_options", {}).get("include_usage")
            await self._send_stream(
                conn, headers, request, words, usage if include else None
            )
        else:
            await trio.sleep(self._token_s() * count)
            await self._send_complete(conn, headers, request, words, usage)

    def _prefill_s(self, model, prompt):
        tokens = len(prompt) / _CHARS_PER_TOKEN
        prefix = (model, prompt[: self.prefix_chars])
        if prefix in self._cache:
            self.cache_hits += 1
            self._cache.move_to_end(prefix)
            tokens -= min(len(prompt), self.prefix_chars) / _CHARS_PER_TOKEN
        else:
            self._cache[prefix] = True
            while len(self._cache) > self.cache_prefixes:
                self._cache.popitem(last=False)
        return tokens / self.prefill_tokens_per_s

    def _token_s(self):
        return self.token_s * (1 + self._slots.borrowed_tokens / self.batch)

    def _headers(self, head):
        echoed = [(k, v) for k, v in head.headers if k == b"x-request-id"]
        return [*echoed, (b"x-endpoint-load", str(self._reported_load()).encode())]

    async def _send_complete(self, conn, headers, request, words, usage):
        text = json.dumps(
            {
                "id": "chatcmpl-0",
                "object": "chat.completion",
                "created": 0,
                "model": request["model"],
                "choices": [
                    {
                        "index": 0,
                        "message": {"role": "assistant", "content": "".join(words)},
                        "finish_reason": "stop",
                    }
                ],
                "usage": usage,
            }
        ).encode()
        headers.append((b"content-type", b"application/json"))
        headers.append((b"content-length", str(len(text)).encode()))
        response = h11.Response(status_code=200, headers=headers)
        if len(words) < usage["completion_tokens"]:
            await conn.send(response, h11.Data(data=text[: len(text) // 2]))
            raise ExchangeError("response truncated on purpose")
        await conn.send(response, h11.Data(data=text), h11.EndOfMessage())

    async def _send_stream(self, conn, headers, request, words, usage):
        headers.append((b"content-type", b"text/event-stream"))
        await conn.send(h11.Response(status_code=200, headers=headers))
        step = -(-len(words) // self.max_events)
        for start in range(0, len(words), step):
            chunk = words[start : start + step]
            if start:
                await trio.sleep(self._token_s() * len(chunk))
            await conn.send(
                h11.Data(data=_encode_event(request["model"], "".join(chunk)))
            )
        if len(words) < (request.get("max_tokens") or 0):
            raise ExchangeError("response truncated on purpose")
        if usage:
            await conn.send(h11.Data(data=_encode_event(request["model"], None, usage)))
        await conn.send(h11.Data(data=b"data: [DONE]\n\n"), h11.EndOfMessage())

    async def _send_unframed(self, conn, headers, request, words, is_torn):
        """Send a stream that ends with its connection; a torn one ends too early."""
        events = [_encode_event(request["model"], word) for word in words]
        body = b"".join([*events, b"data: [DONE]\n\n"])
        if is_torn:
            body = b"".join(events[: len(events) // 2]) + events[-1][:20]
        headers = [*headers, (b"content-type", b"text/event-stream")]
        lines = [b"HTTP/1.1 200 OK", *(b"%s: %s" % pair for pair in headers)]
        await conn.stream.send_all(b"\r\n".join(lines) + b"\r\n\r\n" + body)
        await conn.close()


def _encode_event(model, word, usage=None):
    chunk = {
        "id": "chatcmpl-0",
        "object": "chat.completion.chunk",
        "created": 0,
        "model": model,
        "choices": [],
    }
    if word is not None:
        delta = {"index": 0, "delta": {"content": word}, "finish_reason": None}
        chunk["choices"] = [delta]
    if usage is not None:
        chunk["usage"] = usage
    return b"data: " + json.dumps(chunk).encode() + b"\n\n"


def main():
    """Run the engine as a program."""
    parser = listen_parser(__doc__)
    parser.add_argument("--name", default="engine")
    parser.add_argument("--batch", type=int, default=8)
    parser.add_argument("--token-s", type=float, default=0.005)
    args = parser.parse_args()
    random.seed(args.seed)
    engine = Engine(name=args.name, batch=args.batch, token_s=args.token_s)
    run_server(args.listen, engine.serve, args.capture)


if __name__ == "__main__":
    main()
