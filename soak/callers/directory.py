"""Addresses of hosts, as callers look them up and keep them."""

import json
import time
import urllib.parse

import attrs
import h11
import trio

from cactusmill.errors import CactusmillError
from cactusmill.internal.http import client_connection, perform_request
from cactusmill.internal.net import TCP
from cactusmill.platform.directory import DIRECTORY_PATH

_LOOKUPS = 3
_LOOKUP_S = 1.0
_MAX_TTL_S = 10.0
_PAUSE_S = 0.5


@attrs.define(eq=False)
class Directory:
    """Responses of the directory that callers of one region share.

    Attributes
    ----------
    world : World
    region : str
    rng : random.Random
    patience : float
        Factor of the time for which a response is kept.
    """

    world: object
    region: str
    rng: object
    patience: float = 1.0
    _known: dict = attrs.field(factory=dict)
    _looking: set = attrs.field(factory=set)

    async def addresses(self, name):
        """Return the addresses of a host name; none if it was never resolved.

        Responses are used longer while there is no newer one.
        """
        known, expires_at = self._known.get(name, ([], float("-inf")))
        if time.monotonic() < expires_at or name in self._looking:
            return known
        self._looking.add(name)
        try:
            found, ttl_s = await self._look_up(name) or (known, _PAUSE_S)
            kept_s = ttl_s if found is known else ttl_s * self.patience
            self._known[name] = found, time.monotonic() + kept_s
        finally:
            self._looking.discard(name)
        return found

    async def _look_up(self, name):
        hosts = list(self.world.hosts.values())
        self.rng.shuffle(hosts)
        hosts.sort(key=lambda host: host["region"] != self.region)
        for host in hosts[:_LOOKUPS]:
            with trio.move_on_after(_LOOKUP_S):
                if found := await self._ask(host["directory"], name):
                    return found
        return None

    async def _ask(self, address, name):
        query = urllib.parse.urlencode({"name": name, "region": self.region})
        target, headers = f"{DIRECTORY_PATH}?{query}", [("host", address)]
        try:
            conn = client_connection(await TCP.connect(address, _LOOKUP_S))
        except CactusmillError:
            return None
        try:
            status, _, body = await perform_request(conn, "GET", target, headers)
            found = json.loads(body)
            if status == 200 and found["addresses"]:
                return found["addresses"], min(float(found["ttl_s"]), _MAX_TTL_S)
        except (CactusmillError, h11.ProtocolError, ValueError, KeyError, TypeError):
            pass
        finally:
            await conn.close()
        return None
