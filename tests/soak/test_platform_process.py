"""The store's modes of failure and the endpoint's planted behaviours."""

import hashlib

import h11
import pytest
import trio
import trio.testing

from cactusmill.internal.http import client_connection
from soak.history import Run
from standins.loopback import EndpointStub
from standins.platform_process import ServedEndpoint, ServedStore


def get(served, target, address="a", limit_s=2.0):
    """Return the response's status, era and body; None or "silent" without one."""

    async def run():
        near, far = trio.testing.memory_stream_pair()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(served.serve, address, far)
            conn = client_connection(near)
            reply = "silent"
            with trio.move_on_after(limit_s):
                reply = await read_reply(conn)
            nursery.cancel_scope.cancel()
        return reply

    async def read_reply(conn):
        await conn.send(
            h11.Request(method="GET", target=target, headers=[("host", "store")]),
            h11.EndOfMessage(),
        )
        head = await conn.next_event()
        if not isinstance(head, h11.Response):
            return None
        body = b""
        while (data := await conn.next_data()) is not None:
            body += data
        return head.status_code, dict(head.headers)[b"store-era"], body

    return trio.run(run)


LIST = "/cactusmill/kv-range?path_prefix="


@pytest.mark.parametrize(("down", "status"), [("503", 503), ("429", 429)])
def test_store_that_is_down_answers_with_the_status(down, status):
    served = ServedStore()
    served.obey({"do": "mode", "mode": {"down": down}}, 0.0)
    assert get(served, LIST)[0] == status


def test_store_turns_away_one_address_only():
    served = ServedStore()
    served.obey({"do": "mode", "address": "b", "mode": {"down": "503"}}, 0.0)
    assert get(served, LIST, "a")[0] == 200 and get(served, LIST, "b")[0] == 503


def test_store_that_is_silent_does_not_answer():
    served = ServedStore()
    served.obey({"do": "mode", "mode": {"down": "silent"}}, 0.0)
    assert get(served, LIST, limit_s=0.3) == "silent"


def test_store_comes_back_older_in_a_new_era():
    served = ServedStore()
    served.obey({"do": "put", "key": "x", "value": 1}, 10.0)
    revision = served.store.revision
    served.obey({"do": "put", "key": "y", "value": 2}, 20.0)
    lost = served.store.revision
    served.obey({"do": "restore", "age_s": 5.0}, 21.0)
    assert served.store.revision == revision
    status, era, body = get(served, LIST)
    assert (status, era) == (200, b"2") and b'"x"' in body and b'"y"' not in body
    watch = f"/cactusmill/kv-watch?path_prefix=&after={lost}&wait_ms=10"
    assert get(served, watch)[0] == 410


def test_compacted_history_is_gone_for_older_watches():
    served = ServedStore()
    before = served.store.revision
    served.obey({"do": "put", "key": "x", "value": 1}, 10.0)
    served.obey({"do": "compact"}, 11.0)
    watch = f"/cactusmill/kv-watch?path_prefix=&after={before}&wait_ms=10"
    assert get(served, watch)[0] == 410


def test_unknown_commands_are_rejected():
    with pytest.raises(ValueError, match="dance"):
        ServedStore().obey({"do": "dance"}, 0.0)


def ask_endpoint(commands=(), name="e", stream=False, slots=8):
    """Return the response's body, or None if it is cut, and the recorded runs."""
    runs = []
    served = ServedEndpoint(
        EndpointStub("e", "z", "s", events=4, slots=slots), "r", "e-1", runs.append
    )
    for command in commands:
        served.obey(command, 0.0)

    async def run():
        near, far = trio.testing.memory_stream_pair()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(served.stub.serve, far)
            conn = client_connection(near)
            headers = [
                ("host", "api.example"),
                ("request-id", "r-1"),
                ("expect-instance", name),
                ("deadline-ms", "2500"),
                ("authorization", "Token key-of-red"),
                ("content-length", "0"),
            ]
            headers += [("model", "m")] if stream else []
            await conn.send(
                h11.Request(method="POST", target="/look/1", headers=headers),
                h11.EndOfMessage(),
            )
            body = b""
            try:
                head = await conn.next_event()
                while (data := await conn.next_data()) is not None:
                    body += data
                return getattr(head, "status_code", 0), body
            except Exception:
                return None
            finally:
                nursery.cancel_scope.cancel()

    return trio.run(run), runs


@pytest.mark.parametrize("stream", [False, True])
def test_endpoint_records_what_it_runs(stream):
    (status, body), runs = ask_endpoint(stream=stream)
    assert status == 200
    begun, ended = runs
    assert isinstance(begun, Run) and begun.ended_at is None
    assert ended.ending == "answered" and ended.budget_s == 2.5
    assert ended.digest == hashlib.sha256(body).hexdigest()
    assert ended.keys == ("key-of-red",)
    assert (ended.first_event, ended.last_event) == ((1, 4) if stream else (0, 0))


def test_endpoint_rejects_requests_for_another():
    (status, _), runs = ask_endpoint(name="f")
    assert status == 421 and runs[-1].ending == "refused"


@pytest.mark.parametrize("action", ["break_off", "spoil", "lose"])
def test_planted_behaviours_cut_the_stream(action):
    reply, runs = ask_endpoint([{"do": action, "count": 1}], stream=True)
    assert reply is None
    assert runs[-1].ending == "broke off"
