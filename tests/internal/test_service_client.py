"""Calls to a service of the platform on a connection that is kept."""

import itertools

import h11
import pytest
import trio

from cactusmill.errors import PlatformError
from cactusmill.internal.http import server_connection
from cactusmill.internal.net import TCP
from cactusmill.internal.service_client import ServiceClient
from standins.loopback import next_port


async def serve(address, responses, opened, task_status):
    """Answer each request with the next response: status and headers."""

    async def handle(stream):
        opened.append(stream)
        conn = server_connection(stream, 64 * 1024)
        while isinstance(await conn.next_event(), h11.Request):
            await conn.next_event()
            status, headers = next(responses)
            await conn.send(
                h11.Response(status_code=status, headers=headers),
                h11.EndOfMessage(),
            )
            if conn.h11.our_state is not h11.DONE:
                return
            conn.h11.start_next_cycle()

    await TCP.serve(address, handle, task_status=task_status)


def get_thrice(*responses):
    """Return the results of three calls, and how many connections they took."""

    async def run():
        address, opened = f"127.0.0.1:{next_port()}", []
        results = []
        async with trio.open_nursery() as nursery:
            cycle = itertools.cycle(responses)
            await nursery.start(serve, address, cycle, opened)
            client = ServiceClient(address, TCP)
            for _ in range(3):
                try:
                    results.append((await client.get("/x", 2.0))[0])
                except PlatformError as exc:
                    results.append(exc)
            await client.close()
            nursery.cancel_scope.cancel()
        return results, len(opened)

    return trio.run(run)


EMPTY = (b"content-length", b"0")


@pytest.mark.parametrize("status", [200, 503])
def test_response_that_closes_its_connection_is_returned(status):
    """Guards against the end of all hosts when the store closes behind a response."""
    closing = (status, [EMPTY, (b"connection", b"close")])
    assert get_thrice(closing) == ([status] * 3, 3)


def test_connection_is_kept_behind_other_responses():
    assert get_thrice((200, [EMPTY])) == ([200] * 3, 1)


def test_response_until_the_close_is_returned():
    assert get_thrice((200, [])) == ([200] * 3, 1)
