"""Every failure of cactusmill, as a type.

Two families live here. :class:`CactusmillError` and its children are raised
where a program cannot go on with what it was given. :class:`Refusal` and its
children are values: a decision returns one inside a ``Failure`` and the
caller of the gateway receives it as problem details.
"""

import enum

import attrs


class CactusmillError(Exception):
    """Base of every exception that cactusmill raises on purpose."""


class SettingsError(CactusmillError):
    """A settings file cannot be used.

    Parameters
    ----------
    place : str
        Dotted path of the offending field, such as ``"listen.callers"``.
    problem : str
        What is wrong, naming the bad value, and how to mend it.
    """

    def __init__(self, place, problem):
        super().__init__(f"{place}: {problem}")
        self.place = place
        self.problem = problem


class RecordError(CactusmillError):
    """A published record cannot be used; its predecessor stays in force.

    Parameters
    ----------
    record : str
        Kind and name of the record, such as ``"team/krog"``.
    field : str
        Field at fault, or an empty string for the record as a whole.
    problem : str
        What is wrong, naming the bad value, and how to mend it.
    """

    def __init__(self, record, field, problem):
        super().__init__(f"{record}: {field}: {problem}" if field else problem)
        self.record = record
        self.field = field
        self.problem = problem


class PlatformError(CactusmillError):
    """The platform answered with something that cannot be used, or not at all."""


class LinkClosedError(CactusmillError):
    """A link to a peer ended before the answer to a call was complete."""


class ConnectError(CactusmillError):
    """No connection was made, so the far side has received no byte."""


class ConnectRefusedError(ConnectError):
    """The far side's machine answered that no process listens there."""


class ExchangeError(CactusmillError):
    """A connection failed after bytes may have reached the far side."""


class CrossedAnswerError(ExchangeError):
    """An endpoint answered with the identifier of another request."""


class SilentEndpointError(ExchangeError):
    """An endpoint's connection made no progress for too long."""


class TruncatedAnswerError(ExchangeError):
    """An answer ended before its framing said that it was complete."""


class ForwardRefusedError(CactusmillError):
    """A peer had no room for a request that may be tried elsewhere."""


class CallerGoneError(CactusmillError):
    """The caller, or the host that forwarded for it, no longer takes the answer."""


class AnswerCutError(CactusmillError):
    """An answer broke after its head had been passed on to the caller."""


class BadRequestError(CactusmillError):
    """A caller's message breaks the protocol.

    Parameters
    ----------
    status : int
        HTTP status that fits the fault.
    problem : str
        What is wrong with the message.
    """

    def __init__(self, status, problem):
        super().__init__(problem)
        self.status = status
        self.problem = problem


class Outcome(enum.Enum):
    """What the gateway knows about a request that it refused."""

    NOT_RUN = "not_run"
    RAN = "ran"
    UNKNOWN = "unknown"


@attrs.frozen(kw_only=True)
class Refusal:
    """A final answer other than the endpoint's own.

    Attributes
    ----------
    detail : str
        Sentence for the caller, naming the bad value and the mend.
    outcome : Outcome
        Whether the request ran. ``NOT_RUN`` also promises that no attempt
        made so far will run it later.
    retry_after_s : float or None
        When the caller may come back, in seconds.
    hosts : tuple of str
        Base URLs of the hosts to use instead.
    identifier : str or None
        A fresh request identifier to use for the next attempt.
    status_url : str or None
        Where an idempotent status look-up is served.
    """

    status = 500
    title = "Refused"

    detail: str
    outcome: Outcome = Outcome.NOT_RUN
    retry_after_s: float | None = None
    hosts: tuple = ()
    identifier: str | None = None
    status_url: str | None = None

    @property
    def type_name(self):
        """Name of the refusal's type, as published in problem details."""
        return type(self).__name__


@attrs.frozen(kw_only=True)
class MalformedRequest(Refusal):
    """The message breaks the protocol or its body has the wrong shape."""

    title = "Malformed request"
    status_code: int = 400

    @property
    def status(self):
        """HTTP status of the fault that was found."""
        return self.status_code


@attrs.frozen(kw_only=True)
class UnknownKey(Refusal):
    """The key is missing, unknown or withdrawn; the three look alike."""

    status = 401
    title = "Key not accepted"


@attrs.frozen(kw_only=True)
class NotPermitted(Refusal):
    """The key's team may not use the route."""

    status = 403
    title = "Route not open to this team"


@attrs.frozen(kw_only=True)
class UnknownRoute(Refusal):
    """No published route matches the method and path."""

    status = 404
    title = "No such route"


@attrs.frozen(kw_only=True)
class WrongRegion(Refusal):
    """The request may not be handled in this host's region."""

    status = 421
    title = "Region not permitted"


@attrs.frozen(kw_only=True)
class BodyTooLarge(Refusal):
    """The body is larger than the route allows."""

    status = 413
    title = "Body too large"


@attrs.frozen(kw_only=True)
class IdentifierRequired(Refusal):
    """The route may not be repeated and the request names no minted identifier."""

    status = 428
    title = "Request identifier required"


@attrs.frozen(kw_only=True)
class IdentifierConflict(Refusal):
    """The identifier was used by another team, route or body."""

    status = 422
    title = "Identifier used for another request"


@attrs.frozen(kw_only=True)
class IdentifierSpent(Refusal):
    """The identifier ended without a run and will never run."""

    status = 409
    title = "Identifier already refused"


@attrs.frozen(kw_only=True)
class OutcomeUnknown(Refusal):
    """The host that alone could know the outcome cannot say."""

    status = 504
    title = "Outcome unknown"


@attrs.frozen(kw_only=True)
class RanWithoutAnswer(Refusal):
    """The request ran, but its answer is no longer held."""

    status = 409
    title = "Request ran; answer not held"


@attrs.frozen(kw_only=True)
class RateExceeded(Refusal):
    """The team's rate and burst do not allow the request now."""

    status = 429
    title = "Team rate exceeded"


@attrs.frozen(kw_only=True)
class CostTooLarge(Refusal):
    """The request can never fit the team's burst."""

    status = 413
    title = "Request larger than the team's burst"


@attrs.frozen(kw_only=True)
class Overloaded(Refusal):
    """The host or its endpoints have no room before the request's deadline."""

    status = 503
    title = "No capacity now"


@attrs.frozen(kw_only=True)
class NoEndpoint(Refusal):
    """No permitted endpoint is reachable."""

    status = 503
    title = "No endpoint reachable"


@attrs.frozen(kw_only=True)
class EndpointFailed(Refusal):
    """The endpoint failed while it had the request."""

    status = 502
    title = "Endpoint failed"


@attrs.frozen(kw_only=True)
class RequestSuspected(Refusal):
    """The same request was running when several endpoints died."""

    status = 422
    title = "Request stops endpoints"


@attrs.frozen(kw_only=True)
class DeadlineExceeded(Refusal):
    """The request's deadline passed before the answer began."""

    status = 504
    title = "Deadline exceeded"
