"""Account of requests: each that was read ends in exactly one way.

A request ends in an answer, a refusal, or a cut with a reason (:class:`.Cut`). It is
opened when its head has been read, so that malformed requests and those whose body
never comes are in the account too. At each moment the requests read are those that
run and those that have ended.

A host holds two accounts: of its callers' requests, and of those that other hosts
forwarded.
"""

import collections
import contextlib

import attrs
import trio

from ..errors import (
    AnswerCutError,
    CallerGoneError,
    Cut,
    ExchangeError,
    LinkClosedError,
)

ANSWER, REFUSAL, CUT = "answer", "refusal", "cut"


@attrs.define(eq=False)
class Account:
    """Requests that were read, that run and that have ended.

    Attributes
    ----------
    read : int
        Number of requests read.
    running : set of Entry
        Requests that have not ended.
    ended : collections.Counter
        Number of requests by kind (`ANSWER`, `REFUSAL` or `CUT`) and reason: the type
        of the refusal, or the value of the :class:`.Cut`; empty for an answer.
    ended_twice : int
        Number of ends of requests that had ended before. Anything but 0 is a fault.
    """

    read: int = 0
    running: set = attrs.field(factory=set)
    ended: collections.Counter = attrs.field(factory=collections.Counter)
    ended_twice: int = 0
    _is_stopped: bool = False
    _shields: set = attrs.field(factory=set)

    def open(self):
        """Return the entry of a request that was read, to be used in a ``with``."""
        self.read += 1
        entry = Entry(self)
        self.running.add(entry)
        return entry

    @contextlib.contextmanager
    def shield_delivery(self):
        """Shield a delivery from all cancellations but that by the host's exit.

        Raises
        ------
        AnswerCutError
            If the host exits before the other end has taken the response.
        """
        scope = trio.CancelScope(shield=True)
        if self._is_stopped:
            scope.cancel()
        self._shields.add(scope)
        try:
            with scope:
                yield
        finally:
            self._shields.discard(scope)
        if scope.cancelled_caught:
            raise AnswerCutError(
                "the host exits, and the other end has not taken the answer",
                Cut.HOST_EXITS,
            )

    def stop(self):
        """Cancel the scopes and shielded deliveries of all entries: the host exits."""
        self._is_stopped = True
        for scope in self._shields:
            scope.cancel()
        for entry in self.running:
            if entry.scope is not None:
                _cancel(entry.scope)

    def adds_up(self):
        """Return whether each request that was read runs or has ended once."""
        is_whole = self.read == len(self.running) + self.ended.total()
        return is_whole and self.ended_twice == 0

    def counts(self):
        """Return the number of requests by state and reason.

        Returns
        -------
        dict of (str, str) to int
            States are ``"read"``, ``"running"``, ``"ended_twice"`` and the kinds.
        """
        return {
            ("read", ""): self.read,
            ("running", ""): len(self.running),
            ("ended_twice", ""): self.ended_twice,
            **self.ended,
        }


@attrs.define(eq=False)
class Entry:
    """One request in an account.

    Leaving the ``with`` of an entry that has not ended ends it as a cut, whose reason
    follows from the exception.

    Attributes
    ----------
    account : Account
        The account.
    kind, reason : str
        How the request ended (see `Account.ended`); empty before.
    scope : trio.CancelScope or None
        Cancelled when the host exits.
    """

    account: object
    kind: str = ""
    reason: str = ""
    scope: object = None

    def __enter__(self):
        """Return the entry."""
        return self

    def __exit__(self, exc_type, exc, traceback):
        """End the request as a cut if it has not ended."""
        if not self.kind:
            self.cut(cut_reason(exc))

    def open_scope(self):
        """Return a scope for the work that is cancelled when the host exits."""
        self.scope = trio.CancelScope()
        if self.account._is_stopped:
            _cancel(self.scope)
        return self.scope

    def answer(self):
        """End the request: its response was sent completely."""
        self._end(ANSWER, "")

    def refuse(self, refusal):
        """End the request: a refusal was sent completely."""
        self._end(REFUSAL, refusal.type_name)

    def cut(self, reason):
        """End the request: its caller got nothing, or not all, for a :class:`.Cut`."""
        self._end(CUT, reason.value)

    def log_fields(self):
        """Return the fields of the request's log line."""
        return {
            "ending": self.kind,
            "cut_reason": self.reason if self.kind == CUT else None,
        }

    def _end(self, kind, reason):
        account = self.account
        if self.kind:
            account.ended_twice += 1
            return
        self.kind, self.reason = kind, reason
        account.running.discard(self)
        account.ended[kind, reason] += 1


def _cancel(scope):
    """Cancel a scope so that what follows it runs though the process ends meanwhile.

    With a late event loop, work takes many turns to be cancelled.
    """
    scope.shield = True
    scope.cancel()


def cut_reason(exc):
    """Return the :class:`.Cut` of a request whose handling ended with an exception."""
    if isinstance(exc, (AnswerCutError, CallerGoneError)):
        return exc.reason
    if isinstance(exc, (ExchangeError, LinkClosedError)):
        return Cut.CALLER_GONE
    if isinstance(exc, trio.Cancelled):
        return Cut.HOST_EXITS
    if isinstance(exc, BaseExceptionGroup):
        reasons = {cut_reason(e) for e in exc.exceptions}
        if len(reasons) == 1:
            return reasons.pop()
    return Cut.INTERNAL_FAULT
