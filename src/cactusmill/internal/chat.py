"""Parsing of chat completion requests and responses, as far as a gateway needs it.

Only this module depends on the format of model requests and responses.
"""

import json

import attrs
import xxhash
from returns.result import Failure, Success

from ..errors import MalformedRequest

# Assumed for requests that do not limit the generated tokens.
DEFAULT_MAX_TOKENS = 512
# For the estimate of a prompt's tokens.
_BYTES_PER_TOKEN = 3
# Length of the prompt's start that enters `ChatRequest.affinity`.
_PREFIX_BYTES = 1024
_EVENT_MARK = b"data:"
_USAGE_MARK = b'"usage"'
# The last event of a stream, "data: [DONE]", carries no token.
_EVENTS_WITHOUT_TOKEN = 1
# What of a response is kept to read its reported usage.
_MAX_METERED_BYTES = 16 * 1024 * 1024
_LAST_EVENT = b"[DONE]"
_MAX_LAST_EVENT_BYTES = 32


@attrs.frozen
class ChatRequest:
    """The fields of a chat completion request that the gateway uses.

    Attributes
    ----------
    model : str
        Requested model.
    is_stream : bool
        True if the response is to be an event stream.
    prompt_tokens : int
        Estimated length of the prompt.
    max_tokens : int
        Upper bound on the generated tokens, over all choices.
    affinity : str
        Digest of the model's name and the prompt's prefix.
    segments : tuple of (str, int)
        Digest and estimated tokens of each message, in order.
    """

    model: str
    is_stream: bool
    prompt_tokens: int
    max_tokens: int
    affinity: str
    segments: tuple = ()


def parse_chat(body):
    """Parse the body of a chat completion request.

    Parameters
    ----------
    body : bytes
        JSON text.

    Returns
    -------
    Success of ChatRequest or Failure of MalformedRequest
    """
    try:
        data = json.loads(body)
    except (ValueError, RecursionError):
        return _malformed("the body is not JSON")
    if not isinstance(data, dict) or not isinstance(data.get("model"), str):
        return _malformed("the body must be an object with a text 'model'")
    messages = data.get("messages")
    if not isinstance(messages, list) or not messages:
        return _malformed("'messages' must be a list with at least one message")
    max_tokens = data.get("max_completion_tokens", data.get("max_tokens"))
    if max_tokens is None:
        max_tokens = DEFAULT_MAX_TOKENS
    if not isinstance(max_tokens, int) or not 0 < max_tokens < 1_000_000:
        return _malformed(f"'max_tokens' {max_tokens!r} must be 1 to 999999")
    choices = data.get("n", 1)
    if not isinstance(choices, int) or not 0 < choices <= 128:
        return _malformed(f"'n' {choices!r} must be 1 to 128")
    texts = [_encode(message) for message in messages]
    text = b"[" + b", ".join(texts) + b"]"
    prefix = data["model"].encode("utf-8", "surrogatepass") + text[:_PREFIX_BYTES]
    return Success(
        ChatRequest(
            model=data["model"],
            is_stream=data.get("stream") is True,
            prompt_tokens=len(text) // _BYTES_PER_TOKEN + 1,
            max_tokens=max_tokens * choices,
            affinity=xxhash.xxh3_64_hexdigest(prefix),
            segments=tuple(
                (xxhash.xxh3_128_hexdigest(text), len(text) // _BYTES_PER_TOKEN + 1)
                for text in texts
            ),
        )
    )


def _encode(message):
    return json.dumps(message, ensure_ascii=False).encode("utf-8", "surrogatepass")


def _malformed(detail):
    return Failure(MalformedRequest(detail=detail))


@attrs.define
class UsageMeter:
    """Counter of the tokens that a response uses, fed while it is relayed.

    Attributes
    ----------
    prompt_tokens : int
        Estimated length of the prompt, used if the engine reports no usage.
    is_stream : bool
        Whether the response is an event stream.
    """

    prompt_tokens: int
    is_stream: bool
    _events: int = 0
    _tail: bytearray = attrs.field(factory=bytearray)
    _last_bytes: bytes = b""

    @property
    def has_last_event(self):
        """Whether the stream ended with the event that ends each stream."""
        return self._last_bytes.rstrip().endswith(_LAST_EVENT)

    def feed(self, chunk):
        """Count the tokens in the next chunk of the response."""
        if self.is_stream:
            self._events += chunk.count(_EVENT_MARK)
            last_bytes = self._last_bytes + chunk[-_MAX_LAST_EVENT_BYTES:]
            self._last_bytes = last_bytes[-_MAX_LAST_EVENT_BYTES:]
            if _USAGE_MARK in chunk:
                self._tail = bytearray(chunk)
        elif len(self._tail) < _MAX_METERED_BYTES:
            self._tail += chunk

    def used(self):
        """Return the tokens used so far, including the prompt's.

        The usage that the engine reports takes precedence over the estimate.
        """
        total = self._reported_usage()
        if total is not None:
            return total
        return self.prompt_tokens + max(0, self._events - _EVENTS_WITHOUT_TOKEN)

    def _reported_usage(self):
        text = self._tail
        if self.is_stream:
            text = next(
                (e for e in reversed(text.split(_EVENT_MARK)) if _USAGE_MARK in e), b""
            )
        try:
            usage = json.loads(text)["usage"]
            return int(usage["prompt_tokens"]) + int(usage["completion_tokens"])
        except (ValueError, KeyError, TypeError):
            return None


def error_event(title):
    """Return the error event with which clients expect a failed stream to end."""
    error = {"error": {"message": title, "type": "upstream_error"}}
    return b"data: " + json.dumps(error).encode() + b"\n\n"
