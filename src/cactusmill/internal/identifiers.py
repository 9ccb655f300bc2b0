"""Identifiers of requests that run at most once, each valid in one process only.

A caller sends an identifier in ``Idempotency-Key``, and the same one with every
repetition of the request. Only the process that minted it may run the request, so
its in-memory ledger suffices to run the request once. The process is named by its
host and its incarnation, the random identifier of one run of a host's process.

The format is ``cm1~HOST~INCARNATION~SERIAL~MAC``. The serial consists of the minting
time in milliseconds on the process's monotonic clock and a six-digit count, both
hexadecimal. The message authentication code covers the text before it and the name of
the team (the customer) that may use the identifier. Any host can read from an
identifier which process minted it, in order to forward the request there; only that
process can verify the code.
"""

import base64
import hmac
import re

import attrs

# Name and version of the format.
_FORMAT = "cm1"
# Truncated SHA-256.
_MAC_BYTES = 12
_IDENTIFIER = re.compile(
    r"cm1~([A-Za-z0-9._-]+)~([0-9a-f]+)~([0-9a-f]+)~([A-Za-z0-9_-]+)"
)


@attrs.frozen
class Identifier:
    """A parsed identifier whose authentication code has not been checked.

    Attributes
    ----------
    text : str
        The complete identifier.
    host, incarnation : str
        Name of the host and the incarnation that together denote the only process
        that may run the request.
    minted_ms : int
        Minting time, in milliseconds on that process's monotonic clock; has no
        meaning in other processes.
    """

    text: str
    host: str
    incarnation: str
    minted_ms: int


def parse_identifier(text):
    """Parse an identifier.

    Parameters
    ----------
    text : str
        Value of the header ``Idempotency-Key`` of a request.

    Returns
    -------
    Identifier or None
        None if the text does not have the format of minted identifiers.
    """
    match = _IDENTIFIER.fullmatch(text)
    if match is None:
        return None
    host, incarnation, serial, _ = match.groups()
    # A text that no process minted may have a serial without digits of a time.
    return Identifier(text, host, incarnation, int(serial[:-6] or "0", 16))


@attrs.define
class Minter:
    """Mints and verifies the identifiers of this process.

    Attributes
    ----------
    host, incarnation : str
        Name of the host, and incarnation of this process.
    secret : bytes
        Random key of the authentication code. It is never stored or sent, so it is
        lost when the process ends, together with the ledger of what was run.
    """

    host: str
    incarnation: str
    secret: bytes = attrs.field(repr=False)
    _count: int = 0

    def mint(self, team, now):
        """Mint an identifier for a team.

        Parameters
        ----------
        team : str
            Name of the team that may use it.
        now : float
            Current time on the process's monotonic clock, in seconds.

        Returns
        -------
        str
        """
        self._count += 1
        # The count makes identifiers minted in the same millisecond unique. Its
        # six hexadecimal digits follow those of the time.
        serial = f"{int(now * 1000):x}{self._count % 0x1000000:06x}"
        signed_text = f"{_FORMAT}~{self.host}~{self.incarnation}~{serial}"
        return f"{signed_text}~{self._mac(signed_text, team)}"

    def is_genuine(self, identifier, team):
        """Return whether this process minted an identifier for a team.

        The expiry of the identifier is not checked.

        Parameters
        ----------
        identifier : Identifier
            As parsed from the caller's header.
        team : str
            Name of the caller's authenticated team.
        """
        signed_text, _, mac = identifier.text.rpartition("~")
        return hmac.compare_digest(mac, self._mac(signed_text, team))

    def _mac(self, signed_text, team):
        message = f"{signed_text}~{team}".encode()
        digest = hmac.digest(self.secret, message, "sha256")[:_MAC_BYTES]
        return base64.urlsafe_b64encode(digest).decode().rstrip("=")
