"""An order desk: a plain service whose orders may not be repeated.

It counts the runs of each identifier, which is what the proofs check. It does
not refuse an identifier that it has seen, unless told to check.
"""

import collections
import json

import attrs
import trio

from standins.http_server import Page, json_page, listen_parser, run_server, serve_pages

IDENTIFIER = b"idempotency-key"


@attrs.define(eq=False)
class OrderService:
    """An order desk.

    Attributes
    ----------
    runs : collections.Counter
        Runs of each identifier.
    work_s : float
        Time from receiving an order to answering it, in seconds.
    checks : bool
        True to run each identifier at most once by itself.
    """

    name: str = "desk"
    work_s: float = 0.0
    checks: bool = False
    is_leaving: bool = False
    runs: collections.Counter = attrs.field(factory=collections.Counter)

    async def serve(self, stream):
        """Serve one connection."""
        await serve_pages(stream, self._answer)

    async def _answer(self, conn, head, body):
        headers = dict(head.headers)
        if head.target == b"/runs":
            return json_page(self.runs)
        if head.target == b"/control":
            order = json.loads(body)
            self.is_leaving = order.get("is_leaving", self.is_leaving)
            self.work_s = order.get("work_s", self.work_s)
            return json_page({})
        if self.is_leaving:
            return Page(503, b"{}", ((b"x-endpoint-leaving", b"1"),))
        if head.method == b"GET":
            wanted = head.target.rpartition(b"/")[2].decode()
            return json_page({"identifier": wanted, "runs": self.runs[wanted]})
        identifier = headers.get(IDENTIFIER, b"").decode()
        if not (self.checks and self.runs[identifier]):
            self.runs[identifier] += 1
        await trio.sleep(self.work_s)
        echoed = tuple((k, v) for k, v in head.headers if k == b"x-request-id")
        return json_page(
            {"identifier": identifier, "order": body.decode(), "desk": self.name},
            headers=echoed,
        )


def main():
    """Run the desk as a program."""
    parser = listen_parser(__doc__)
    parser.add_argument("--name", default="desk")
    parser.add_argument("--work-s", type=float, default=0.0)
    parser.add_argument("--checks", action="store_true")
    args = parser.parse_args()
    order_service = OrderService(name=args.name, work_s=args.work_s, checks=args.checks)
    run_server(args.listen, order_service.serve, args.capture)


if __name__ == "__main__":
    main()
