"""HTTP client for the operators' ports of the hosts, and terminal output."""

import json
import sys
import urllib.parse
import urllib.request

from ...errors import CactusmillError

EXIT_FAULT = 1
EXIT_UNREACHABLE = 3
_TIMEOUT_S = 3.0


class HostUnreachableError(CactusmillError):
    """A host's operators' port did not return a valid response."""


def fetch_page(address, path, query=None, method="GET"):
    """Return a page of one host, parsed from JSON.

    Parameters
    ----------
    address : str
        The host's operators' address.
    path : str
        Path of the page.
    query : dict of str to str or None
        Query parameters.
    method : str
        HTTP method; a page that changes something takes POST only.

    Raises
    ------
    HostUnreachableError
        If the host is unreachable or its response is not JSON.
    """
    url = f"http://{address}{path}"
    if query:
        url += "?" + urllib.parse.urlencode(query)
    try:
        request = urllib.request.Request(url, method=method)
        with urllib.request.urlopen(request, timeout=_TIMEOUT_S) as response:
            return json.load(response)
    except (OSError, ValueError) as exc:
        raise HostUnreachableError(f"{address}: {exc}") from exc


def fetch_from_fleet(address, path):
    """Return the same page of a host and of every peer that it lists.

    Returns
    -------
    pages : list of dict
        One per host that responded.
    unreachable : list of str
        Names of the hosts that did not.

    Raises
    ------
    HostUnreachableError
        If the first host is unreachable or its response is not JSON.
    """
    status = fetch_page(address, "/v1/status")
    pages, unreachable = [fetch_page(address, path)], []
    for peer in status["peers"]:
        try:
            pages.append(fetch_page(peer["operators"], path))
        except HostUnreachableError:
            unreachable.append(peer["host"])
    return pages, unreachable


def print_error(exc):
    """Print an error message to standard error."""
    print(f"cactusmill: {exc}", file=sys.stderr)


def print_table(header, rows):
    """Print rows in aligned columns."""
    cells = [header, *[[str(c) for c in row] for row in rows]]
    widths = [max(len(row[i]) for row in cells) for i in range(len(header))]
    for row in cells:
        print("  ".join(c.ljust(w) for c, w in zip(row, widths, strict=True)).rstrip())
