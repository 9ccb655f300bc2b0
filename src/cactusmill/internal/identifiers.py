"""Request identifiers that name the only process that may run them.

A host mints identifiers for callers. Each names the host, its incarnation and
the time of minting on that incarnation's clock, and ends with a code that
only the incarnation can compute. Any host can read whom an identifier is
bound to; none but that incarnation can accept it.
"""

import base64
import hmac
import re

import attrs

_PREFIX = "cm1"
_MAC_BYTES = 12
_TEXT = re.compile(r"cm1~([A-Za-z0-9._-]+)~([0-9a-f]+)~([0-9a-f]+)~([A-Za-z0-9_-]+)")


@attrs.frozen
class Identifier:
    """A minted identifier, as any host reads it.

    Attributes
    ----------
    text : str
        The whole identifier.
    host, incarnation : str
        The only process that may run it.
    minted_ms : int
        Time of minting, in milliseconds on the incarnation's own clock.
    """

    text: str
    host: str
    incarnation: str
    minted_ms: int


def read_identifier(text):
    """Read an identifier.

    Parameters
    ----------
    text : str
        Value of a caller's ``Idempotency-Key``.

    Returns
    -------
    Identifier or None
        None if the text was not minted by any host.
    """
    match = _TEXT.fullmatch(text)
    if match is None:
        return None
    host, incarnation, minted, _ = match.groups()
    return Identifier(text, host, incarnation, int(minted[:-6] or "0", 16))


@attrs.define
class Minter:
    """Mints the identifiers of one incarnation.

    Attributes
    ----------
    host, incarnation : str
        The process that the identifiers are bound to.
    secret : bytes
        Known to this process only; lost with it.
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
            Team that may use it.
        now : float
            Present time on the monotonic clock, in seconds.

        Returns
        -------
        str
        """
        self._count += 1
        # The count makes identifiers of one millisecond differ; its six
        # digits follow the time's.
        serial = f"{int(now * 1000):x}{self._count % 0x1000000:06x}"
        stem = f"{_PREFIX}~{self.host}~{self.incarnation}~{serial}"
        return f"{stem}~{self._mac(stem, team)}"

    def is_genuine(self, identifier, team):
        """Tell whether this incarnation minted an identifier for a team."""
        stem, _, mac = identifier.text.rpartition("~")
        return hmac.compare_digest(mac, self._mac(stem, team))

    def _mac(self, stem, team):
        message = f"{stem}~{team}".encode()
        digest = hmac.digest(self.secret, message, "sha256")[:_MAC_BYTES]
        return base64.urlsafe_b64encode(digest).decode().rstrip("=")
