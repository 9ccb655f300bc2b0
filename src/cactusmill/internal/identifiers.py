"""Request identifiers bound to the one process that may run them.

A host mints identifiers for callers. An identifier contains the host's name, its
incarnation and the minting time on that incarnation's clock, and ends with a
message authentication code that only the incarnation can compute. Any host can
parse which incarnation an identifier is bound to; only that incarnation can
verify it.
"""

import base64
import hmac
import re

import attrs

_PREFIX = "cm1"
_MAC_BYTES = 12
_IDENTIFIER = re.compile(
    r"cm1~([A-Za-z0-9._-]+)~([0-9a-f]+)~([0-9a-f]+)~([A-Za-z0-9_-]+)"
)


@attrs.frozen
class Identifier:
    """A parsed identifier, not verified.

    Attributes
    ----------
    text : str
        The complete identifier.
    host, incarnation : str
        The only process that may run the request.
    minted_ms : int
        Minting time, in milliseconds on the incarnation's own clock.
    """

    text: str
    host: str
    incarnation: str
    minted_ms: int


def read_identifier(text):
    """Parse an identifier.

    Parameters
    ----------
    text : str
        Value of a caller's ``Idempotency-Key``.

    Returns
    -------
    Identifier or None
        None if the text does not have the format of minted identifiers.
    """
    match = _IDENTIFIER.fullmatch(text)
    if match is None:
        return None
    host, incarnation, minted, _ = match.groups()
    return Identifier(text, host, incarnation, int(minted[:-6] or "0", 16))


@attrs.define
class Minter:
    """Mints and verifies the identifiers of one incarnation.

    Attributes
    ----------
    host, incarnation : str
        The process that the identifiers are bound to.
    secret : bytes
        Key of the authentication code. It is never stored or sent, so it is lost
        when the process ends.
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
            Current time on the monotonic clock, in seconds.

        Returns
        -------
        str
        """
        self._count += 1
        # The count makes identifiers minted in the same millisecond unique. Its
        # six hexadecimal digits follow those of the time.
        serial = f"{int(now * 1000):x}{self._count % 0x1000000:06x}"
        prefix = f"{_PREFIX}~{self.host}~{self.incarnation}~{serial}"
        return f"{prefix}~{self._mac(prefix, team)}"

    def is_genuine(self, identifier, team):
        """Return whether this incarnation minted an identifier for a team."""
        prefix, _, mac = identifier.text.rpartition("~")
        return hmac.compare_digest(mac, self._mac(prefix, team))

    def _mac(self, prefix, team):
        message = f"{prefix}~{team}".encode()
        digest = hmac.digest(self.secret, message, "sha256")[:_MAC_BYTES]
        return base64.urlsafe_b64encode(digest).decode().rstrip("=")
