"""What marks the end of a response's body."""

import pytest

from cactusmill.internal.framing import Framing, response_framing


@pytest.mark.parametrize(
    ("method", "status", "headers", "framing"),
    [
        (b"GET", 200, [(b"content-length", b"5")], Framing.LENGTH),
        (b"GET", 200, [(b"transfer-encoding", b"chunked")], Framing.CHUNKED),
        (b"GET", 200, [], Framing.CLOSE),
        (b"POST", 503, [], Framing.CLOSE),
        (b"HEAD", 200, [], Framing.NONE),
        (b"GET", 204, [], Framing.NONE),
        (b"GET", 304, [(b"content-length", b"5")], Framing.NONE),
    ],
)
def test_framing_of_a_response(method, status, headers, framing):
    assert response_framing(method, status, headers) is framing
