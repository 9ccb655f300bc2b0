"""Framing of response bodies: what marks the end of a body."""

import enum

import attrs

from ..errors import OversizedAnswerError, UndefinedStatusError

MAX_BODY_BYTES = 16 * 1024 * 1024
# Each piece of a body costs processor time, however small it is. Beyond the first ones
# the pieces of a body have this many bytes on average.
MAX_SMALL_PIECES = 4096
MIN_PIECE_BYTES = 256
# An event has one token or more, with the probabilities of a few others.
_MAX_BYTES_PER_TOKEN = 4096
_MAX_PIECES_PER_TOKEN = 4

_STATUSES_WITHOUT_BODY = frozenset({204, 304})
# Final ones (RFC 9110, section 15).
_STATUSES = range(200, 600)


class Framing(enum.Enum):
    """What marks the end of a response's body (RFC 9112, section 6.3)."""

    NONE = "none"
    LENGTH = "length"
    CHUNKED = "chunked"
    CLOSE = "close"
    # The body crosses a link between two hosts, which has its own frames.
    LINK = "link"


def check_status(status):
    """Check the status of a final response.

    Raises
    ------
    UndefinedStatusError
        If HTTP does not define its class, so that the response says nothing.
    """
    if status not in _STATUSES:
        raise UndefinedStatusError(f"a response with the status {status}")


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
    names = {name for name, _ in headers}
    if b"transfer-encoding" in names:
        return Framing.CHUNKED
    if b"content-length" in names:
        return Framing.LENGTH
    return Framing.CLOSE


def new_received_body(framing, tokens):
    """Return the state of a body of which nothing was received.

    Its limits grow with the tokens that it may have.

    Parameters
    ----------
    framing : Framing
        What marks its end.
    tokens : float
        Upper bound on the tokens that the request can use.

    Returns
    -------
    ReceivedBody
    """
    return ReceivedBody(
        framing,
        max_bytes=MAX_BODY_BYTES + int(_MAX_BYTES_PER_TOKEN * tokens),
        max_small_pieces=MAX_SMALL_PIECES + int(_MAX_PIECES_PER_TOKEN * tokens),
    )


@attrs.define
class ReceivedBody:
    """How a response's body is framed, and how much of it was received.

    Attributes
    ----------
    framing : Framing
        What marks its end.
    max_bytes, max_small_pieces : int
        Limits of a body that may have no end.
    size, pieces : int
        Bytes and pieces received.
    """

    framing: Framing
    max_bytes: int = MAX_BODY_BYTES
    max_small_pieces: int = MAX_SMALL_PIECES
    size: int = 0
    pieces: int = 0

    def add(self, data):
        """Count the next piece.

        Raises
        ------
        OversizedAnswerError
            If the body exceeds a limit.
        """
        self.size += len(data)
        self.pieces += 1
        if self.size > self.max_bytes:
            raise OversizedAnswerError(f"an answer of over {self.max_bytes} bytes")
        if are_pieces_too_small(self.pieces, self.size, self.max_small_pieces):
            raise OversizedAnswerError(
                f"an answer of {self.size} bytes in {self.pieces} pieces"
            )


def are_pieces_too_small(pieces, size, max_small_pieces=MAX_SMALL_PIECES):
    """Return whether a body has more pieces than its bytes account for.

    Parameters
    ----------
    pieces, size : int
        Pieces and bytes received.
    max_small_pieces : int
        Pieces that may be of any size.
    """
    return pieces > max_small_pieces + size // MIN_PIECE_BYTES
