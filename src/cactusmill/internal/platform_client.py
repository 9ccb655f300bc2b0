"""Client of the platform's configuration and host list services.

Both services implement one long-polling request: ``GET /v1/changes?since=V&wait=S``
returns ``{"version": N, "changes": [...]}`` as soon as `N` is above `V`, or with
no changes after `S` seconds. Only this module depends on the format.
"""

import attrs

from ..errors import PlatformError, RecordError
from ..fields import describe
from .configuration import MAX_VERSION, change_from_json, check_change
from .net import Network
from .service_client import ServiceClient
from .steps import Steps, parse_json

_RESPONSE_MARGIN_S = 0.5
_OK = 200


@attrs.frozen
class Update:
    """One response of a platform service.

    Attributes
    ----------
    version : int
        Version of the service after the changes.
    changes : list of Change
        Changes above the requested version. Unparsable members are left out.
    checked : list
        What :func:`.check_change` returned for each change.
    """

    version: int
    changes: list
    checked: list


async def parse_update(body):
    """Parse the JSON body of a response in steps, and check its changes.

    Parameters
    ----------
    body : bytes
        Body of the response.

    Returns
    -------
    Update

    Raises
    ------
    PlatformError
        If the body is not JSON or lacks a valid version or list of changes.
    """
    steps = Steps()
    try:
        data = await parse_json(body, steps)
        version, items = data["version"], data["changes"]
    except (ValueError, KeyError, TypeError, RecursionError) as exc:
        raise PlatformError(f"malformed response: {exc!r}") from exc
    if not isinstance(version, int) or not isinstance(items, list):
        raise PlatformError("the response's version or changes have the wrong type")
    if not 0 <= version <= MAX_VERSION:
        raise PlatformError(f"{describe(version)} is no version")
    changes, checked = [], []
    for item in items:
        await steps.pause()
        try:
            change = change_from_json(item)
        except RecordError:
            # An unparsable change must not prevent the others from being applied.
            continue
        changes.append(change)
        checked.append(check_change(change))
    return Update(version, changes, checked)


@attrs.define
class PlatformClient:
    """Client of one platform service, over one connection.

    Attributes
    ----------
    address : str
        ``"IP:PORT"`` of the service.
    net : Network
        Opens the connection.
    """

    address: str
    net: Network
    _client: ServiceClient = attrs.field(init=False)

    def __attrs_post_init__(self):
        """Create the HTTP client."""
        self._client = ServiceClient(self.address, self.net)

    @property
    def request_count(self):
        """Requests made so far; the platform meters each."""
        return self._client.request_count

    async def fetch(self, since, wait_s):
        """Fetch the changes above a version, waiting for the first one.

        Parameters
        ----------
        since : int
            Newest version that the host has applied.
        wait_s : float
            Longest time that the service may wait for a change, in seconds.

        Returns
        -------
        Update

        Raises
        ------
        PlatformError
            If there is no valid response within `wait_s` and a margin of
            `_RESPONSE_MARGIN_S` seconds.
        """
        target = f"/v1/changes?since={since}&wait={wait_s:g}"
        status, _, body = await self._client.get(target, wait_s + _RESPONSE_MARGIN_S)
        if status != _OK:
            raise PlatformError(f"{self.address}: status {status}")
        return await parse_update(body)

    async def close(self):
        """Close the connection; the next request opens another."""
        await self._client.close()
