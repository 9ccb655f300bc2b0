"""Configurations that a run publishes: the first one, and each change of it."""

import copy

from standins.loopback import configuration

from . import places

TEAMS = ("hot", "red", "blue")
_HOT_RATE_PER_S, _HOT_BURST = 1500, 3000
_NEAR_DEADLINE = 0.9
# What a change may do, and how it is drawn.
CHANGES = ("route", "timeout", "priority", "idle", "add_key", "withdraw_key", "none")


def first_configuration(cfg):
    """Return the configuration with which a run begins.

    Parameters
    ----------
    cfg : SoakSettings
        Settings of the run.
    """
    regions = sorted(set(places.zones(cfg).values()))
    timeout_ms = int(cfg.deadline_s * 1000)
    published = configuration()
    for route in published["routes"]:
        route["timeout_ms"] = timeout_ms
        if "allowed_regions" in route:
            route["allowed_regions"] = regions[:1]
    chat = published["routes"][0]
    published["routes"] += [
        {**chat, "name": f"chat-{n}", "path_prefix": f"/chat-{n}/", "max_attempts": n}
        for n in (1, 3)
    ]
    published["tenants"] = [_team(name) for name in TEAMS]
    return published


def _team(name):
    is_hot = name == "hot"
    return {
        "name": name,
        "api_keys": [f"key-of-{name}"],
        "rate_per_s": _HOT_RATE_PER_S if is_hot else 1_000_000,
        "burst": _HOT_BURST if is_hot else 1_000_000,
        "plain_tokens": 200,
    }


def draw_change(rng):
    """Draw a change, as the details of a fault."""
    return {"change": rng.choice(CHANGES), "draw": rng.random()}


def apply_change(published, details, deadline_s):
    """Return the next configuration.

    Parameters
    ----------
    published : dict
        The present one; it is left as it is.
    details : dict
        A change of :func:`draw_change`.
    deadline_s : float
        Longest time-out of a route, in seconds.
    """
    changed = copy.deepcopy(published)
    changed["version"] += 1 + int(details["draw"] * 3)
    change, draw = details["change"], details["draw"]
    route = changed["routes"][int(draw * len(changed["routes"]))]
    team = changed["tenants"][int(draw * len(TEAMS))]
    if change == "route":
        extra = [r for r in changed["routes"] if r["name"].startswith("extra")]
        if extra:
            changed["routes"].remove(extra[0])
        else:
            look = next(r for r in changed["routes"] if r["name"] == "look")
            changed["routes"].append({**look, "name": "extra", "path_prefix": "/x/"})
    elif change == "timeout":
        share = _NEAR_DEADLINE + (1 - _NEAR_DEADLINE) * draw
        route["timeout_ms"] = int(deadline_s * 1000 * share)
    elif change == "priority":
        route["priority"] = int(draw * 9)
    elif change == "idle":
        changed["limits"]["idle_timeout_ms"] = 3000 + int(draw * 6000)
    elif change == "add_key":
        team["api_keys"].append(f"key-of-{team['name']}-{changed['version']}")
    elif change == "withdraw_key" and len(team["api_keys"]) > 1:
        del team["api_keys"][1]
    return changed


def keys_by_team(published):
    """Return the valid keys of each team."""
    return {t["name"]: list(t["api_keys"]) for t in published["tenants"]}
