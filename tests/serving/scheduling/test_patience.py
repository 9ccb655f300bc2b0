"""Which routes are patient, by what a configuration says of them."""

import pytest

from cactusmill.records import Route, Service, Team
from cactusmill.serving.catalog import Configuration
from cactusmill.serving.scheduling.patience import (
    find_patient_routes,
    find_priority,
    find_ranked_services,
)

SERVICES = {
    "engines": Service(name="engines", is_engine=True),
    "desk": Service(name="desk"),
}


def stream(name, priority, objective_s, **fields):
    fields = {"service": "engines", "is_stream": True, **fields}
    return Route(
        name=name,
        prefix=f"/{name}/",
        kind="model",
        priority=priority,
        objective_s=objective_s,
        **fields,
    )


QUOTE = stream("quote", 0, 1.0)


@pytest.mark.parametrize(
    ("route", "is_patient"),
    [
        (stream("question", 2, 4.0), True),
        (stream("question", 2, 3.0), True),
        (stream("question", 2, 2.9), False),
        (stream("question", 0, 4.0), False),
        (stream("question", 2, 4.0, service="", split=(("engines", 1.0),)), True),
        (stream("question", 2, 4.0, service="desk"), False),
        (stream("question", 2, 4.0, is_stream=False), False),
        (stream("question", 2, 4.0, service="unknown"), False),
    ],
)
def test_route_is_patient_beside_a_more_urgent_stream_of_its_engines(route, is_patient):
    routes = (QUOTE, route)
    assert find_patient_routes(routes, SERVICES) == (
        {"question"} if is_patient else set()
    )
    assert find_ranked_services(routes, SERVICES) == (
        {"engines"} if is_patient else set()
    )


def test_routes_of_equal_patience_rank_no_service():
    routes = (stream("plan", 1, 0.8), stream("question", 0, 0.8))
    assert not find_ranked_services(routes, SERVICES)


def team(name, priority):
    return Team(name=name, rate_tokens_per_s=1.0, burst_tokens=1.0, priority=priority)


def priorities(routes, teams):
    """Return the priorities of the requests of each team, by route."""
    configuration = Configuration(
        version=1,
        routes=routes,
        teams={t.name: t for t in teams},
        team_by_key={},
        services=SERVICES,
        limits=None,
        team_priorities=frozenset(t.priority for t in teams),
    )
    return [
        [find_priority(t, r, "engines", configuration) for r in routes] for t in teams
    ]


QUESTION = stream("question", 2, 4.0)


def test_route_decides_where_all_teams_have_the_same_priority():
    """Guards against patient requests that count as urgent by their team's priority."""
    teams = [team("red", 1), team("blue", 1)]
    assert priorities((QUOTE, QUESTION), teams) == [[0, 2], [0, 2]]


def test_team_decides_where_priorities_of_teams_differ():
    teams = [team("red", 1), team("blue", 0)]
    assert priorities((QUOTE, QUESTION), teams) == [[None, None], [None, None]]


def test_priorities_of_services_that_are_not_ranked_stay():
    routes = (stream("plan", 1, 0.8), stream("question", 0, 0.8))
    assert priorities(routes, [team("red", 1)]) == [[None, None]]
