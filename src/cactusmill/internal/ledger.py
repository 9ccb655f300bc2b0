"""Ledger of the requests that one process runs at most once.

The ledger has an entry for each identifier of a request, with the request's result.
Only the incarnation (one run of a host's process) that minted an identifier accepts it,
so no other process runs the request, and hosts need no consensus. The entry is created
before any other decision on the request, and its result is final: once one attempt has
received "not run", so does every later attempt, even one that a suspended host forwards
hours late. The ledger is in memory only, so the outcomes of its requests are unknown
once the process has ended.
"""

import collections
import enum

import attrs
import trio
from returns.result import Failure, Success

from ..errors import (
    IdentifierConflict,
    IdentifierSpent,
    MalformedRequest,
    Outcome,
    OutcomeUnknown,
    Overloaded,
    RanWithoutAnswer,
)

MAX_ENTRIES = 200_000
# Larger bodies are passed on to the waiting attempts but not kept for later ones.
MAX_RESPONSE_BYTES = 1024 * 1024
MAX_HELD_BYTES = 32 * 1024 * 1024
# Must be free below the limit on recorded bodies for a new request to be run.
_RESERVED_BYTES = 4 * 1024


@attrs.frozen
class Response:
    """A complete response of an endpoint.

    Attributes
    ----------
    status : int
        HTTP status.
    headers : list of (bytes, bytes)
        End-to-end headers.
    body : bytes
        Complete body.
    """

    status: int
    headers: list
    body: bytes


class EntryState(enum.Enum):
    """State of a request in the ledger."""

    RUNNING = "running"
    ANSWERED = "answered"
    REFUSED = "refused"


@attrs.define(eq=False)
class Entry:
    """Request of one identifier.

    Attributes
    ----------
    identifier : str
        Text of the identifier.
    fingerprint : str
        Digest of the request. Detects a different request with the same identifier.
    expires_at : float
        Time at which the identifier expires, in seconds of the process's monotonic
        clock.
    state : EntryState
        Whether the request is running, or how it ended.
    result : Success of Response, Failure of Refusal, or None
        Final result; None while the request is running.
    done : trio.Event
        Set together with `result`; all attempts with the identifier wait for it.
    """

    identifier: str
    fingerprint: str
    expires_at: float
    state: EntryState = EntryState.RUNNING
    result: object = None
    done: trio.Event = attrs.field(factory=trio.Event)


@attrs.define
class Ledger:
    """Entries of all identifiers of one incarnation.

    Attributes
    ----------
    minter : Minter
        Mints and verifies the identifiers of this incarnation.
    ttl_s : float
        Lifetime of an identifier, in seconds.
    max_entries : int
        Maximum of unexpired identifiers; none is minted beyond it.
    max_held_bytes : int
        Bound on the bytes of recorded response bodies; new requests are refused
        near it.
    held_bytes : int
        Bytes of the response bodies currently recorded.
    """

    minter: object
    ttl_s: float
    max_entries: int = MAX_ENTRIES
    max_held_bytes: int = MAX_HELD_BYTES
    held_bytes: int = 0
    _entries: dict = attrs.field(factory=dict)
    _identifier_expiries: collections.deque = attrs.field(factory=collections.deque)

    def mint(self, team, now):
        """Mint an identifier if the ledger can hold an entry for it.

        Parameters
        ----------
        team : str
            Team that may use it.
        now : float
            Current time on the monotonic clock, in seconds.

        Returns
        -------
        str or None
            None while `max_entries` identifiers are unexpired.
        """
        while self._identifier_expiries and self._identifier_expiries[0] <= now:
            self._identifier_expiries.popleft()
        # Capacity for an entry is reserved when its identifier is minted, so no entry
        # is ever evicted to make room for another.
        if len(self._identifier_expiries) >= self.max_entries:
            return None
        self._identifier_expiries.append(now + self.ttl_s)
        return self.minter.mint(team, now)

    def claim(self, identifier, team, fingerprint, now):
        """Create the entry of an identifier, or join the one that exists.

        Parameters
        ----------
        identifier : Identifier
            Identifier sent by the caller; names this host and incarnation.
        team : str
            The authenticated team.
        fingerprint : str
            Digest of method, target and body.
        now : float
            Current time on the monotonic clock, in seconds.

        Returns
        -------
        Success of (Entry, bool) or Failure of Refusal
            The entry, and whether this attempt has to run the request. Any other
            attempt must wait for ``entry.done``.
        """
        if not self.minter.is_genuine(identifier, team):
            # This process never minted the text for the team, so no request has been
            # run under it for the team, and none will be.
            return Failure(
                MalformedRequest(
                    status_code=422,
                    detail="this identifier was not given to this team",
                )
            )
        entry = self._entries.get(identifier.text)
        if entry is not None:
            return self._join(entry, fingerprint)
        expires_at = identifier.minted_ms / 1000 + self.ttl_s
        if now >= expires_at:
            return Failure(
                OutcomeUnknown(
                    detail="the identifier has expired; look up the outcome",
                    outcome=Outcome.UNKNOWN,
                )
            )
        entry = Entry(identifier.text, fingerprint, expires_at)
        self._entries[identifier.text] = entry
        if self.held_bytes + _RESERVED_BYTES > self.max_held_bytes:
            self.record_refusal(entry, self._out_of_memory_refusal())
            return Failure(entry.result.failure())
        return Success((entry, True))

    def _join(self, entry, fingerprint):
        if entry.fingerprint != fingerprint:
            return Failure(
                IdentifierConflict(
                    detail="the identifier was first used with another request",
                    outcome=Outcome.UNKNOWN,
                )
            )
        return Success((entry, False))

    @staticmethod
    def _out_of_memory_refusal():
        return Overloaded(
            detail="this host holds as many answers as it can", retry_after_s=5.0
        )

    def record_response(self, entry, response):
        """Record the response of an endpoint.

        Parameters
        ----------
        entry : Entry
            A running entry.
        response : Response
            Response for all attempts that wait for the entry.
        """
        entry.state = EntryState.ANSWERED
        entry.result = Success(response)
        entry.done.set()
        self.held_bytes += len(response.body)

    def record_refusal(self, entry, refusal):
        """Record that the request ended without a response of an endpoint.

        Parameters
        ----------
        entry : Entry
            A running entry.
        refusal : Refusal
            Final result. With ``NOT_RUN``, the identifier will never run.
        """
        entry.state = EntryState.REFUSED
        entry.result = Failure(refusal)
        entry.done.set()

    def expire(self, now):
        """Drop entries of expired identifiers and responses that are too large to keep.

        Called periodically from a single task. Dropping an entry cannot let its
        request run again: the identifier has expired, so a later attempt gets
        "unknown".

        Parameters
        ----------
        now : float
            Current time on the monotonic clock, in seconds.
        """
        for entry in list(self._entries.values()):
            if entry.state is EntryState.RUNNING:
                continue
            size = _held_size(entry)
            if entry.expires_at <= now:
                del self._entries[entry.identifier]
                self.held_bytes -= size
            elif size > MAX_RESPONSE_BYTES:
                # Waiting attempts have already been woken and hold the response.
                entry.result = Failure(
                    RanWithoutAnswer(
                        detail="the request ran; its answer was too large to hold",
                        outcome=Outcome.RAN,
                    )
                )
                self.held_bytes -= size

    def __len__(self):
        return len(self._entries)


def _held_size(entry):
    match entry.result:
        case Success(Response(body=body)):
            return len(body)
    return 0


def spent_refusal(refusal, identifier):
    """Turn a recorded "not run" into the refusal for a later attempt.

    Parameters
    ----------
    refusal : Refusal
        Refusal that the first attempt received.
    identifier : str or None
        New identifier for the caller's next request.

    Returns
    -------
    Refusal
        `refusal` itself if its outcome is not ``NOT_RUN``.
    """
    if refusal.outcome is not Outcome.NOT_RUN:
        return refusal
    return IdentifierSpent(
        detail=f"refused before ({refusal.title}) and never run; "
        "send the request again with the identifier given here",
        retry_after_s=refusal.retry_after_s,
        identifier=identifier,
    )
