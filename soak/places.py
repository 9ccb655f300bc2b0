"""Names and places of the hosts and endpoints of a run."""

_ENDPOINT_PATTERN = ("engines", "desk", "engines")


def zones(cfg):
    """Return the region of each availability zone, which is one of its own."""
    return {f"zone-{n}": f"region-{n}" for n in range(1, cfg.zones + 1)}


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
