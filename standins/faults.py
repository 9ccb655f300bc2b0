"""Fault injection into a simulated deployment, at random from a seed.

Each fault lasts for some time and is then repaired: a killed process is restarted, a
frozen one resumes, a partition ends, and a platform service responds again.
"""

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
    """Injects faults into a simulation and repairs them.

    Attributes
    ----------
    sim : Simulation
        The simulated deployment.
    mean_gap_s : float
        Mean time between two faults, in seconds.
    counts : dict of str to int
        Number of injected faults by kind.
    """

    sim: object
    mean_gap_s: float = 1.0
    counts: dict = attrs.field(factory=dict)
    _affected: set = attrs.field(factory=set)

    @property
    def total(self):
        """Total number of injected faults."""
        return sum(self.counts.values())

    @property
    def _injectors(self):
        return {
            "kill host": self._kill_host,
            "freeze host": self._freeze_host,
            "cut zones": self._partition_zones,
            "cut platform": self._partition_platform,
            "kill endpoint": self._kill_endpoint,
            "freeze endpoint": self._freeze_endpoint,
            "platform down": self._platform_down,
            "platform stale": self._platform_stale,
        }

    async def inject_until(self, end):
        """Inject random faults until a time; return once every fault is repaired."""
        rng = self.sim.rng
        async with trio.open_nursery() as nursery:
            while trio.current_time() < end:
                await trio.sleep(rng.expovariate(1 / self.mean_gap_s))
                kind = rng.choice(FAULT_KINDS)
                nursery.start_soon(self._inject, kind, rng.uniform(0.1, 8.0))

    async def inject_schedule(self, schedule):
        """Inject scheduled faults; return once every fault is repaired.

        Parameters
        ----------
        schedule : list of (float, str, float)
            For each fault the time since the previous one, its kind and its
            duration; times are in seconds.
        """
        async with trio.open_nursery() as nursery:
            for gap_s, kind, duration_s in schedule:
                await trio.sleep(gap_s)
                nursery.start_soon(self._inject, kind, duration_s)

    async def _inject(self, kind, duration_s):
        if await self._injectors[kind](duration_s):
            self.counts[kind] = self.counts.get(kind, 0) + 1

    def _reserve(self, names):
        """Choose a random machine without a fault and mark it as having one.

        Returns
        -------
        str or None
            Name of the machine; None if all have a fault.
        """
        available = sorted(set(names) - self._affected)
        if not available:
            return None
        name = self.sim.rng.choice(available)
        self._affected.add(name)
        return name

    async def _kill_host(self, duration_s):
        return await self._kill(self.sim.settings, duration_s)

    async def _kill_endpoint(self, duration_s):
        return await self._kill(self.sim.addresses, duration_s)

    async def _kill(self, names, duration_s):
        name = self._reserve(names)
        if name is None:
            return False
        self.sim.kill(name)
        await trio.sleep(duration_s)
        self.sim.restart(name)
        self._affected.discard(name)
        return True

    async def _freeze_host(self, duration_s):
        return await self._freeze(self.sim.settings, duration_s)

    async def _freeze_endpoint(self, duration_s):
        return await self._freeze(self.sim.addresses, duration_s)

    async def _freeze(self, names, duration_s):
        name = self._reserve(names)
        if name is None:
            return False
        machine = self.sim.machines[name]
        machine.freeze()
        await trio.sleep(duration_s)
        machine.thaw()
        self._affected.discard(name)
        return True

    async def _partition_zones(self, duration_s):
        first, second = self.sim.rng.sample(ZONES, 2)
        return await self._partition(first, second, duration_s)

    async def _partition_platform(self, duration_s):
        return await self._partition(self.sim.rng.choice(ZONES), PLATFORM, duration_s)

    async def _partition(self, first, second, duration_s):
        self.sim.network.partition(first, second)
        await trio.sleep(duration_s)
        self.sim.network.heal(first, second)
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
