"""What a strike of the soak excuses, each with the page that says so.

Excuses follow only from the strikes that were carried out. Configurations, evacuations,
reloads and silences of endpoints of under 2 s excuse nothing.
"""

import collections
import math

import attrs

STABLE_S = 6.0
CONFIG_APPLY_S = 4.0
LOSS_SLACK_S = 0.2
LATE_SLACK_S = 0.5
MIN_SILENCE_S = 2.0
# A caller that takes no bytes is cut after this (docs/design/time-limits.md).
READER_S = 4.0
# A request sent this long after SIGTERM may be at work when the grace time ends.
LAST_REQUEST_S = 3.0
# An endpoint's own lateness in telling the time.
CLOCK_SLACK_S = 0.05
# The soak sees the end of a process this late at most.
EXIT_SLACK_S = 0.2


@attrs.frozen
class Effect:
    """What a kind of fault does to those whom it strikes.

    Attributes
    ----------
    on : str
        ``"host"``, ``"endpoint"``, ``"link"`` (both), ``"store"``, or empty if it
        excuses nothing.
    page : str
        The page and rule from which its excuse follows.
    min_s : float
        What it must last to be an excuse at endpoints, in seconds.
    is_from_exit : bool
        Whether it begins to be an excuse when the target's process has ended.
    """

    on: str = ""
    page: str = ""
    min_s: float = 0.0
    is_from_exit: bool = False


_TOUCH = "RULES.md, In touch (1)"
_SOUND = "RULES.md, LOST: the worker broke off"
_SILENT = "docs/design/time-limits.md: silences of 2 s or more"
_CORE = "RULES.md, In touch (2)"
EFFECTS = {
    "endpoint_pause": Effect("endpoint", _SILENT, MIN_SILENCE_S),
    "configuration": Effect(),
    "host_term": Effect(),
    "rolling_restart": Effect(),
    "host_kill": Effect("host", _TOUCH),
    "host_pause": Effect("host", _TOUCH),
    "host_reload": Effect(),
    "endpoint_kill": Effect("endpoint", _SOUND),
    "endpoint_leave": Effect("endpoint", _SOUND, is_from_exit=True),
    "endpoint_crash": Effect("endpoint", _SOUND),
    "endpoint_break_off": Effect("endpoint", _SOUND),
    "endpoint_spoil": Effect("endpoint", _SOUND),
    "endpoint_lose": Effect("endpoint", _SOUND),
    "endpoint_slow": Effect(),
    "store_down": Effect("store", _CORE),
    "store_slow": Effect("store", _CORE),
    "store_stale": Effect("store", _CORE),
    "store_forget": Effect("store", _CORE),
    "store_turn_away": Effect("store", "RULES.md, In touch (3)"),
    "store_copy": Effect("store", _CORE),
    "zone_evacuate": Effect(),
    # These need proxies.
    "link_delay": Effect(),
    "link_reset": Effect("link", _TOUCH),
    "link_one_way": Effect("link", _TOUCH, MIN_SILENCE_S),
    "link_silence": Effect("link", _TOUCH, MIN_SILENCE_S),
    "region_part": Effect("link", _TOUCH),
}
_HOLDS_UP = ("endpoint_pause", "link_delay", "link_one_way", "link_silence")


class Excuses:
    """Strikes of a history, looked up by whom they excuse.

    Parameters
    ----------
    history : History
    """

    def __init__(self, history):
        self._zones = history.settings.get("host_zones", {})
        self._regions = history.settings.get("zone_regions", {})
        self._exits = history.exits
        self.strikes = sorted(history.strikes, key=lambda s: s.began_at)
        self.runs = collections.defaultdict(list)
        for run in sorted(history.runs, key=lambda r: r.received_at):
            self.runs[run.request_id].append(run)
        self._places = {
            r.endpoint: {r.endpoint, r.zone, r.region} for r in history.runs
        }

    def of_kind(self, *kinds):
        """Return the strikes of some kinds, in the order of their begin."""
        return [s for s in self.strikes if s.kind in kinds]

    def region_of(self, host):
        """Return the region of a host, or an empty string."""
        return self._regions.get(self._zones.get(host, ""), "")

    def on_host(self, host, since, until):
        """Return what excuses a host for a time, or an empty string."""
        zone = self._zones.get(host, "")
        places = {host, zone, self._regions.get(zone, "")} - {""}
        return self._find(("host", "link"), places, since, until)

    def on_region(self, region, since, until):
        """Return what excuses some host of a region, or an empty string."""
        hosts = {h for h in self._zones if self.region_of(h) == region}
        zones = {self._zones[h] for h in hosts}
        return self._find(("host", "link"), hosts | zones | {region}, since, until)

    def on_endpoints(self, endpoints, since, until):
        """Return what excuses endpoints, or any if None, or an empty string."""
        places = None
        if endpoints is not None:
            places = set().union(*(self._places.get(e, {e}) for e in endpoints))
        return self._find(("endpoint", "link"), places, since, until, is_endpoint=True)

    def held_up(self, run, since, until):
        """Return whether an endpoint stood still or was out of reach for a time.

        It then reads requests and closes late (RULES.md, Held up), however short that
        was.
        """
        return any(
            self._places[run.endpoint] & set(strike.targets)
            and strike.began_at <= until
            and (strike.ended_at is None or strike.ended_at >= since)
            for strike in self.of_kind(*_HOLDS_UP, "region_part")
        )

    def on_store(self, host, since, until):
        """Return what disturbs a host's use of the store, or an empty string."""
        return self._find(("store",), {"store", host}, since, until)

    def in_touch(self, host, at):
        """Return whether a host has been in touch at a moment."""
        since = at - STABLE_S
        is_leaving = any(
            host in s.targets and since <= s.began_at <= at
            for s in self.of_kind("host_term")
        )
        disturbed = self.on_host(host, since, at) or self.on_store(host, since, at)
        return not is_leaving and not disturbed

    def _find(self, on, places, since, until, is_endpoint=False):
        for strike in self.strikes:
            effect = EFFECTS.get(strike.kind, Effect())
            is_hit = places is None or not places.isdisjoint(strike.targets)
            if effect.on not in on or not is_hit:
                continue
            begin, end = self._span(strike, effect)
            if is_endpoint and end - begin < effect.min_s:
                continue
            if begin <= until and end >= since:
                target = ", ".join(strike.targets)
                return f"{strike.kind} of {target} ({effect.page})"
        return ""

    def _span(self, strike, effect):
        """Return when a strike's effect begins and ends."""
        end = math.inf if strike.ended_at is None else strike.ended_at
        if not effect.is_from_exit:
            return strike.began_at, end
        exits = (
            e.at - EXIT_SLACK_S
            for e in self._exits
            if e.name in strike.targets and strike.began_at <= e.at <= end
        )
        return next(exits, math.inf), end


def list_configurations(history):
    """Return when each configuration was acknowledged, and what it holds."""
    return [
        (strike.began_at, strike.details["configuration"])
        for strike in sorted(history.strikes, key=lambda s: s.began_at)
        if strike.kind == "configuration" and "configuration" in strike.details
    ]


def in_force(configurations, sent_at, until):
    """Return the configurations by which a request may be handled."""
    begun = [cfg for at, cfg in configurations if at <= sent_at - CONFIG_APPLY_S]
    later = [cfg for at, cfg in configurations if sent_at - CONFIG_APPLY_S < at < until]
    return begun[-1:] + later


def allows(cfg, route, key):
    """Return whether a configuration allows a route with a key."""
    keys = {k for team in cfg["tenants"] for k in team["api_keys"]}
    return any(
        r["name"] == route and (r.get("public") or key in keys) for r in cfg["routes"]
    )
