"""Schedule of the heartbeats inside a region, by its number of hosts.

A host sends each round to a bounded number of hosts, round robin. What one host knows
of another is therefore older the more hosts there are, and how long it stays valid
follows from the same schedule.

All times are in seconds.
"""

# Interval of heartbeats to hosts of the sender's region. An estimate of an endpoint's
# load is stale after about the time of one prompt's prefill.
REGION_HEARTBEAT_S = 0.15
# Maximum number of receivers of a round, so that the cost of gossip per host does not
# grow with the number of hosts.
MAX_REGION_RECEIVERS = 12


def count_rounds(region_hosts):
    """Return in how many rounds a host sends to all other hosts of its region.

    Parameters
    ----------
    region_hosts : int
        Number of hosts of the region, including the sender.
    """
    return max(1, -(-(region_hosts - 1) // MAX_REGION_RECEIVERS))
