"""Suspects that run at present, so that no two of them run on one endpoint."""

import attrs


@attrs.define(eq=False)
class RunningSuspects:
    """Requests under which an endpoint crashed, by the endpoint on which they run.

    A further crash shows which of them is at fault if they run on separate endpoints.
    """

    _by_endpoint: dict = attrs.field(factory=dict)

    def may_run_on(self, request, endpoint_name):
        """Return whether no other suspect runs on an endpoint."""
        return self._by_endpoint.get(endpoint_name, request) == request

    def start(self, request, endpoint_name):
        """Record that a suspect runs on an endpoint."""
        self._by_endpoint[endpoint_name] = request

    def stop(self, request, endpoint_name):
        """Record that a suspect no longer runs on an endpoint."""
        if self._by_endpoint.get(endpoint_name) == request:
            del self._by_endpoint[endpoint_name]
