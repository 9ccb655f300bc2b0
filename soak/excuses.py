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
# A request sent this long after SIGTERM may be at work when the grace time ends.
LAST_REQUEST_S = 3.0
# An endpoint's own lateness in telling the time.
CLOCK_SLACK_S = 0.05


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
    """

    on: str = ""
    page: str = ""
    min_s: float = 0.0


_TOUCH = "RULES.md, In touch (1)"
_SOUND = "RULES.md, LOST: the worker broke off"
_SILENT = "docs/design/time-limits.md: silences of 2 s or more"
_CORE = "RULES.md, In touch (2)"
EFFECTS = {
    "host_pause": Effect("host", _TOUCH),
    "host_kill": Effect("host", _TOUCH),
    "host_restart": Effect("host", _TOUCH),
    "host_term": Effect(),
    "host_reload": Effect(),
    "endpoint_pause": Effect("endpoint", _SILENT, MIN_SILENCE_S),
    "endpoint_kill": Effect("endpoint", _SOUND),
    "endpoint_leave": Effect(),
    "endpoint_cold": Effect(),
    "endpoint_crash": Effect("endpoint", _SOUND),
    "endpoint_break_off": Effect("endpoint", _SOUND),
    "endpoint_spoil": Effect("endpoint", _SOUND),
    "link_delay": Effect(),
    "link_reset": Effect("link", _TOUCH),
    "link_one_way": Effect("link", _TOUCH),
    "link_silence": Effect("link", _TOUCH, MIN_SILENCE_S),
    "link_loss": Effect("link", _TOUCH),
    "region_part": Effect("link", _TOUCH),
    "store_down": Effect("store", _CORE),
    "store_slow": Effect("store", _CORE),
    "store_stale": Effect("store", _CORE),
    "store_forget": Effect("store", _CORE),
    "store_turn_away": Effect("store", _CORE),
    "store_copy": Effect("store", _CORE),
    "configuration": Effect(),
    "key_give": Effect(),
    "key_withdraw": Effect(),
    "zone_evacuate": Effect(),
}


class Excuses:
    """Strikes of a history, looked up by whom they excuse.

    Parameters
    ----------
    history : History
    """

    def __init__(self, history):
        self._zones = history.settings.get("host_zones", {})
        self._regions = history.settings.get("zone_regions", {})
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

    def on_store(self, since, until):
        """Return what disturbs the store, or an empty string."""
        return self._find(("store",), None, since, until)

    def in_touch(self, host, at):
        """Return whether a host has been in touch at a moment."""
        since = at - STABLE_S
        is_leaving = any(
            host in s.targets and since <= s.began_at <= at
            for s in self.of_kind("host_term")
        )
        disturbed = self.on_host(host, since, at) or self.on_store(since, at)
        return not is_leaving and not disturbed

    def _find(self, on, places, since, until, is_endpoint=False):
        for strike in self.strikes:
            effect = EFFECTS.get(strike.kind, Effect())
            end = math.inf if strike.ended_at is None else strike.ended_at
            is_hit = places is None or not places.isdisjoint(strike.targets)
            if effect.on not in on or not is_hit:
                continue
            if is_endpoint and end - strike.began_at < effect.min_s:
                continue
            if strike.began_at <= until and end >= since:
                target = ", ".join(strike.targets)
                return f"{strike.kind} of {target} ({effect.page})"
        return ""
