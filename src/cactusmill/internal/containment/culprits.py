"""What may be at fault when an endpoint crashes: a request or a part of its prompt.

A request that crashes endpoints may come again unchanged, or its prompt may share the
part that is at fault with requests that differ in all else. Both are known by digests,
so that hosts exchange no content.
"""

import functools
import hmac

import attrs

_DIGEST_BYTES = 8
_MASK = 2 ** (8 * _DIGEST_BYTES) - 1
_MAX_CACHED_PARTS = 16_384


@attrs.frozen
class Culprits:
    """Digests of what may be at fault in one request.

    Attributes
    ----------
    request : int
        The whole request: team, target and body.
    parts : tuple of int
        The prompt parts that it may share with other requests, each once. The last
        part of a prompt belongs to the request or its session.
    """

    request: int
    parts: tuple = ()


def culprits_of(secret, req):
    """Return what may be at fault in a request.

    Parameters
    ----------
    secret : str
        The fleet's link secret. It keys the digests, so that others learn nothing
        about the content from them.
    req : Request
        The request.

    Returns
    -------
    Culprits
    """
    message = b"\0".join((req.team_name.encode(), req.target.encode(), req.body))
    names = dict.fromkeys(name for name, _ in req.prompt_segments[:-1])
    return Culprits(
        request=_digest(secret, message),
        parts=tuple(_part_digest(secret, name) for name in names),
    )


@functools.lru_cache(maxsize=_MAX_CACHED_PARTS)
def _part_digest(secret, name):
    # No request begins with this byte: a team's name is text.
    return _digest(secret, b"\xff" + name.encode())


def _digest(secret, message):
    digest = hmac.digest(secret.encode(), message, "sha256")[:_DIGEST_BYTES]
    return int.from_bytes(digest, "big", signed=True)


def to_text(digest):
    """Return a digest as logs and operators' commands write it."""
    return f"{digest & _MASK:016x}"


def from_text(text):
    """Return the digest that `to_text` wrote.

    Raises
    ------
    ValueError
        If the text is not one.
    """
    if len(text) != 2 * _DIGEST_BYTES:
        raise ValueError(f"{text!r} must have {2 * _DIGEST_BYTES} hexadecimal digits")
    data = int(text, 16).to_bytes(_DIGEST_BYTES, "big")
    return int.from_bytes(data, "big", signed=True)
