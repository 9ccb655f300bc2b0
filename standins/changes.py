"""A platform service that can only be read and watched.

Serves the configuration and the host list. A control path lets tests write
records and make the service fail or serve an old version; a host list that
lags is one that is stuck at an old version for a while.
"""

import json
import pathlib

import attrs
import trio
import yaml

from standins.http_server import json_page, listen_parser, run_server, serve_pages

CONTROL_PATH = "/control"


@attrs.define(eq=False)
class ChangeService:
    """Published changes, newest version of each record.

    Attributes
    ----------
    is_down, is_silent : bool
        Whether it drops connections, or accepts them and never answers.
    stale_at : int or None
        Version that a stale replica is stuck at.
    calls : int
        Calls received.
    """

    is_down: bool = False
    is_silent: bool = False
    stale_at: int | None = None
    calls: int = 0
    _log: list = attrs.field(factory=list)
    _visible: int = 0
    _risen: trio.Event = attrs.field(factory=trio.Event)

    def put(self, kind, name, body, schema=1):
        """Publish a record and return its version; None removes it."""
        version = len(self._log) + 1
        self._log.append(
            {
                "kind": kind,
                "name": name,
                "schema": schema,
                "version": version,
                "body": body,
            }
        )
        self._show(version)
        return version

    def _show(self, version):
        self._visible = max(self._visible, version)
        self._risen.set()
        self._risen = trio.Event()

    def load(self, records):
        """Publish the records of a settings file at once."""
        for record in records:
            self.put(
                record["kind"], record["name"], record["body"], record.get("schema", 1)
            )

    @property
    def version(self):
        """Version that readers see."""
        if self.stale_at is not None:
            return min(self.stale_at, self._visible)
        return self._visible

    async def serve(self, stream):
        """Serve one connection."""
        await serve_pages(stream, self._answer)

    async def _answer(self, conn, head, body):
        path, _, query = head.target.decode().partition("?")
        if path == CONTROL_PATH:
            return self._control(json.loads(body))
        self.calls += 1
        if self.is_down:
            return None
        args = dict(part.split("=") for part in query.split("&"))
        since, wait_s = int(args["since"]), float(args["wait"])
        with trio.move_on_after(wait_s):
            while self.version <= since:
                await self._risen.wait()
        if self.is_silent:
            await trio.sleep_forever()
        if self.is_down:
            return None
        return json_page({"version": self.version, "changes": self._changes(since)})

    def _changes(self, since):
        newest = {}
        for change in self._log[: self.version]:
            newest[change["kind"], change["name"], change["schema"]] = change
        return [c for c in newest.values() if c["version"] > since]

    def _control(self, order):
        for name in ("is_down", "is_silent", "stale_at"):
            if name in order:
                setattr(self, name, order[name])
        for record in order.get("put", ()):
            self.load([record])
        return json_page({"version": self.version, "calls": self.calls})


def main():
    """Run the service as a program."""
    parser = listen_parser(__doc__)
    parser.add_argument("--records", required=True, type=pathlib.Path)
    args = parser.parse_args()
    service = ChangeService()
    service.load(yaml.safe_load(args.records.read_text()))
    run_server(args.listen, service.serve, args.capture)


if __name__ == "__main__":
    main()
