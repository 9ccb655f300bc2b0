"""Minimal HTTP/1.1 over asyncio, for the stand-ins and the callers of the scripts."""

import asyncio

_MAX_HEAD_BYTES = 65536
_CLOSE = b"connection: close"


class Closed(Exception):
    """The other end closed the connection; `partial` tells whether bytes had come."""

    def __init__(self, partial):
        super().__init__(f"closed, partial answer: {partial}")
        self.partial = partial


async def read_message(reader):
    """Read one message with a body of known length, in chunks, or up to the end.

    Returns
    -------
    first : str
        Request line or status line.
    headers : dict of str to str
        By lower-case name.
    body : bytes

    Raises
    ------
    Closed
        If the connection ends before the message is complete.
    """
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError as exc:
        raise Closed(bool(exc.partial)) from exc
    except (ConnectionError, OSError) as exc:
        raise Closed(False) from exc
    first, *lines = head.decode("latin-1")[:-4].split("\r\n")
    headers = {}
    for line in lines:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    try:
        if "chunked" in headers.get("transfer-encoding", ""):
            return first, headers, await _read_chunks(reader)
        size = int(headers.get("content-length", 0))
        return first, headers, await reader.readexactly(size)
    except (asyncio.IncompleteReadError, ConnectionError, OSError) as exc:
        raise Closed(True) from exc


async def _read_chunks(reader):
    body = b""
    while True:
        size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
        body += await reader.readexactly(size)
        await reader.readexactly(2)
        if not size:
            return body


def encode_message(first, headers, body=b""):
    """Return the bytes of a message with a content length."""
    lines = [first, *(f"{k}: {v}" for k, v in headers.items())]
    lines.append(f"content-length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


async def serve(address, handle):
    """Serve HTTP on an address.

    Parameters
    ----------
    address : str
        ``"IP:PORT"``.
    handle : callable
        ``await handle(first, headers, body, reader)`` returns the bytes to answer,
        or None to close the connection. It is closed, too, behind an answer that
        says so.

    Returns
    -------
    asyncio.Server
    """

    async def serve_connection(reader, writer):
        try:
            while True:
                answer = await handle(*await read_message(reader), reader)
                if answer is None:
                    break
                writer.write(answer)
                await writer.drain()
                if _CLOSE in answer.partition(b"\r\n\r\n")[0]:
                    break
        except (Closed, ConnectionError, OSError):
            # The other end has left.
            return
        finally:
            writer.close()

    ip, _, port = address.rpartition(":")
    return await asyncio.start_server(
        serve_connection, ip, int(port), limit=_MAX_HEAD_BYTES
    )


class Client:
    """One connection of a caller, opened when it is first used.

    Attributes
    ----------
    address : str
        ``"IP:PORT"`` of the host.
    requests : int
        Requests sent on the present connection.
    """

    def __init__(self, address):
        self.address = address
        self.requests = 0
        self._streams = None

    async def send(self, method, path, headers, body, timeout_s):
        """Send a request; return status, headers and body of the answer.

        Raises
        ------
        Closed, OSError, TimeoutError
            If there is no complete answer. The connection is closed then.
        """
        try:
            async with asyncio.timeout(timeout_s):
                if self._streams is None:
                    ip, _, port = self.address.rpartition(":")
                    self._streams = await asyncio.open_connection(ip, int(port))
                    self.requests = 0
                reader, writer = self._streams
                self.requests += 1
                first = f"{method} {path} HTTP/1.1"
                writer.write(encode_message(first, headers, body))
                first, answer_headers, data = await read_message(reader)
        except BaseException:
            self.close()
            raise
        if "close" in answer_headers.get("connection", "").lower():
            self.close()
        return int(first.split()[1]), answer_headers, data

    def close(self):
        """Close the connection; the next request opens another."""
        if self._streams is not None:
            self._streams[1].close()
        self._streams = None
