"""Callers: closed loops of requests over kept connections, and what came of each."""

import asyncio
import random

import attrs

from .wire import Client, Closed


@attrs.define
class Sent:
    """One request and its end, times in seconds of the record.

    Attributes
    ----------
    id : str
        Its ``Request-Id``.
    machine : str
        Name of the machine to which it was sent.
    at : float
        When it was sent.
    is_kept : bool
        Whether its connection had carried a request before.
    status : int
        Status of the answer; 0 without a complete one.
    problem : str
        Why there was no complete answer: ``closed``, ``cut``, ``refused`` or ``late``.
    """

    id: str
    machine: str
    at: float
    is_kept: bool = False
    status: int = 0
    problem: str = ""


async def call_in_loop(
    record, machine, sents, method, path, headers, body, budget_s, pause_s
):
    """Send one request after the other to a machine, until cancelled.

    A connection is kept for many requests. After a request without a complete answer
    comes another one with an id of its own.
    """
    client = Client(machine.front)
    while True:
        sent = Sent(f"{random.getrandbits(64):016x}", machine.name, record.now())
        record.write("sent", id=sent.id, machine=machine.name, path=path)
        sents.append(sent)
        fields = {
            **headers,
            "Request-Id": sent.id,
            "Deadline-Ms": str(int(budget_s * 1000)),
        }
        try:
            sent.status, answer, _ = await client.send(
                method, path, fields, body, budget_s
            )
            wait_s = min(budget_s / 3, float(answer.get("retry-after", pause_s)))
        except Closed as exc:
            sent.problem, wait_s = "cut" if exc.partial else "closed", 0.2
        except TimeoutError:
            sent.problem, wait_s = "late", pause_s
        except OSError:
            sent.problem, wait_s = "refused", 0.2
        # Counted when the request was sent: 1 for the first on its connection.
        sent.is_kept = client.requests > 1
        record.write("answered", id=sent.id, status=sent.status, problem=sent.problem)
        await asyncio.sleep(wait_s)
