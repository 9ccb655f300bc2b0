"""Names and places of the hosts and endpoints of a run."""

import string

SERVICES = ("engines", "desk")
_ENDPOINT_PATTERN = ("engines", "desk", "engines")


def zones(cfg):
    """Return the region of each availability zone; two zones or more share one."""
    regions = ("east", "west", "north", "south", "middle")[: max(2, cfg.zones // 2)]
    return {
        f"{regions[i % len(regions)]}-{string.ascii_lowercase[i // len(regions)]}": (
            regions[i % len(regions)]
        )
        for i in range(cfg.zones)
    }


def hosts(cfg):
    """Return the zone of each host."""
    names = list(zones(cfg))
    return {f"host-{i + 1}": names[i % len(names)] for i in range(cfg.hosts)}


def endpoints(cfg):
    """Return zone and service of each endpoint."""
    names = list(zones(cfg))
    return {
        f"endpoint-{i + 1}": (
            names[i % len(names)],
            _ENDPOINT_PATTERN[i // len(names) % len(_ENDPOINT_PATTERN)],
        )
        for i in range(cfg.endpoints)
    }
