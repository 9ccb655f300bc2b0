"""Which routes are patient: their requests may wait longer than more urgent ones.

Answers the load pattern of a service whose urgent requests are large and whose less
urgent ones are small and may wait: judged by size and predicted start alone, the urgent
ones are refused first. The parts that order requests by rank apply to services with
patient routes only.
"""

import itertools
import operator

# A route is patient if its objective is at least this many times that of a more urgent
# route of the same engine service. Smaller ratios are common between routes that
# compete on equal terms.
PATIENCE_RATIO = 3.0


def find_patient_routes(routes, services):
    """Return the names of the patient routes of a configuration.

    Parameters
    ----------
    routes : iterable of Route
        Its routes. Only streams count.
    services : dict of str to Service
        Its services, by name. Only engines count.

    Returns
    -------
    frozenset of str
    """
    return frozenset(
        route.name
        for streams in _streams_by_service(routes, services).values()
        for route in _find_patient(streams)
    )


def find_ranked_services(routes, services):
    """Return the names of the services that have a patient route.

    Parameters are those of :func:`find_patient_routes`.

    Returns
    -------
    frozenset of str
    """
    return frozenset(
        service
        for service, streams in _streams_by_service(routes, services).items()
        if _find_patient(streams)
    )


def find_priority(team, route, service, configuration):
    """Return the priority of requests of a ranked service, or None to keep the usual.

    A team's priority takes precedence over its route's. Where all teams have the same
    one, it orders nothing, and taken for the request's own it would hide that of the
    route.

    Parameters
    ----------
    team : Team or None
        Team of the request.
    route : Route
        Its route.
    service : str
        Its service.
    configuration : Configuration
        The configuration in force.

    Returns
    -------
    int or None
    """
    if service not in configuration.ranked_services or team is None:
        return None
    priorities = configuration.team_priorities
    return route.priority if priorities == {team.priority} else None


def services_of(route):
    """Return the names of the services to which a route sends requests."""
    return [name for name, _ in route.split] or [route.service]


def _streams_by_service(routes, services):
    found = {}
    for route in routes:
        for name in services_of(route):
            if route.is_stream and name in services and services[name].is_engine:
                found.setdefault(name, []).append(route)
    return found


def _find_patient(streams):
    """Return the patient ones of the streams of a service."""
    patient, shortest_s = [], float("inf")
    priority_of = operator.attrgetter("priority")
    for _, group in itertools.groupby(sorted(streams, key=priority_of), priority_of):
        equal = list(group)
        patient += [r for r in equal if r.objective_s >= PATIENCE_RATIO * shortest_s]
        shortest_s = min(shortest_s, *(r.objective_s for r in equal))
    return patient
