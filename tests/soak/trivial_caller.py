"""Caller that sends plain requests and streams, one after another."""

import argparse
import hashlib
import itertools
import json
import pathlib
import time

import trio

from cactusmill.internal.http import client_connection
from cactusmill.internal.net import split_address
from soak.history import Attempt, Ending, Kind, encode_record
from standins.loopback import send_request_on


async def _call(number, world, file):
    names = sorted(world["hosts"])
    for count in itertools.count():
        if time.monotonic() > world["until"]:
            return
        host = names[(number + count) % len(names)]
        is_stream = count % 2 == 0
        began_at = time.monotonic()
        request_id = f"r-{number}-{count}"
        stream = await trio.open_tcp_stream(
            *split_address(world["hosts"][host]["address"])
        )
        reply = await send_request_on(
            client_connection(stream),
            "/chat/1" if is_stream else "/look/1",
            request_id=request_id,
            key=world["keys"]["red"][0],
            budget_ms=15000,
            model="m" if is_stream else "",
        )
        await trio.aclose_forcefully(stream)
        attempt = Attempt(
            request_id=request_id,
            caller=f"c-{number}",
            team="red",
            region=world["hosts"][host]["region"],
            host=host,
            route="chat" if is_stream else "look",
            kind=Kind.RESUMABLE if is_stream else Kind.SAFE,
            timeout_s=15.0,
            budget_s=15.0,
            began_at=began_at,
            ended_at=time.monotonic(),
            ending=Ending.COMPLETE if reply.is_complete else Ending.CUT,
            status=reply.status,
            digest=hashlib.sha256(reply.body).hexdigest(),
        )
        file.write(encode_record(attempt) + "\n")
        file.flush()


async def _call_all(world, file):
    async with trio.open_nursery() as nursery:
        for number in range(world["callers"]):
            nursery.start_soon(_call, number, world, file)


if __name__ == "__main__":
    parser = argparse.ArgumentParser()
    parser.add_argument("--world", type=pathlib.Path)
    parser.add_argument("--history", type=pathlib.Path)
    args = parser.parse_args()
    with args.history.open("w") as file:
        trio.run(_call_all, json.loads(args.world.read_text()), file)
