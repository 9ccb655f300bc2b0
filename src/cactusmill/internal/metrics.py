"""Metrics of one host, in the Prometheus text format.

Labels carry names of routes, refusals and endpoints only: never a key, and
nothing of a caller's content.
"""

import attrs
from aioprometheus import Counter, Gauge, Histogram, Registry, render

_LATENCY_BUCKETS_S = [0.005, 0.02, 0.1, 0.25, 0.5, 0.82, 1.5, 3.0, 10.0]


@attrs.define
class Metrics:
    """The registry and the metrics in it."""

    registry: Registry = attrs.field(factory=Registry)
    requests: Counter = attrs.field(init=False)
    first_byte: Histogram = attrs.field(init=False)
    gauges: Gauge = attrs.field(init=False)
    events: Gauge = attrs.field(init=False)

    def __attrs_post_init__(self):
        """Create the metrics in the registry."""
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

    def record_request(self, route, result, first_byte_s):
        """Count a request.

        Parameters
        ----------
        route : str
            Name of the route.
        result : str
            ``"answered"`` or the refusal's type.
        first_byte_s : float or None
            Time until the answer began, in seconds.
        """
        self.requests.inc({"route": route, "result": result})
        if first_byte_s is not None:
            self.first_byte.observe({"route": route}, first_byte_s)

    def render(self, values, events=None):
        """Return the page for scrapers.

        Parameters
        ----------
        values : dict of str to float
            Present value of each gauge.
        events : dict of str to int or None
            How often each event happened.

        Returns
        -------
        bytes
        """
        for name, value in values.items():
            self.gauges.set({"name": name}, value)
        for name, count in (events or {}).items():
            self.events.set({"event": name}, count)
        return render(self.registry, ["text/plain"])[0]
