"""What one incarnation knows of the requests that may run at most once.

Only the incarnation that minted an identifier holds an entry for it, so no
other process can run it, and no agreement is needed. An entry is made before
anything else is decided, and its end is final: once an attempt was told "not
run", every later attempt is told so too, even one that a frozen host sends
hours late.
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
MAX_ANSWER_BYTES = 1024 * 1024
MAX_HELD_BYTES = 32 * 1024 * 1024
_RESERVED_BYTES = 4 * 1024


@attrs.frozen
class Answer:
    """A whole answer of an endpoint.

    Attributes
    ----------
    status : int
        HTTP status.
    headers : list of (bytes, bytes)
        End-to-end headers.
    body : bytes
        The whole body.
    """

    status: int
    headers: list
    body: bytes


class EntryState(enum.Enum):
    """How far an identifier has come."""

    RUNNING = "running"
    ANSWERED = "answered"
    REFUSED = "refused"


@attrs.define(eq=False)
class Entry:
    """One identifier's request.

    Attributes
    ----------
    identifier : str
        The identifier's text.
    fingerprint : str
        Digest of the request, to tell another request with the same
        identifier.
    state : EntryState
        How far it has come.
    result : Success of Answer, Failure of Refusal, or None
        The end, once known.
    done : trio.Event
        Set at the end; everyone attached waits for it.
    """

    identifier: str
    fingerprint: str
    expires_at: float
    state: EntryState = EntryState.RUNNING
    result: object = None
    done: trio.Event = attrs.field(factory=trio.Event)


@attrs.define
class Ledger:
    """Entries of one incarnation.

    Attributes
    ----------
    minter : Minter
        Mints and recognises this incarnation's identifiers.
    ttl_s : float
        Lifetime of an identifier, in seconds.
    max_entries : int
        Most entries held; beyond it no identifier is minted.
    max_held_bytes : int
        Most bytes of answers held.
    """

    minter: object
    ttl_s: float
    max_entries: int = MAX_ENTRIES
    max_held_bytes: int = MAX_HELD_BYTES
    held_bytes: int = 0
    _entries: dict = attrs.field(factory=dict)
    _minted: collections.deque = attrs.field(factory=collections.deque)

    def mint(self, team, now):
        """Mint an identifier if the ledger has room for its entry.

        Parameters
        ----------
        team : str
            Team that may use it.
        now : float
            Present time on the monotonic clock, in seconds.

        Returns
        -------
        str or None
            None while as many unexpired identifiers exist as entries fit.
        """
        while self._minted and self._minted[0] <= now:
            self._minted.popleft()
        # Every unexpired identifier has room for an entry from the moment it
        # is minted, so an entry never has to be evicted to make another.
        if len(self._minted) >= self.max_entries:
            return None
        self._minted.append(now + self.ttl_s)
        return self.minter.mint(team, now)

    def claim(self, identifier, team, fingerprint, now):
        """Decide what an attempt with an identifier of this incarnation does.

        Parameters
        ----------
        identifier : Identifier
            As sent; it names this host and incarnation.
        team : str
            The authenticated team.
        fingerprint : str
            Digest of method, target and body.
        now : float
            Present time on the monotonic clock, in seconds.

        Returns
        -------
        Success of (Entry, bool) or Failure of Refusal
            The entry, and whether this attempt is the one to run it. An
            attempt that is not must wait for ``entry.done``.
        """
        if not self.minter.is_genuine(identifier, team):
            # The exact text was never minted for this team, so it never ran
            # and never will.
            return Failure(
                MalformedRequest(
                    status_code=422,
                    detail="this identifier was not given to this team",
                )
            )
        entry = self._entries.get(identifier.text)
        if entry is not None:
            return self._attach(entry, fingerprint)
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
            self.refuse(entry, self._no_room())
            return Failure(entry.result.failure())
        return Success((entry, True))

    def _attach(self, entry, fingerprint):
        if entry.fingerprint != fingerprint:
            return Failure(
                IdentifierConflict(
                    detail="the identifier was first used with another request",
                    outcome=Outcome.UNKNOWN,
                )
            )
        return Success((entry, False))

    @staticmethod
    def _no_room():
        return Overloaded(
            detail="this host holds as many answers as it can", retry_after_s=5.0
        )

    def answer(self, entry, answer):
        """Record the endpoint's answer.

        Parameters
        ----------
        entry : Entry
            A running entry.
        answer : Answer
            What everyone attached receives.
        """
        entry.state = EntryState.ANSWERED
        entry.result = Success(answer)
        entry.done.set()
        self.held_bytes += len(answer.body)

    def refuse(self, entry, refusal):
        """Record that the request ended without an answer of an endpoint.

        Parameters
        ----------
        entry : Entry
            A running entry.
        refusal : Refusal
            Final; with ``NOT_RUN`` the identifier can never run any more.
        """
        entry.state = EntryState.REFUSED
        entry.result = Failure(refusal)
        entry.done.set()

    def expire(self, now):
        """Drop entries of expired identifiers, and answers too large to hold.

        Called now and then from one task. An attempt with a dropped
        identifier is past its expiry and gets "unknown", so dropping an entry
        can never let it run again.

        Parameters
        ----------
        now : float
            Present time on the monotonic clock, in seconds.
        """
        for entry in list(self._entries.values()):
            if entry.state is EntryState.RUNNING:
                continue
            size = _held_size(entry)
            if entry.expires_at <= now:
                del self._entries[entry.identifier]
                self.held_bytes -= size
            elif size > MAX_ANSWER_BYTES:
                # Those attached have been woken by now and hold the answer.
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
        case Success(Answer(body=body)):
            return len(body)
    return 0


def spent(refusal, identifier):
    """Turn a recorded "not run" into the answer for a later attempt.

    Parameters
    ----------
    refusal : Refusal
        What the first attempt was told.
    identifier : str or None
        A fresh identifier for the caller's next request.

    Returns
    -------
    Refusal
    """
    if refusal.outcome is not Outcome.NOT_RUN:
        return refusal
    return IdentifierSpent(
        detail=f"refused before ({refusal.title}) and never run; "
        "send the request again with the identifier given here",
        retry_after_s=refusal.retry_after_s,
        identifier=identifier,
    )
