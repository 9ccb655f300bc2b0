"""Connections over TCP, and the errors of those that fail."""

import socket

import pytest
import trio

from cactusmill.errors import ConnectRefusedError
from cactusmill.internal.net import TCP


def test_refused_connection_is_told_from_other_failures():
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        port = sock.getsockname()[1]
    with pytest.raises(ConnectRefusedError):
        trio.run(TCP.connect, f"127.0.0.1:{port}", 1.0)
