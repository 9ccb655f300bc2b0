"""Stand-in for an order service, whose orders must be executed at most once.

It counts the executions of each identifier (``Idempotency-Key``), which the
at-most-once tests check. It executes an order again if its identifier is repeated,
unless deduplication is on.
"""

import collections
import json

import attrs
import trio

from standins.http_server import (
    HTTPResponse,
    json_response,
    listen_parser,
    run_server,
    serve_requests,
)

IDENTIFIER_HEADER = b"idempotency-key"


@attrs.define(eq=False)
class OrderService:
    """An order service.

    Attributes
    ----------
    runs : collections.Counter
        Executions of each identifier.
    work_s : float
        Time from an order's arrival to its response, in seconds.
    deduplicates : bool
        True to execute each identifier at most once.
    is_leaving : bool
        Whether it refuses new orders, as during a shutdown.
    """

    name: str = "desk"
    work_s: float = 0.0
    deduplicates: bool = False
    is_leaving: bool = False
    runs: collections.Counter = attrs.field(factory=collections.Counter)

    async def serve(self, stream):
        """Serve one connection."""
        await serve_requests(stream, self._handle_request)

    async def _handle_request(self, conn, head, body):
        headers = dict(head.headers)
        if head.target == b"/runs":
            return json_response(self.runs)
        if head.target == b"/control":
            command = json.loads(body)
            self.is_leaving = command.get("is_leaving", self.is_leaving)
            self.work_s = command.get("work_s", self.work_s)
            return json_response({})
        if self.is_leaving:
            return HTTPResponse(503, b"{}", ((b"x-endpoint-leaving", b"1"),))
        if head.method == b"GET":
            identifier = head.target.rpartition(b"/")[2].decode()
            return json_response(
                {"identifier": identifier, "runs": self.runs[identifier]}
            )
        identifier = headers.get(IDENTIFIER_HEADER, b"").decode()
        if not (self.deduplicates and self.runs[identifier]):
            self.runs[identifier] += 1
        await trio.sleep(self.work_s)
        echoed = tuple((k, v) for k, v in head.headers if k == b"x-request-id")
        return json_response(
            {"identifier": identifier, "order": body.decode(), "desk": self.name},
            headers=echoed,
        )


def main():
    """Run the service as a program."""
    parser = listen_parser(__doc__)
    parser.add_argument("--name", default="desk")
    parser.add_argument("--work-s", type=float, default=0.0)
    parser.add_argument("--checks", action="store_true")
    args = parser.parse_args()
    order_service = OrderService(
        name=args.name, work_s=args.work_s, deduplicates=args.checks
    )
    run_server(args.listen, order_service.serve, args.capture)


if __name__ == "__main__":
    main()
