"""Stand-in for the platform services of the configuration and the host list.

Hosts can read the records and long-poll for changes. A control path lets tests
publish records and make the service unavailable, unresponsive or stale. A stale
service responds with the records of an earlier version, as a lagging replica does.
"""

import json
import pathlib

import attrs
import trio
import yaml

from standins.http_server import (
    json_response,
    listen_parser,
    run_server,
    serve_requests,
)

CONTROL_PATH = "/control"


@attrs.define(eq=False)
class ChangeService:
    """A service that stores published changes and serves the newest of each record.

    Attributes
    ----------
    is_down, is_silent : bool
        Whether it drops connections, or accepts them and never responds.
    stale_at : int or None
        Version up to which changes are served; None to serve all.
    calls : int
        Requests received.
    """

    is_down: bool = False
    is_silent: bool = False
    stale_at: int | None = None
    calls: int = 0
    _log: list = attrs.field(factory=list)
    _published_version: int = 0
    _changed: trio.Event = attrs.field(factory=trio.Event)

    def put(self, kind, name, body, schema=1):
        """Publish a record and return its version; a body of None removes it."""
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
        self._publish(version)
        return version

    def _publish(self, version):
        self._published_version = max(self._published_version, version)
        self._changed.set()
        self._changed = trio.Event()

    def load(self, records):
        """Publish the records of a YAML file, given as a list of dicts."""
        for record in records:
            self.put(
                record["kind"], record["name"], record["body"], record.get("schema", 1)
            )

    @property
    def version(self):
        """Newest version that readers see."""
        if self.stale_at is not None:
            return min(self.stale_at, self._published_version)
        return self._published_version

    async def serve(self, stream):
        """Serve one connection."""
        await serve_requests(stream, self._handle_request)

    async def _handle_request(self, conn, head, body):
        path, _, query = head.target.decode().partition("?")
        if path == CONTROL_PATH:
            return self._handle_control(json.loads(body))
        self.calls += 1
        if self.is_down:
            return None
        args = dict(pair.split("=") for pair in query.split("&"))
        since, wait_s = int(args["since"]), float(args["wait"])
        with trio.move_on_after(wait_s):
            while self.version <= since:
                await self._changed.wait()
        if self.is_silent:
            await trio.sleep_forever()
        if self.is_down:
            return None
        return json_response(
            {"version": self.version, "changes": self.changes_since(since)}
        )

    def changes_since(self, since):
        """Return the latest change of each record after a version, as JSON objects."""
        newest = {}
        for change in self._log[: self.version]:
            newest[change["kind"], change["name"], change["schema"]] = change
        return [c for c in newest.values() if c["version"] > since]

    def _handle_control(self, command):
        for name in ("is_down", "is_silent", "stale_at"):
            if name in command:
                setattr(self, name, command[name])
        for record in command.get("put", ()):
            self.load([record])
        return json_response({"version": self.version, "calls": self.calls})


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
