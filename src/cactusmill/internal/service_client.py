"""HTTP client of one platform service, over one connection at a time."""

import attrs
import trio

from ..errors import ConnectError, ExchangeError, PlatformError
from .http import can_go_on, client_connection, perform_request

_CONNECT_TIMEOUT_S = 1.0


@attrs.define(eq=False)
class ServiceClient:
    """Client of one service, with a connection that is opened on demand.

    Attributes
    ----------
    address : str
        ``"IP:PORT"`` of the service.
    net : Network
        Opens the connections.
    on_connect : callable or None
        ``on_connect(stream)`` is called with each new connection.
    request_count : int
        Requests made so far; the platform meters each.
    """

    address: str
    net: object
    on_connect: object = None
    request_count: int = 0
    _conn: object = None

    async def get(self, target, timeout_s):
        """Send one GET request.

        Parameters
        ----------
        target : str
            Path and query.
        timeout_s : float
            Longest time until the response is complete, in seconds.

        Returns
        -------
        status : int
        headers : list of (bytes, bytes)
        body : bytes

        Raises
        ------
        PlatformError
            If there is no complete response in time. The connection is closed
            then, since one that timed out may never respond again.
        """
        self.request_count += 1
        try:
            with trio.fail_after(timeout_s):
                if self._conn is None:
                    self._conn = await self._open()
                status, headers, body = await perform_request(
                    self._conn, "GET", target, [(b"host", self.address.encode())]
                )
            if can_go_on(self._conn):
                self._conn.h11.start_next_cycle()
            else:
                await self.close()
        except (ConnectError, ExchangeError, trio.TooSlowError) as exc:
            await self.close()
            raise PlatformError(f"{self.address}: {exc!r}") from exc
        except BaseException:
            await self.close()
            raise
        return status, headers, body

    async def _open(self):
        stream = await self.net.connect(self.address, _CONNECT_TIMEOUT_S)
        if self.on_connect is not None:
            self.on_connect(stream)
        return client_connection(stream)

    async def close(self):
        """Close the connection; the next request opens another."""
        conn, self._conn = self._conn, None
        if conn is not None:
            await conn.close()
