"""Exceptions and refusals of cactusmill.

:class:`CactusmillError` and its subclasses are raised. :class:`Refusal` and its
subclasses are values: a function returns one inside a ``Failure``, and the
gateway's caller receives it as problem details (RFC 9457).
"""

import enum

import attrs


class CactusmillError(Exception):
    """Base class of all exceptions that cactusmill defines."""


class SettingsError(CactusmillError):
    """A settings file is unreadable or invalid.

    Parameters
    ----------
    place : str
        Dotted path of the invalid field, such as ``"listen.callers"``.
    problem : str
        What is wrong, naming the bad value, and how to fix it.
    """

    def __init__(self, place, problem):
        super().__init__(f"{place}: {problem}")
        self.place = place
        self.problem = problem


class RecordError(CactusmillError):
    """A published record is invalid; the previous version stays in force.

    Parameters
    ----------
    record : str
        Kind and name of the record, such as ``"team/krog"``.
    field : str
        The invalid field, or an empty string for the record as a whole.
    problem : str
        What is wrong, naming the bad value, and how to fix it.
    """

    def __init__(self, record, field, problem):
        super().__init__(f"{record}: {field}: {problem}" if field else problem)
        self.record = record
        self.field = field
        self.problem = problem


class PlatformError(CactusmillError):
    """The platform did not respond, or its response is invalid."""


class LinkClosedError(CactusmillError):
    """A link to a peer closed before the response to a call was complete."""


class LinkFullError(LinkClosedError):
    """No room for a frame is left on this host, so the link serves nothing more."""


class ConnectError(CactusmillError):
    """Connecting failed, so the other end has received no byte."""


class ConnectRefusedError(ConnectError):
    """The other end refused the connection: no process listens at the address."""


class ConnectResetError(ConnectError):
    """The other end reset the connection: its listener closes, or it is full."""


class ExchangeError(CactusmillError):
    """A connection failed after bytes may have reached the other end."""


class CrossedAnswerError(ExchangeError):
    """An endpoint's response carries the identifier of another request."""


class SilentEndpointError(ExchangeError):
    """An endpoint's connection made no progress before its timeout."""


class TruncatedAnswerError(ExchangeError):
    """A response ended before it was complete according to its framing."""


class UndefinedStatusError(ExchangeError):
    """A response has a status that HTTP does not define, or an interim one."""


class OversizedAnswerError(ExchangeError):
    """A response goes on beyond the size of any that is relayed."""


class BufferLimitError(ExchangeError):
    """A host holds as many bytes of bodies and frames as it may."""


class ForwardRefusedError(CactusmillError):
    """A peer had no capacity for a forwarded request; another may be tried."""


class HostLeavingError(CactusmillError):
    """A host that leaves has not begun a forwarded request; another may be tried."""


class Cut(enum.Enum):
    """Why a request ended with neither a complete response nor a refusal."""

    DEADLINE = "deadline"
    BROKE_OFF = "endpoint broke off"
    CALLER_GONE = "caller gone"
    NOT_READ = "caller does not read"
    KEY_WITHDRAWN = "key withdrawn"
    HOST_EXITS = "host exits"
    INTERNAL_FAULT = "internal fault"
    MALFORMED = "malformed request"


class CallerGoneError(CactusmillError):
    """The caller or the forwarding host has disconnected or stopped reading.

    Parameters
    ----------
    problem : str
        What happened.
    reason : Cut
        The reason in the account of requests.
    """

    def __init__(self, problem, reason=Cut.CALLER_GONE):
        super().__init__(problem)
        self.reason = reason


class AnswerCutError(CactusmillError):
    """A response was interrupted after its head had been sent to the caller.

    Parameters
    ----------
    problem : str
        What happened.
    reason : Cut
        The reason in the account of requests.
    """

    def __init__(self, problem, reason=Cut.BROKE_OFF):
        super().__init__(problem)
        self.reason = reason


class BadRequestError(CactusmillError):
    """A caller's message violates the protocol.

    Parameters
    ----------
    status : int
        HTTP status for the violation.
    problem : str
        What is wrong with the message.
    """

    def __init__(self, status, problem):
        super().__init__(problem)
        self.status = status
        self.problem = problem


class Outcome(enum.Enum):
    """Whether a request that the gateway refused has run."""

    NOT_RUN = "not_run"
    RAN = "ran"
    UNKNOWN = "unknown"


@attrs.frozen(kw_only=True)
class Refusal:
    """A final response made by the gateway instead of an endpoint.

    Attributes
    ----------
    detail : str
        Message for the caller, naming the bad value and how to fix it.
    outcome : Outcome
        Whether the request ran. ``NOT_RUN`` also guarantees that no attempt
        made so far will run it later.
    retry_after_s : float or None
        Time after which the caller may retry, in seconds.
    hosts : tuple of str
        Base URLs of the hosts to use instead.
    identifier : str or None
        A new request identifier for the next attempt.
    status_url : str or None
        URL of an idempotent status look-up for the request.
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
    """The message violates the protocol or its body is invalid."""

    title = "Malformed request"
    status_code: int = 400

    @property
    def status(self):
        """HTTP status for the violation that was found."""
        return self.status_code


@attrs.frozen(kw_only=True)
class UnknownKey(Refusal):
    """The key is missing, unknown or withdrawn; callers cannot tell which."""

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
    """The route is at most once and the request has no minted identifier."""

    status = 428
    title = "Request identifier required"


@attrs.frozen(kw_only=True)
class IdentifierConflict(Refusal):
    """The identifier was used with another team, route or body."""

    status = 422
    title = "Identifier used for another request"


@attrs.frozen(kw_only=True)
class IdentifierSpent(Refusal):
    """The identifier was refused without a run and will never run."""

    status = 409
    title = "Identifier already refused"


@attrs.frozen(kw_only=True)
class OutcomeUnknown(Refusal):
    """The only host that may run the request cannot tell whether it ran."""

    status = 504
    title = "Outcome unknown"


@attrs.frozen(kw_only=True)
class RanWithoutAnswer(Refusal):
    """The request ran, but its response is no longer stored."""

    status = 409
    title = "Request ran; answer not held"


@attrs.frozen(kw_only=True)
class RateExceeded(Refusal):
    """The team's rate and burst do not admit the request now."""

    status = 429
    title = "Team rate exceeded"


@attrs.frozen(kw_only=True)
class CostTooLarge(Refusal):
    """The request costs more than the team's whole burst, so it never fits."""

    status = 413
    title = "Request larger than the team's burst"


@attrs.frozen(kw_only=True)
class Overloaded(Refusal):
    """The host or its endpoints have no capacity before the request's deadline."""

    status = 503
    title = "No capacity now"


@attrs.frozen(kw_only=True)
class NoEndpoint(Refusal):
    """No permitted endpoint is reachable."""

    status = 503
    title = "No endpoint reachable"


@attrs.frozen(kw_only=True)
class EndpointFailed(Refusal):
    """The endpoint failed while it was processing the request."""

    status = 502
    title = "Endpoint failed"


@attrs.frozen(kw_only=True)
class RequestSuspected(Refusal):
    """The same request was running when several endpoints crashed."""

    status = 422
    title = "Request stops endpoints"


@attrs.frozen(kw_only=True)
class DeadlineExceeded(Refusal):
    """The request's deadline passed before the response began."""

    status = 504
    title = "Deadline exceeded"


@attrs.frozen(kw_only=True)
class HostFailure(Refusal):
    """The host could not complete the request, for a reason of its own."""

    title = "Host failed"

    @property
    def status(self):
        """HTTP status: 503 only if the request did not run."""
        return 503 if self.outcome is Outcome.NOT_RUN else 502


@attrs.frozen(kw_only=True)
class InternalFault(HostFailure):
    """An internal error ended the handling of the request."""

    title = "Internal fault"


@attrs.frozen(kw_only=True)
class HostExits(HostFailure):
    """The host's time to shut down ended before the response began."""

    title = "Host exits"
