"""Responses of endpoints and other hosts."""

import attrs


@attrs.define(eq=False, kw_only=True)
class EndpointResponse:
    """An endpoint's response, maybe relayed by another host, from its head on.

    Attributes
    ----------
    status : int
        HTTP status.
    headers : list of (bytes, bytes)
        Headers as received.
    received : ReceivedBody
        Framing of the body, and the bytes received so far.
    metadata : ResponseMetadata or None
        Metadata in an endpoint's headers; None if another host relayed it.
    next_data : callable
        ``await next_data()`` returns the next chunk of the body, or None at its
        end; raises :class:`ExchangeError` if the body is truncated.
    has_ended : callable
        ``has_ended()`` returns whether the end of the body has arrived behind the
        chunk that was returned last.
    release : callable
        ``await release(now)`` returns the connection to its pool, once the body is
        complete.
    abort : callable
        ``abort()`` closes the connection, which also cancels the request.
    """

    status: int
    headers: list
    received: object
    metadata: object
    next_data: object
    has_ended: object
    release: object
    abort: object
