"""Requests with a prompt part that crashes engines, on a loopback deployment.

Callers send streams whose prompts have three parts: a shared first one, a shared middle
one and one of their own. From a moment on some requests hold a part on which an engine
ends shortly after it has begun to answer; no two of them are alike and each comes at
a random host. An engine is back after a while under another name at its address.
"""

import contextlib
import random

import attrs
import h11
import trio

from cactusmill.errors import ExchangeError
from cactusmill.internal.http import header, read_body

from .loopback import EndpointStub, event

HOSTS = (
    ("e1", "east-a"),
    ("e2", "east-a"),
    ("w1", "west-a"),
    ("w2", "west-a"),
    ("n1", "north-a"),
    ("n2", "north-a"),
)
ENGINES = tuple(
    (f"{zone[0]}-engine-{n}", zone, "engines")
    for zone in ("east-a", "west-a", "north-a")
    for n in range(4)
)
# Time between the beginning of a response and the end of its engine.
_CRASH_DELAY_S = 0.08
# Time after which the entry of an engine that has ended is removed.
_LEASE_S = 3.0
_EVENTS, _EVENT_GAP_S = 12, 0.04


@attrs.frozen(kw_only=True)
class Traffic:
    """What callers send, and what goes wrong besides.

    Attributes
    ----------
    requests_per_s, bad_per_s : float
        Sound requests, and requests with a bad part, per second.
    bad_from_s : float
        Time of the first request with a bad part.
    for_s : float
        Duration of the replay.
    bad_parts : tuple of str
        Parts that crash engines.
    bad_position : int
        Position of the bad part in the prompt: 0 or 1.
    companion : str
        A sound part that stands in each bad request besides; empty for none.
    companion_share : float
        Share of the sound requests that have it too.
    down_s : (float, float)
        Least and longest time for which an engine is down.
    kill_gap_s, restart_gap_s : float or None
        Time between engines that are killed by chance, and between hosts that are
        replaced; None for neither.
    """

    requests_per_s: float = 30.0
    bad_per_s: float = 3.0
    bad_from_s: float = 2.0
    for_s: float = 13.0
    bad_parts: tuple = ("bad",)
    bad_position: int = 1
    companion: str = ""
    companion_share: float = 0.0
    down_s: tuple = (2.0, 4.0)
    kill_gap_s: float | None = None
    restart_gap_s: float | None = None


@attrs.define(eq=False)
class Observed:
    """What engines and callers saw. All times are in seconds of the replay.

    Attributes
    ----------
    crashes : list of float
        When engines ended under a request with a bad part.
    bad_arrivals : list of float
        When requests with a bad part reached engines.
    sound : list of (float, bool)
        When sound requests were sent, and whether each was served whole.
    refused : list of (int, bytes)
        Statuses and bodies of the responses to requests with a bad part.
    """

    crashes: list = attrs.field(factory=list)
    bad_arrivals: list = attrs.field(factory=list)
    sound: list = attrs.field(factory=list)
    refused: list = attrs.field(factory=list)

    def arrivals_after(self, window_s):
        """Return how many bad requests arrived so long after the fifth crash."""
        if len(self.crashes) < 5:
            return 0
        limit = sorted(self.crashes)[4] + window_s
        return sum(at > limit for at in self.bad_arrivals)

    def served_share(self, begin, end):
        """Return the share of the sound requests of a time that were served whole."""
        results = [whole for at, whole in self.sound if begin <= at < end]
        return sum(results) / max(1, len(results))


@attrs.define(eq=False)
class _Replay:
    deployment: object
    traffic: Traffic
    rng: random.Random
    send: object
    started_at: float = 0.0
    starts: int = 0
    observed: Observed = attrs.field(factory=Observed)
    _requests: int = 0

    def now(self):
        return trio.current_time() - self.started_at

    # Engines.

    async def handle(self, engine, conn, request):
        """Run a request; end the engine if a bad part is in its prompt."""
        prompt = header(request.headers, b"prompt-prefix", "")
        parts = {part.partition(":")[0] for part in prompt.split(",")}
        expected = header(request.headers, b"expect-instance")
        if expected != engine.name or parts.isdisjoint(self.traffic.bad_parts):
            await engine.run(conn, request)
            return True
        await read_body(conn, 10**6)
        self.observed.bad_arrivals.append(self.now())
        begun = self.rng.randrange(3)
        with contextlib.suppress(ExchangeError, h11.ProtocolError):
            if begun:
                extra = [("transfer-encoding", "chunked")]
                await conn.send(engine.head(request, extra=extra))
            if begun == 2:
                await conn.send(h11.Data(data=event(1)))
        await trio.sleep(_CRASH_DELAY_S)
        if engine.name in self.deployment.endpoints:
            self.observed.crashes.append(self.now())
            self.stop(engine)
        return False

    def stop(self, engine):
        """End an engine, and start another one at its address later."""
        deployment = self.deployment
        del deployment.endpoints[engine.name]
        deployment.scopes.pop(engine.name).cancel()
        deployment.nursery.start_soon(self._forget, engine.name)
        deployment.nursery.start_soon(self._start_again, engine)

    async def _forget(self, name):
        await trio.sleep(_LEASE_S)
        self.deployment.store.remove(f"servers/{name}")

    async def _start_again(self, engine):
        await trio.sleep(self.rng.uniform(*self.traffic.down_s))
        self.starts += 1
        port = int(engine.address.rpartition(":")[2])
        while True:
            with contextlib.suppress(OSError):
                listeners = await trio.open_tcp_listeners(port, host="127.0.0.1")
                break
            await trio.sleep(0.01)
        started = EndpointStub(
            f"{engine.name.partition('.')[0]}.{self.starts}",
            engine.zone,
            engine.service,
            address=engine.address,
            handler=self.handle,
            events=engine.events,
            event_gap_s=engine.event_gap_s,
        )
        await self._serve(started, listeners)

    async def _serve(self, engine, listeners):
        deployment = self.deployment
        scope = deployment.scopes[engine.name] = trio.CancelScope()
        deployment.endpoints[engine.name] = engine
        deployment.store.put(f"servers/{engine.name}", engine.entry())
        with scope:
            await trio.serve_listeners(engine.serve, listeners)

    # Callers.

    def _prompt(self, is_bad):
        rng, traffic = self.rng, self.traffic
        first, middle = f"first-{rng.randrange(3)}", f"middle-{rng.randrange(6)}"
        parts = [first, middle]
        if is_bad:
            parts.insert(traffic.bad_position, rng.choice(traffic.bad_parts))
        if traffic.companion and (is_bad or rng.random() < traffic.companion_share):
            parts.append(traffic.companion)
        return ",".join(f"{part}:100" for part in [*parts, f"own-{self._requests}"])

    async def request(self, is_bad):
        """Send one request, and record how it ended."""
        self._requests += 1
        sent_at = self.now()
        reply = None
        with contextlib.suppress(
            OSError, trio.BrokenResourceError, ExchangeError, h11.ProtocolError
        ):
            reply = await self.send(
                self.rng.choice(list(self.deployment.hosts)),
                "/chat/1",
                request_id=f"r-{self._requests}",
                model="m",
                body=f"question {self._requests}".encode(),
                extra=[
                    ("prompt-prefix", self._prompt(is_bad)),
                    ("length-hint", str(_EVENTS)),
                ],
            )
        if is_bad:
            if reply is not None:
                self.observed.refused.append((reply.status, reply.body))
            return
        is_whole = reply is not None and reply.status == 200 and reply.is_complete
        self.observed.sound.append((sent_at, is_whole))

    async def send_all(self, nursery, per_s, is_bad, from_s):
        """Send requests at a rate, at random times, until the end of the replay."""
        await trio.sleep(from_s)
        while self.now() < self.traffic.for_s:
            nursery.start_soon(self.request, is_bad)
            await trio.sleep(self.rng.expovariate(per_s))

    # What goes wrong besides.

    async def kill_by_chance(self):
        while True:
            await trio.sleep(self.traffic.kill_gap_s)
            self.stop(self.rng.choice(list(self.deployment.endpoints.values())))

    async def replace_hosts(self):
        deployment = self.deployment
        for number in range(2, len(HOSTS)):
            await trio.sleep(self.traffic.restart_gap_s)
            name, zone = HOSTS[number]
            del deployment.hosts[name]
            deployment.scopes.pop(name).cancel()
            await trio.sleep(0.2)
            await deployment.add_host(name, zone, number + 1, seeds=[1])

    async def run(self):
        traffic, engines = self.traffic, self.deployment.endpoints
        for engine in engines.values():
            engine.handler, engine.events = self.handle, _EVENTS
            engine.event_gap_s = _EVENT_GAP_S
        self.started_at = trio.current_time()
        async with trio.open_nursery() as disturbing:
            if traffic.kill_gap_s:
                disturbing.start_soon(self.kill_by_chance)
            if traffic.restart_gap_s:
                disturbing.start_soon(self.replace_hosts)
            async with trio.open_nursery() as nursery:
                nursery.start_soon(
                    self.send_all, nursery, traffic.requests_per_s, False, 0.0
                )
                nursery.start_soon(
                    self.send_all,
                    nursery,
                    traffic.bad_per_s,
                    True,
                    traffic.bad_from_s,
                )
            disturbing.cancel_scope.cancel()


async def replay(deployment, traffic, seed):
    """Play traffic on a deployment with the hosts and engines of this module.

    Parameters
    ----------
    deployment : LoopbackDeployment
        The deployment.
    traffic : Traffic
        What to play.
    seed : int
        Seed of everything random in it.

    Returns
    -------
    Observed
    """
    played = _Replay(
        deployment, traffic, random.Random(seed), send=deployment.send_request
    )
    await played.run()
    return played.observed
