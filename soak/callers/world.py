"""What callers know of the world: a file that the run writes anew at each change."""

import json
import pathlib

import attrs
import trio

_INTERVAL_S = 0.2


@attrs.define(eq=False)
class World:
    """Contents of the file, as read last.

    Attributes
    ----------
    path : pathlib.Path
    seed : int
    until : float
        Time after which no request is begun.
    callers : int
        Number of callers.
    hosts : dict of str to dict
        ``address``, ``region`` and ``directory`` of each host.
    host_names : dict of str to str
        Hosts by the address that serves callers.
    configuration : dict
        As published.
    keys : dict of str to list of str
        Keys of each team that are valid now.
    pause_s : float
        Mean pause of a caller between its requests, in seconds.
    """

    path: pathlib.Path
    seed: int = 0
    until: float = 0.0
    callers: int = 0
    hosts: dict = attrs.field(factory=dict)
    host_names: dict = attrs.field(factory=dict)
    configuration: dict = attrs.field(factory=dict)
    keys: dict = attrs.field(factory=dict)
    pause_s: float = 0.3
    _state: object = None

    @property
    def idle_timeout_s(self):
        """Time after which hosts close idle connections, in seconds."""
        limits = self.configuration.get("limits", {})
        return limits.get("idle_timeout_ms", 5000) / 1000

    def read(self):
        """Read the file, if it was replaced.

        Raises
        ------
        ValueError
            If the file holds something else, or lacks a field.
        """
        stat = self.path.stat()
        state = stat.st_ino, stat.st_mtime_ns, stat.st_size
        if state == self._state:
            return
        fields = json.loads(self.path.read_text())
        names = ("seed", "until", "callers", "hosts", "configuration", "keys")
        if missing := [name for name in names if name not in fields]:
            raise ValueError(f"{self.path}: lacks {', '.join(missing)}")
        for name in (*names, "pause_s"):
            if name in fields:
                setattr(self, name, fields[name])
        self.host_names = {h["address"]: name for name, h in self.hosts.items()}
        self._state = state

    async def follow(self):
        """Read the file again and again, until cancelled."""
        while True:
            await trio.sleep(_INTERVAL_S)
            self.read()
