"""Metrics of one host, in the Prometheus text format.

Label values are names of routes, refusals, gauges and events only. They never
contain a key or a caller's content.
"""

import attrs
from aioprometheus import Counter, Gauge, Histogram, Registry, render

from .loop_monitor import LONG_TURN_S

_LATENCY_BUCKETS_S = [0.005, 0.02, 0.1, 0.25, 0.5, 0.82, 1.5, 3.0, 10.0]


@attrs.define
class Metrics:
    """Metrics of one host and their registry.

    Attributes
    ----------
    registry : Registry
        Registry that is rendered for scrapers.
    requests : Counter
        Requests by route and result.
    first_byte : Histogram
        Time to first byte by route, in seconds.
    gauges : Gauge
        Current sizes and versions by name.
    events : Gauge
        Number of events since the start by name, as in the log.
    accounts : Gauge
        Requests since the start by source, state and reason.
    long_turns : Gauge
        Number of long turns of the event loop by what ran, see `LoopMonitor`.
    """

    registry: Registry = attrs.field(factory=Registry)
    requests: Counter = attrs.field(init=False)
    first_byte: Histogram = attrs.field(init=False)
    gauges: Gauge = attrs.field(init=False)
    events: Gauge = attrs.field(init=False)
    accounts: Gauge = attrs.field(init=False)
    long_turns: Gauge = attrs.field(init=False)

    def __attrs_post_init__(self):
        """Create the metrics and add them to the registry."""
        self.requests = Counter(
            "cactusmill_requests_total",
            "Requests by route and result.",
            registry=self.registry,
        )
        self.first_byte = Histogram(
            "cactusmill_first_byte_seconds",
            "Time until an answer began.",
            registry=self.registry,
            buckets=_LATENCY_BUCKETS_S,
        )
        self.gauges = Gauge(
            "cactusmill_state", "Sizes and versions by name.", registry=self.registry
        )

        self.events = Gauge(
            "cactusmill_events",
            "Events since the start, as in the log lines.",
            registry=self.registry,
        )
        self.accounts = Gauge(
            "cactusmill_account",
            "Requests read, running and ended since the start.",
            registry=self.registry,
        )
        self.long_turns = Gauge(
            "cactusmill_long_turns",
            f"Turns of the event loop of {LONG_TURN_S} s or more, by what ran.",
            registry=self.registry,
        )

    def record_request(self, route, result, first_byte_s):
        """Count a request.

        Parameters
        ----------
        route : str
            Name of the route; empty if none matched.
        result : str
            ``"answered"`` or the type of the refusal.
        first_byte_s : float or None
            Time to first byte, in seconds; None if no response began.
        """
        self.requests.inc({"route": route, "result": result})
        if first_byte_s is not None:
            self.first_byte.observe({"route": route}, first_byte_s)

    def render(self, values, long_turns, events=None, accounts=None):
        """Return the metrics page in the Prometheus text format.

        Parameters
        ----------
        values : dict of str to float
            Current value of each gauge.
        long_turns : dict of str to int
            Number of long turns of the event loop, by what ran.
        events : dict of str to int or None
            Number of events since the start, by name.
        accounts : dict of str to Account or None
            Accounts of requests, by their source.

        Returns
        -------
        bytes
        """
        for name, value in values.items():
            self.gauges.set({"name": name}, value)
        for name, count in long_turns.items():
            self.long_turns.set({"ran": name}, count)
        for name, count in (events or {}).items():
            self.events.set({"event": name}, count)
        for source, account in (accounts or {}).items():
            for (state, reason), count in account.counts().items():
                labels = {"source": source, "state": state, "reason": reason}
                self.accounts.set(labels, count)
        return render(self.registry, ["text/plain"])[0]
