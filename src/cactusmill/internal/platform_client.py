"""The platform's services, as this system reads them.

Both services speak the same protocol: ``GET /v1/changes?since=V&wait=S``
answers ``{"version": N, "changes": [...]}`` as soon as `N` is above `V`, or
after `S` seconds with no changes. Only this module knows the format.
"""

import json

import attrs

from ..errors import PlatformError, RecordError
from .configuration import change_from_json
from .net import Network
from .service_client import ServiceClient

_RESPONSE_MARGIN_S = 0.5
_OK = 200


@attrs.frozen
class Update:
    """One answer of a platform service.

    Attributes
    ----------
    version : int
        Version that the changes lead to.
    changes : list of Change
        Changes above the version asked for. Members that are no change at
        all are left out.
    """

    version: int
    changes: list


def parse_update(text):
    """Read the JSON text of an answer.

    Parameters
    ----------
    text : bytes
        Body of the answer.

    Returns
    -------
    Update

    Raises
    ------
    PlatformError
        If the text has another shape.
    """
    try:
        data = json.loads(text)
        version, members = data["version"], data["changes"]
    except (ValueError, KeyError, TypeError) as exc:
        raise PlatformError(f"answer of another shape: {exc!r}") from exc
    if not isinstance(version, int) or not isinstance(members, list):
        raise PlatformError("answer with a version or changes of another type")
    changes = []
    for member in members:
        try:
            changes.append(change_from_json(member))
        except RecordError:
            # One unreadable member must not keep the others out of force.
            continue
    return Update(version, changes)


@attrs.define
class PlatformClient:
    """A client of one platform service, with one connection.

    Attributes
    ----------
    address : str
        ``"IP:PORT"`` of the service.
    net : Network
        How to reach it.
    """

    address: str
    net: Network
    _calls: ServiceClient = attrs.field(init=False)

    def __attrs_post_init__(self):
        """Create the connection's holder."""
        self._calls = ServiceClient(self.address, self.net)

    @property
    def request_count(self):
        """Calls made so far; the platform counts each."""
        return self._calls.request_count

    async def fetch(self, since, wait_s):
        """Ask for the changes above a version.

        Parameters
        ----------
        since : int
            Version that the host has.
        wait_s : float
            Longest time that the service may wait for a change, in seconds.

        Returns
        -------
        Update

        Raises
        ------
        PlatformError
            If there is no usable answer shortly after `wait_s`.
        """
        target = f"/v1/changes?since={since}&wait={wait_s:g}"
        status, body = await self._calls.get(target, wait_s + _RESPONSE_MARGIN_S)
        if status != _OK:
            raise PlatformError(f"{self.address}: status {status}")
        return parse_update(body)

    async def close(self):
        """Drop the connection; the next call opens another."""
        await self._calls.close()
