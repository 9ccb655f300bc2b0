"""Faults that strike a simulated world at random, from a seed."""

import attrs
import trio

ZONES = ("osrednja-a", "stajerska-a", "primorska-a")
PLATFORM = "platform"
FAULT_KINDS = (
    "cut platform",
    "cut zones",
    "freeze endpoint",
    "freeze host",
    "kill endpoint",
    "kill host",
    "platform down",
    "platform stale",
)


@attrs.define(eq=False)
class FaultInjector:
    """Strikes a world with faults and heals them.

    Attributes
    ----------
    sim : Simulation
        The deployment.
    mean_gap_s : float
        Mean time between two faults, in seconds.
    counts : dict of str to int
        Faults so far, by kind.
    """

    sim: object
    mean_gap_s: float = 1.0
    counts: dict = attrs.field(factory=dict)
    _struck: set = attrs.field(factory=set)

    @property
    def total(self):
        """Number of faults so far."""
        return sum(self.counts.values())

    @property
    def _kinds(self):
        return {
            "kill host": self._kill_host,
            "freeze host": self._freeze_host,
            "cut zones": self._cut_zones,
            "cut platform": self._cut_platform,
            "kill endpoint": self._kill_endpoint,
            "freeze endpoint": self._freeze_endpoint,
            "platform down": self._platform_down,
            "platform stale": self._platform_stale,
        }

    async def inject_until(self, end):
        """Strike at random until a time; return once every fault is healed."""
        rng = self.sim.rng
        async with trio.open_nursery() as nursery:
            while trio.current_time() < end:
                await trio.sleep(rng.expovariate(1 / self.mean_gap_s))
                kind = rng.choice(FAULT_KINDS)
                nursery.start_soon(self._strike, kind, rng.uniform(0.1, 8.0))

    async def inject_schedule(self, plan):
        """Strike as planned; return once every fault is healed.

        Parameters
        ----------
        plan : list of (float, str, float)
            For each fault the time since the one before, its kind and its
            duration, times in seconds.
        """
        async with trio.open_nursery() as nursery:
            for gap_s, kind, duration_s in plan:
                await trio.sleep(gap_s)
                nursery.start_soon(self._strike, kind, duration_s)

    async def _strike(self, kind, duration_s):
        if await self._kinds[kind](duration_s):
            self.counts[kind] = self.counts.get(kind, 0) + 1

    def _claim(self, names):
        """Return a name that no other fault holds, or None."""
        free = sorted(set(names) - self._struck)
        if not free:
            return None
        name = self.sim.rng.choice(free)
        self._struck.add(name)
        return name

    async def _kill_host(self, duration_s):
        return await self._kill(self.sim.settings, duration_s)

    async def _kill_endpoint(self, duration_s):
        return await self._kill(self.sim.addresses, duration_s)

    async def _kill(self, names, duration_s):
        name = self._claim(names)
        if name is None:
            return False
        self.sim.kill(name)
        await trio.sleep(duration_s)
        self.sim.restart(name)
        self._struck.discard(name)
        return True

    async def _freeze_host(self, duration_s):
        return await self._freeze(self.sim.settings, duration_s)

    async def _freeze_endpoint(self, duration_s):
        return await self._freeze(self.sim.addresses, duration_s)

    async def _freeze(self, names, duration_s):
        name = self._claim(names)
        if name is None:
            return False
        machine = self.sim.machines[name]
        machine.freeze()
        await trio.sleep(duration_s)
        machine.thaw()
        self._struck.discard(name)
        return True

    async def _cut_zones(self, duration_s):
        one, other = self.sim.rng.sample(ZONES, 2)
        return await self._cut(one, other, duration_s)

    async def _cut_platform(self, duration_s):
        return await self._cut(self.sim.rng.choice(ZONES), PLATFORM, duration_s)

    async def _cut(self, one, other, duration_s):
        self.sim.network.partition(one, other)
        await trio.sleep(duration_s)
        self.sim.network.heal(one, other)
        return True

    async def _platform_down(self, duration_s):
        for service in (self.sim.configuration, self.sim.host_list):
            service.is_down = True
        await trio.sleep(duration_s)
        for service in (self.sim.configuration, self.sim.host_list):
            service.is_down = False
        return True

    async def _platform_stale(self, duration_s):
        service = self.sim.rng.choice(
            [
                self.sim.configuration,
                self.sim.host_list,
            ]
        )
        service.stale_at = max(1, service.version - 3)
        await trio.sleep(duration_s)
        service.stale_at = None
        return True
