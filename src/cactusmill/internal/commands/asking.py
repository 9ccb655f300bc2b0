"""Asking hosts over their operators' ports."""

import json
import sys
import urllib.parse
import urllib.request

from ...errors import CactusmillError

EXIT_FAULT = 1
EXIT_UNREACHABLE = 3
_TIMEOUT_S = 3.0


class HostUnreachableError(CactusmillError):
    """A host's operators' port gave no usable answer."""


def ask(address, path, query=None):
    """Return the JSON answer of one host.

    Parameters
    ----------
    address : str
        The host's operators' address.
    path : str
        Path of the page.
    query : dict of str to str or None
        Arguments of the page.

    Raises
    ------
    HostUnreachableError
        If the host gives no usable answer.
    """
    url = f"http://{address}{path}"
    if query:
        url += "?" + urllib.parse.urlencode(query)
    try:
        with urllib.request.urlopen(url, timeout=_TIMEOUT_S) as answer:
            return json.load(answer)
    except (OSError, ValueError) as exc:
        raise HostUnreachableError(f"{address}: {exc}") from exc


def ask_fleet(address, path):
    """Ask a host, and every host that it knows, for the same page.

    Returns
    -------
    answers : list of dict
        One per host that answered.
    lost : list of str
        Hosts that did not.

    Raises
    ------
    HostUnreachableError
        If the first host gives no usable answer.
    """
    first = ask(address, "/v1/status")
    answers, lost = [ask(address, path)], []
    for peer in first["peers"]:
        try:
            answers.append(ask(peer["operators"], path))
        except HostUnreachableError:
            lost.append(peer["host"])
    return answers, lost


def complain(exc):
    """Say on standard error what went wrong."""
    print(f"cactusmill: {exc}", file=sys.stderr)


def print_table(header, rows):
    """Print rows in aligned columns."""
    cells = [header, *[[str(c) for c in row] for row in rows]]
    widths = [max(len(row[i]) for row in cells) for i in range(len(header))]
    for row in cells:
        print("  ".join(c.ljust(w) for c, w in zip(row, widths, strict=True)).rstrip())
