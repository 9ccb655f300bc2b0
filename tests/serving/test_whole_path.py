"""End-to-end behaviour of hosts, endpoints and a store on loopback."""

import attrs
import h11
import pytest
import trio

from cactusmill.errors import NoEndpoint
from cactusmill.internal.http import client_connection, header, read_body
from cactusmill.platform.directory import respond
from cactusmill.serving import edge
from cactusmill.serving.gateway_host import DRAIN_S
from standins.loopback import (
    KEY,
    configuration,
    event,
    not_executed,
    running_deployment,
    send_request_on,
)

EAST = (("e1", "east-a"),)
BOTH = (("e1", "east-a"), ("w1", "west-a"))
ENDPOINTS = (
    ("engine-1", "east-a", "engines"),
    ("engine-2", "east-a", "engines"),
    ("desk-1", "east-a", "desk"),
)
COMPLETE_STREAM = b"".join(event(n) for n in range(1, 6))


def on_deployment(scenario, **deployment):
    """Run a scenario on a loopback deployment."""

    async def main():
        with trio.fail_after(20):
            async with running_deployment(**deployment) as running:
                await scenario(running)

    trio.run(main)


@pytest.mark.parametrize("route", ["order", "look"])
def test_plain_responses_are_complete_and_signed(route):
    async def scenario(deployment):
        reply = await deployment.send_request("e1", f"/{route}/1", body=b"x" * 500)
        assert reply.status == 200 and reply.is_complete
        assert reply.body == b"desk-1 ran r-1"
        assert reply.header(b"response-signature") == "signed-by-desk-1"

    on_deployment(scenario, endpoints=ENDPOINTS)


@pytest.mark.parametrize("route", ["chat", "draft"])
def test_streams_are_complete(route):
    async def scenario(deployment):
        reply = await deployment.send_request("e1", f"/{route}/1", model="m")
        assert reply.body == COMPLETE_STREAM and reply.is_complete

    on_deployment(scenario, endpoints=ENDPOINTS)


def test_endpoint_receives_team_and_deadline_but_no_key():
    async def scenario(deployment):
        forged = [("tenant", "blue"), ("kv-hold", "h"), ("request-priority", "0")]
        await deployment.send_request("e1", "/look/1", extra=forged)
        seen = dict(deployment.endpoints["desk-1"].received[0].headers)
        assert seen[b"tenant"] == b"red"
        assert seen[b"expect-instance"] == b"desk-1"
        assert 0 < int(seen[b"deadline-ms"]) <= 2500
        assert b"kv-hold" not in seen and b"authorization" not in seen
        assert KEY.encode() not in b"".join(seen.values())

    on_deployment(scenario, endpoints=ENDPOINTS)


@pytest.mark.parametrize(
    ("path", "key", "status"),
    [("/none/1", KEY, 404), ("/look/1", "wrong", 401), ("/look/1", "", 401)],
)
def test_unknown_routes_and_keys_are_refused(path, key, status):
    async def scenario(deployment):
        assert (await deployment.send_request("e1", path, key=key)).status == status
        assert not deployment.endpoints["desk-1"].runs

    on_deployment(scenario, endpoints=ENDPOINTS)


def test_host_without_configuration_refuses_with_retry_after():
    async def scenario(deployment):
        host = deployment.hosts["e1"]
        host.catalog.configuration = None
        reply = await deployment.send_request("e1", "/look/1")
        assert reply.status == 503 and float(reply.header(b"retry-after")) > 0

    on_deployment(scenario, endpoints=ENDPOINTS)


def test_interrupted_at_most_once_request_is_not_sent_again():
    async def crash(endpoint, conn, request):
        await read_body(conn, 10**6)
        endpoint.runs.append(header(request.headers, b"request-id"))
        return False

    async def scenario(deployment):
        desk = deployment.endpoints["desk-1"]
        desk.handler = crash
        reply = await deployment.send_request("e1", "/order/1")
        # Neither 429 nor 503, which would say that it did not run.
        assert reply.status == 502
        assert desk.runs == ["r-1"]

    on_deployment(scenario, endpoints=ENDPOINTS)


def test_rejected_at_most_once_request_is_refused_as_not_run():
    async def scenario(deployment):
        deployment.endpoints["desk-1"].handler = not_executed
        reply = await deployment.send_request("e1", "/order/1")
        assert reply.status == 503 and float(reply.header(b"retry-after")) > 0

    on_deployment(scenario, endpoints=ENDPOINTS)


def test_repeatable_request_is_retried():
    async def fail_once(endpoint, conn, request):
        endpoint.handler = None
        await read_body(conn, 10**6)
        head = endpoint.head(request, status=500, extra=[("content-length", "0")])
        await conn.send(head, h11.EndOfMessage())
        return True

    async def scenario(deployment):
        deployment.endpoints["desk-1"].handler = fail_once
        assert (await deployment.send_request("e1", "/look/1")).status == 200

    on_deployment(scenario, endpoints=ENDPOINTS)


@pytest.mark.parametrize("cut", [b"", b"id: 4\nda"])
def test_resumable_stream_resumes_after_its_last_complete_event(cut):
    async def interrupt(endpoint, conn, request):
        await endpoint.run(conn, request, last_event=3)
        if cut:
            await conn.send(h11.Data(data=cut))
        return False

    async def scenario(deployment):
        engines = [deployment.endpoints["engine-1"], deployment.endpoints["engine-2"]]
        for engine in engines:
            engine.handler = interrupt
        # Only the first attempt is interrupted.
        original = interrupt

        async def first_only(endpoint, conn, request):
            for engine in engines:
                engine.handler = None
            return await original(endpoint, conn, request)

        for engine in engines:
            engine.handler = first_only
        reply = await deployment.send_request("e1", "/chat/1", model="m")
        assert reply.body == COMPLETE_STREAM and reply.is_complete
        first = next(e for e in engines if e.runs[0] == "r-1")
        assert reply.header(b"response-signature") in {
            f"signed-by-{e.name}" for e in engines
        }
        assert first.runs

    on_deployment(scenario, endpoints=ENDPOINTS)


def test_stream_that_is_not_resumable_ends_truncated():
    async def interrupt(endpoint, conn, request):
        await endpoint.run(conn, request, last_event=3)
        return False

    async def scenario(deployment):
        for name in ("engine-1", "engine-2"):
            deployment.endpoints[name].handler = interrupt
        reply = await deployment.send_request("e1", "/draft/1", model="m")
        assert not reply.is_complete
        runs = (
            deployment.endpoints["engine-1"].runs
            + deployment.endpoints["engine-2"].runs
        )
        assert runs == ["r-1"]

    on_deployment(scenario, endpoints=ENDPOINTS)


def test_late_response_to_another_request_is_skipped():
    async def scenario(deployment):
        desk = deployment.endpoints["desk-1"]

        async def extra_first(endpoint, conn, request):
            endpoint.handler = None
            head = endpoint.head(request, extra=[("content-length", "5")])
            stray = h11.Connection(h11.SERVER)
            stray.receive_data(b"GET / HTTP/1.1\r\nhost: x\r\n\r\n")
            stray.next_event()
            late = h11.Response(
                status_code=200,
                headers=[
                    ("request-id", "another"),
                    ("response-signature", "s"),
                    ("content-length", "3"),
                ],
            )
            data = b"".join(
                stray.send(e) for e in (late, h11.Data(data=b"bad"), h11.EndOfMessage())
            )
            await conn.stream.send_all(data)
            await read_body(conn, 10**6)
            await conn.send(head, h11.Data(data=b"right"), h11.EndOfMessage())
            return True

        desk.handler = extra_first
        reply = await deployment.send_request("e1", "/order/1")
        assert reply.status == 200 and reply.body == b"right"

    on_deployment(scenario, endpoints=ENDPOINTS)


def test_success_without_signature_does_not_reach_the_caller():
    async def unsigned(endpoint, conn, request):
        await read_body(conn, 10**6)
        await conn.send(
            h11.Response(
                status_code=200, headers=[("content-length", "2"), ("x", "y")]
            ),
            h11.Data(data=b"hi"),
            h11.EndOfMessage(),
        )
        return True

    async def scenario(deployment):
        deployment.endpoints["desk-1"].handler = unsigned
        assert (await deployment.send_request("e1", "/order/1")).status == 502

    on_deployment(scenario, endpoints=ENDPOINTS)


def test_early_response_to_a_long_body_leaves_no_bytes_for_the_next():
    bodies_received = []

    async def early(endpoint, conn, request):
        endpoint.handler = None
        head = endpoint.head(request, status=413, extra=[("content-length", "0")])
        await conn.send(head, h11.EndOfMessage())
        await trio.sleep(0.2)
        bodies_received.append(await read_body(conn, 10**6))
        return True

    async def scenario(deployment):
        deployment.endpoints["desk-1"].handler = early
        reply = await deployment.send_request("e1", "/order/1", body=b"x" * 90_000)
        assert reply.status == 413
        again = await deployment.send_request(
            "e1", "/order/2", request_id="r-2", body=b"y" * 10
        )
        assert again.body == b"desk-1 ran r-2"
        assert bodies_received in ([], [b"x" * 90_000])

    on_deployment(scenario, endpoints=ENDPOINTS)


def test_disconnect_of_the_caller_cancels_its_request():
    async def scenario(deployment):
        engine = deployment.endpoints["engine-1"]
        other = deployment.endpoints["engine-2"]
        for endpoint in (engine, other):
            endpoint.event_gap_s, endpoint.events = 0.2, 100
        host = deployment.hosts["e1"]
        stream = await deployment.connect("e1")
        async with trio.open_nursery() as nursery:
            nursery.start_soon(_stream_until_cancelled, stream)
            await deployment.wait_until(lambda: engine.runs or other.runs)
            nursery.cancel_scope.cancel()
        await trio.aclose_forcefully(stream)
        await deployment.wait_until(lambda: not host.busy_connections, 0.5)
        assert all(not v.in_flight for v in host.placement._views.values())

    on_deployment(scenario, endpoints=ENDPOINTS)


async def _stream_until_cancelled(stream):
    await send_request_on(client_connection(stream), "/chat/1", model="m")


def test_region_restricted_request_is_forwarded_to_its_region():
    async def scenario(deployment):
        reply = await deployment.send_request("e1", "/bound/1")
        assert reply.body == b"desk-w ran r-1"
        assert not deployment.endpoints["desk-1"].received

    on_deployment(
        scenario, hosts=BOTH, endpoints=(*ENDPOINTS, ("desk-w", "west-a", "desk"))
    )


def test_region_restricted_request_is_refused_without_its_region():
    async def scenario(deployment):
        reply = await deployment.send_request("e1", "/bound/1")
        assert reply.status == 503
        assert not deployment.endpoints["desk-1"].received

    on_deployment(scenario, endpoints=ENDPOINTS)


def test_disconnect_of_the_caller_cancels_a_forwarded_stream():
    async def scenario(deployment):
        engine = deployment.endpoints["engine-w"]
        engine.event_gap_s, engine.events = 0.2, 100
        remote = deployment.hosts["w1"]
        stream = await deployment.connect("e1")
        async with trio.open_nursery() as nursery:
            nursery.start_soon(_stream_until_cancelled, stream)
            await deployment.wait_until(lambda: engine.runs)
            nursery.cancel_scope.cancel()
        await trio.aclose_forcefully(stream)
        view = remote.placement.view("engine-w")
        await deployment.wait_until(lambda: view.in_flight == 0, 0.5)

    on_deployment(scenario, hosts=BOTH, endpoints=(("engine-w", "west-a", "engines"),))


def test_configuration_is_applied_and_never_reverts():
    async def scenario(deployment):
        host = deployment.hosts["e1"]
        deployment.store.put("op/config", configuration(5, tenants=[]))
        await deployment.wait_until(
            lambda: host.catalog.configuration.version == 5, 1.0
        )
        deployment.store.put("op/config", configuration(3))
        deployment.store.put("servers/marker", b"no entry")
        await trio.sleep(0.2)
        assert host.catalog.configuration.version == 5

    on_deployment(scenario, endpoints=ENDPOINTS)


def test_withdrawn_key_is_refused_on_an_open_connection():
    async def scenario(deployment):
        host = deployment.hosts["e1"]
        stream = await deployment.connect("e1")
        conn = client_connection(stream)
        assert (await send_request_on(conn, "/look/1")).status == 200
        conn.h11.start_next_cycle()
        tenants = configuration()["tenants"]
        tenants[0]["api_keys"] = ["another"]
        deployment.store.put("op/config", configuration(2, tenants=tenants))
        await deployment.wait_until(
            lambda: host.catalog.configuration.version == 2, 1.0
        )
        assert (await send_request_on(conn, "/look/2", request_id="r-2")).status == 401

    on_deployment(scenario, endpoints=ENDPOINTS)


def test_draining_and_evacuated_endpoints_get_no_requests():
    async def scenario(deployment):
        host = deployment.hosts["e1"]
        deployment.store.put(
            "servers/engine-1", deployment.endpoints["engine-1"].entry(state="draining")
        )
        await deployment.wait_until(
            lambda: (
                len(
                    host.placement.eligible_endpoints(
                        host.catalog, "engines", host.now()
                    )
                )
                == 1
            ),
            1.0,
        )
        for number in range(6):
            await deployment.send_request(
                "e1", "/chat/1", request_id=f"r-{number}", model="m"
            )
        assert not deployment.endpoints["engine-1"].received
        deployment.store.put("op/evacuate/east-a", {})
        await deployment.wait_until(lambda: host.catalog.is_evacuated("east-a"), 1.0)
        reply = await deployment.send_request(
            "e1", "/chat/1", request_id="r-9", model="m"
        )
        assert reply.status == 503
        deployment.store.remove("op/evacuate/east-a")
        await deployment.wait_until(
            lambda: not host.catalog.is_evacuated("east-a"), 1.0
        )
        reply = await deployment.send_request(
            "e1", "/chat/1", request_id="r-10", model="m"
        )
        assert reply.status == 200

    on_deployment(scenario, endpoints=ENDPOINTS)


def test_unreadable_entries_do_not_affect_others():
    async def scenario(deployment):
        deployment.store.put("servers/bad-1", b"\xff\xfe")
        deployment.store.put("servers/bad-2", {"service": 3})
        deployment.store.put("op/other", b"?")
        deployment.store.put("op/config", configuration(2))
        host = deployment.hosts["e1"]
        await deployment.wait_until(
            lambda: host.catalog.configuration.version == 2, 1.0
        )
        assert (await deployment.send_request("e1", "/look/1")).status == 200

    on_deployment(scenario, endpoints=ENDPOINTS)


def test_compacted_history_leads_to_a_new_listing():
    async def scenario(deployment):
        host = deployment.hosts["e1"]
        deployment.store.is_down = True
        deployment.store.put("op/config", configuration(4))
        deployment.store.remove("servers/engine-1")
        deployment.store.compact_history()
        deployment.store.is_down = False
        await deployment.wait_until(
            lambda: host.catalog.configuration.version == 4, 5.0
        )
        await deployment.wait_until(
            lambda: (
                len(
                    host.placement.eligible_endpoints(
                        host.catalog, "engines", host.now()
                    )
                )
                == 1
            ),
            3.0,
        )

    on_deployment(scenario, endpoints=ENDPOINTS)


def test_host_keeps_serving_while_the_store_is_down():
    async def scenario(deployment):
        deployment.store.is_down = True
        await trio.sleep(0.2)
        assert (await deployment.send_request("e1", "/look/1")).status == 200

    on_deployment(scenario, endpoints=ENDPOINTS)


def test_host_without_store_gets_changes_from_other_hosts():
    async def scenario(deployment):
        deployment.hosts_without_store.add("e1")
        host = deployment.hosts["e1"]
        deployment.store.put("op/config", configuration(6, tenants=[]))
        deployment.store.remove("servers/desk-1")
        await deployment.wait_until(
            lambda: host.catalog.configuration.version == 6, 6.0
        )
        assert not host.placement.eligible_endpoints(
            host.catalog, "desk", host.now(), 0.0
        )

    on_deployment(scenario, hosts=BOTH, endpoints=ENDPOINTS)


def test_other_endpoint_at_a_reused_address_does_not_run_the_request():
    async def scenario(deployment):
        endpoint = deployment.endpoints["desk-1"]
        deployment.store.put("servers/desk-old", endpoint.entry())
        deployment.store.remove("servers/desk-1")
        host = deployment.hosts["e1"]
        await deployment.wait_until(
            lambda: (
                [
                    e.endpoint.name
                    for e in host.placement.eligible_endpoints(
                        host.catalog, "desk", host.now()
                    )
                ]
                == ["desk-old"]
            ),
            1.0,
        )
        reply = await deployment.send_request("e1", "/order/1")
        assert reply.status == 503 and not endpoint.runs

    on_deployment(scenario, endpoints=ENDPOINTS)


def test_lost_responses_of_a_live_endpoint_make_no_crash_suspects():
    # Incident: responses were lost by connection resets, and valid requests were
    # refused as if they had crashed two endpoints.
    async def reset(endpoint, conn, request):
        await read_body(conn, 10**6)
        return False

    async def scenario(deployment):
        desk = deployment.endpoints["desk-1"]
        desk.handler = reset
        for number in range(4):
            reply = await deployment.send_request(
                "e1", "/order/1", request_id=f"r-{number}"
            )
            assert reply.status == 502
        desk.handler = None
        reply = await deployment.send_request("e1", "/order/1", request_id="r-9")
        assert reply.status == 200

    on_deployment(scenario, endpoints=ENDPOINTS)


def test_request_that_crashes_endpoints_is_blocked_everywhere():
    async def scenario(deployment):
        async def crash_endpoint(endpoint, conn, request):
            await read_body(conn, 10**6)
            deployment.scopes[endpoint.name].cancel()
            return False

        for endpoint in deployment.endpoints.values():
            endpoint.handler = crash_endpoint
        for number in range(4):
            await deployment.send_request(
                "e1", "/chat/1", request_id=f"r-{number}", model="m"
            )
        (request,) = deployment.hosts["e1"].containment.convictions.held
        await deployment.wait_until(
            lambda: request in deployment.hosts["w1"].containment.convictions.held, 2.0
        )

    engines = [(f"engine-{n}", "east-a", "engines") for n in range(4)]
    on_deployment(scenario, hosts=BOTH, endpoints=engines)


def test_new_process_holds_requests_until_other_regions_are_known():
    # Incident: after a power loss, hosts of a region without endpoints refused
    # requests for 1.5 s that other regions would have run.
    async def scenario(deployment):
        remote = deployment.hosts["w1"]
        host = await deployment.add_host("e2", "east-a", 3, seeds=[2])
        await deployment.wait_until(lambda: host.catalog.configuration)
        reply = await deployment.send_request("e2", "/bound/1")
        assert reply.status == 200 and remote.membership.known()

    on_deployment(scenario, hosts=BOTH, endpoints=(("desk-w", "west-a", "desk"),))


def test_directory_returns_hosts_of_the_callers_region():
    async def scenario(deployment):
        now = deployment.hosts["e1"].now()
        east = deployment.hosts["e1"].hosts_for_callers("api.example", "east", now)
        west = deployment.hosts["e1"].hosts_for_callers("api.example", "west", now)
        assert east == [deployment.hosts["e1"].cfg.callers]
        assert west == [deployment.hosts["w1"].cfg.callers]

    on_deployment(scenario, hosts=BOTH)


@pytest.mark.parametrize(
    "region_lists", [(["west"],), (["west", "east"], ["west"], ["north"])]
)
def test_directory_falls_back_to_permitted_regions_of_the_routes(region_lists):
    # While all hosts of a region restarted, its callers were directed to a region in
    # which their routes may not run. The second time, the routes under the name had
    # no permitted region in common.
    async def scenario(deployment):
        deployment.hosts["e1"].is_leaving = True
        await deployment.wait_until(
            lambda: (
                not deployment.hosts["n1"].membership.serving(
                    deployment.hosts["n1"].now(), "east"
                )
            ),
            2.0,
        )
        addresses = deployment.hosts["n1"].hosts_for_callers(
            "api.example", "east", deployment.hosts["n1"].now()
        )
        assert addresses == [deployment.hosts["w1"].cfg.callers]

    bound = configuration()
    route = next(r for r in bound["routes"] if r["name"] == "bound")
    bound["routes"] = [
        {**route, "name": f"r{n}", "path_prefix": f"/r{n}/", "allowed_regions": regions}
        for n, regions in enumerate(region_lists)
    ]
    on_deployment(scenario, hosts=(*BOTH, ("n1", "north-a")), published=bound)


def test_directory_returns_no_host_outside_the_permitted_regions():
    # When all hosts of both permitted regions were shutting down at once, callers
    # were directed to hosts of the third region.
    async def scenario(deployment):
        for name in ("e1", "w1"):
            deployment.hosts[name].is_leaving = True
        last = deployment.hosts["n1"]
        await deployment.wait_until(
            lambda: not last.membership.serving(last.now()), 2.0
        )
        assert not last.hosts_for_callers("api.example", "east", last.now())
        assert respond(last, "/cactusmill/resolve?name=api.example&region=east")[0] == (
            503
        )
        addresses = last.hosts_for_callers("api.example", "north", last.now())
        assert addresses == [last.cfg.callers]

    bound = configuration()
    for route in bound["routes"]:
        if route["name"] == "bound":
            route["allowed_regions"] = ["east", "west"]
    on_deployment(scenario, hosts=(*BOTH, ("n1", "north-a")), published=bound)


def test_directory_stops_returning_a_killed_host():
    async def scenario(deployment):
        deployment.scopes["w1"].cancel()
        host = deployment.hosts["e1"]
        await deployment.wait_until(
            lambda: (
                len(host.hosts_for_callers("api.example", "west", host.now())) == 1
                and not host.membership.serving(host.now())
            ),
            5.0,
        )

    on_deployment(scenario, hosts=BOTH)


def test_shutdown_completes_running_requests():
    async def scenario(deployment):
        host = deployment.hosts["e1"]
        deployment.endpoints["desk-1"].work_s = 1.0
        replies = []

        async def ask():
            replies.append(await deployment.send_request("e1", "/order/1"))

        deployment.nursery.start_soon(ask)
        await deployment.wait_until(lambda: deployment.endpoints["desk-1"].runs)
        await host.shut_down()
        assert not host.is_ready(host.now())
        await deployment.wait_until(lambda: replies, 3.0)
        assert replies[0].status == 200 and replies[0].is_complete
        assert replies[0].header(b"connection") == "close"

    on_deployment(scenario, endpoints=ENDPOINTS)


def test_shutdown_completes_forwarded_requests():
    # A host that was shutting down waited for its own callers only, and cut the
    # streams that it ran for hosts of another region.
    async def scenario(deployment):
        engine, remote = deployment.endpoints["engine-w"], deployment.hosts["w1"]
        engine.event_gap_s, engine.events = 0.05, 54
        replies = []

        async def ask():
            replies.append(
                await deployment.send_request(
                    "e1", "/chat/1", model="m", budget_ms=5000
                )
            )

        deployment.nursery.start_soon(ask)
        await deployment.wait_until(lambda: engine.runs)
        await remote.shut_down()
        await deployment.wait_until(lambda: replies, 5.0)
        assert replies[0].is_complete
        assert replies[0].body == b"".join(event(n) for n in range(1, 55))

    # The stream takes nearly the usual time-out of its route.
    routes = [{**r, "timeout_ms": 10_000} for r in configuration()["routes"]]
    on_deployment(
        scenario,
        hosts=BOTH,
        endpoints=(("engine-w", "west-a", "engines"),),
        published=configuration(routes=routes),
    )


def test_forwards_to_a_host_that_leaves_run_elsewhere():
    async def scenario(deployment):
        leaving = deployment.hosts["w1"]
        # The other hosts don't know yet.
        leaving.leaving_since = leaving.now() - DRAIN_S - 1.0
        for number in range(8):
            reply = await deployment.send_request("e1", f"/order/{number}")
            assert reply.status == 200
        assert deployment.endpoints["desk-w"].runs == ["r-1"] * 8

    on_deployment(
        scenario,
        hosts=(*BOTH, ("w2", "west-a")),
        endpoints=(("desk-w", "west-a", "desk"),),
    )


def test_deadline_ends_a_request_at_once():
    async def scenario(deployment):
        deployment.endpoints["desk-1"].work_s = 5.0
        started_at = trio.current_time()
        reply = await deployment.send_request("e1", "/order/1", budget_ms=300)
        assert reply.status == 504
        assert 0.25 < trio.current_time() - started_at < 0.6

    on_deployment(scenario, endpoints=ENDPOINTS)


def test_malformed_bytes_get_an_error_response():
    async def scenario(deployment):
        stream = await deployment.connect("e1")
        await stream.send_all(b"not http at all\r\n\r\n")
        answer = await stream.receive_some()
        assert answer.startswith(b"HTTP/1.1 400")

    on_deployment(scenario)


def test_incomplete_head_times_out():
    limits = {**configuration()["limits"], "header_timeout_ms": 300}

    async def scenario(deployment):
        stream = await deployment.connect("e1")
        # An idle connection may stay open longer.
        await trio.sleep(0.5)
        await stream.send_all(b"POST /look/1 HTTP/1.1\r\nhost: api.ex")
        started_at = trio.current_time()
        answer = await stream.receive_some()
        assert answer.startswith(b"HTTP/1.1 408")
        assert 0.2 < trio.current_time() - started_at < 1.0
        stream = await deployment.connect("e1")
        await trio.sleep(0.5)
        conn = client_connection(stream)
        assert (await send_request_on(conn, "/look/1")).status == 200

    on_deployment(scenario, endpoints=ENDPOINTS, published=configuration(limits=limits))


@pytest.mark.parametrize(
    ("header", "status"),
    [
        ("deadline-ms: " + "9" * 400, b"400"),
        ("token-usage: " + "9" * 400 + ",1", b"400"),
        ("token-usage: -50000,1", b"400"),
        ("length-hint: " + "9" * 400, b"200"),
        ("prompt-prefix: a:" + "9" * 400, b"200"),
    ],
)
def test_numbers_out_of_bounds_get_an_answer(header, status):
    async def scenario(deployment):
        stream = await deployment.connect("e1")
        await stream.send_all(head_with(header))
        with trio.fail_after(5):
            data = await stream.receive_some()
        assert data.startswith(b"HTTP/1.1 " + status)
        await stream.aclose()

    on_deployment(scenario, endpoints=ENDPOINTS)


def head_with(header):
    return (
        "POST /look/1 HTTP/1.1\r\nhost: api.example\r\nrequest-id: r-1\r\n"
        f"authorization: Token {KEY}\r\n{header}\r\ncontent-length: 1\r\n\r\nx"
    ).encode()


@pytest.mark.parametrize("place", ["read_head", "refund"])
def test_fault_outside_the_dispatch_is_refused_as_not_run(monkeypatch, place):
    def fail(*args):
        raise RuntimeError("a fault of the test")

    async def scenario(deployment):
        host = deployment.hosts["e1"]
        if place == "read_head":
            host.dialect = attrs.evolve(host.dialect, read_head=fail)
        else:
            monkeypatch.setattr(type(host), place, fail)
            monkeypatch.setattr(edge, "run_request", refuse)
        stream = await deployment.connect("e1")
        await stream.send_all(head_with("accept: */*"))
        with trio.fail_after(5):
            assert (await stream.receive_some()).startswith(b"HTTP/1.1 503")
        await stream.aclose()

    async def refuse(*args, **kwargs):
        return NoEndpoint(detail="a refusal of the test")

    on_deployment(scenario, endpoints=ENDPOINTS)


def test_crash_right_after_sending_on_reused_connections_blocks_the_request():
    # Each connection breaks too soon to tell it from one that was closed while idle.
    async def scenario(deployment):
        async def crash_endpoint(endpoint, conn, request):
            await read_body(conn, 10**6)
            endpoint.runs.append(header(request.headers, b"request-id"))
            deployment.scopes[endpoint.name].cancel()
            return False

        host = deployment.hosts["e1"]
        crashed = {name: e.runs for name, e in deployment.endpoints.items()}
        for endpoint in deployment.endpoints.values():
            endpoint.handler = crash_endpoint
            await host.pool.probe(endpoint.name, endpoint.address, host.now())
        for number in range(6):
            reply = await deployment.send_request(
                "e1", "/chat/1", request_id=f"r-{number}", model="m"
            )
        assert b"RequestSuspected" in reply.body
        assert sum(map(len, crashed.values())) <= 3

    engines = [(f"engine-{n}", "east-a", "engines") for n in range(6)]
    on_deployment(scenario, endpoints=engines)
