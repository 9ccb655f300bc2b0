"""Which routes are patient, by what a configuration says of them."""

import pytest

from cactusmill.records import Route, Service
from cactusmill.serving.scheduling.patience import (
    find_patient_routes,
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
