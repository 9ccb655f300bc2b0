"""Framing of response bodies: what marks the end of a body."""

import enum

import attrs

from .http import header

_STATUSES_WITHOUT_BODY = frozenset({204, 304})


class Framing(enum.Enum):
    """What marks the end of a response's body (RFC 9112, section 6.3)."""

    NONE = "none"
    LENGTH = "length"
    CHUNKED = "chunked"
    CLOSE = "close"
    # The body crosses a link between two hosts, which has its own frames.
    LINK = "link"


def response_framing(method, status, headers):
    """Return the framing of a response's body.

    Parameters
    ----------
    method : bytes
        Method of the request.
    status : int
        HTTP status of the response.
    headers : list of (bytes, bytes)
        Headers of the response.

    Returns
    -------
    Framing
    """
    if method == b"HEAD" or status in _STATUSES_WITHOUT_BODY:
        return Framing.NONE
    if header(headers, b"transfer-encoding") is not None:
        return Framing.CHUNKED
    if header(headers, b"content-length") is not None:
        return Framing.LENGTH
    return Framing.CLOSE


@attrs.define
class ReceivedBody:
    """How a response's body is framed, and how much of it was received.

    Attributes
    ----------
    framing : Framing
        What marks its end.
    size : int
        Bytes received.
    """

    framing: Framing
    size: int = 0
