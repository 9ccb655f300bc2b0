"""History of a run: what callers and endpoints saw, and the faults that struck.

All times are seconds of the machine's monotonic clock, which its processes share.
A history is a file of JSON lines, one record a line, in the order of their writing.
"""

import enum
import json

import attrs


class Kind(enum.Enum):
    """What may be done with a request after a failure."""

    SAFE = "safe"
    UNSAFE = "unsafe"
    STREAM = "stream"
    RESUMABLE = "resumable"


class Ending(enum.Enum):
    """How an attempt ended for its caller.

    COMPLETE: a whole response came. CUT: the connection ended inside a response.
    NO_ANSWER: it ended without a byte of one. NOT_CONNECTED: no connection was made.
    NOT_SENT: the connection ended before the request was sent whole. LEFT: the caller
    left first. OPEN: the run ended first.
    """

    COMPLETE = "complete"
    CUT = "cut"
    NO_ANSWER = "no answer"
    NOT_CONNECTED = "not connected"
    NOT_SENT = "not sent"
    LEFT = "left"
    OPEN = "open"


@attrs.frozen(kw_only=True)
class Attempt:
    """One attempt of a caller: a request with an identifier of its own.

    Attributes
    ----------
    request_id : str
        Identifier of the attempt.
    caller, team, key, region : str
        Who sent it: team and API key that it claims, and its region.
    host : str
        Name of the host that it was sent to.
    route : str
        Name of the route.
    kind : Kind
        What may be done with the request after a failure.
    connection : str
        Names the connection; `position` counts its requests from 1.
    position : int
    timeout_s, budget_s : float
        Time-out of the route, and the caller's time budget, in seconds.
    began_at : float
        When the caller began to connect or to send.
    sent_at : float or None
        When the last byte of the request was written.
    first_at : float or None
        When the first byte of the response came.
    ended_at : float
        When the attempt ended.
    ending : Ending
    reason : str
        Why the caller left: ``"deadline"``, ``"gap"`` (a stream was silent for too
        long), ``"habit"`` or because of an earlier request on the connection; of a
        cut: what was not HTTP.
    habits : tuple of str
        Habits of its caller.
    is_reset : bool
        Whether a reset ended the connection.
    was_closing : bool
        Whether an earlier response on the connection had announced its close.
    announces_close : bool
        Whether this response announced the close.
    status : int
        Status of the response; 0 without one.
    headers : dict of str to str
        Headers of the response, names in lower case.
    is_signed : bool
        Whether an endpoint's signature came with it.
    echoed_id : str
        The identifier that the response bears.
    digest : str
        Hexadecimal SHA-256 of the body as received.
    events : tuple of int
        Numbers of the events of a stream, in the order of their arrival.
    resumes : str
        Identifier of the attempt whose stream this one goes on with, or empty.
    body_bytes, response_bytes : int
        Size of the request's and the response's body.
    cost_tokens : float
        Tokens that it counts towards its team's rate.
    """

    request_id: str
    caller: str
    team: str
    key: str = ""
    region: str
    host: str
    route: str
    kind: Kind = attrs.field(converter=Kind)
    connection: str = ""
    position: int = 1
    timeout_s: float
    budget_s: float
    began_at: float
    sent_at: float | None = None
    first_at: float | None = None
    ended_at: float
    ending: Ending = attrs.field(converter=Ending)
    reason: str = ""
    habits: tuple = attrs.field(default=(), converter=tuple)
    is_reset: bool = False
    was_closing: bool = False
    announces_close: bool = False
    status: int = 0
    headers: dict = attrs.field(factory=dict)
    is_signed: bool = False
    echoed_id: str = ""
    digest: str = ""
    events: tuple = attrs.field(default=(), converter=tuple)
    resumes: str = ""
    body_bytes: int = 0
    response_bytes: int = 0
    cost_tokens: float = 0.0


@attrs.frozen(kw_only=True)
class Run:
    """One request as an endpoint received it.

    Attributes
    ----------
    request_id, endpoint, service, zone, region : str
        The request, and who received it.
    incarnation : str
        The endpoint's process.
    expected : str
        The endpoint that the sender expected.
    team, route_target : str
        Team that the gateway named, and the request's target.
    received_at : float
        When the request was read whole.
    ended_at : float or None
        When its run ended; None if the process ended first.
    ending : str
        ``"answered"``, ``"refused"`` (not run), ``"broke off"`` (planted),
        ``"cancelled"`` (its connection closed) or empty.
    status : int
        Status of the response.
    budget_s : float or None
        Time budget that the gateway passed on.
    first_event, last_event : int
        Range of a stream's events that were sent; 0 without any.
    digest : str
        Hexadecimal SHA-256 of the body that was sent.
    keys : tuple of str
        API keys found in what was received.
    """

    request_id: str
    endpoint: str
    service: str
    zone: str
    region: str
    incarnation: str
    expected: str = ""
    team: str = ""
    route_target: str = ""
    received_at: float
    ended_at: float | None = None
    ending: str = ""
    status: int = 0
    budget_s: float | None = None
    first_event: int = 0
    last_event: int = 0
    digest: str = ""
    keys: tuple = attrs.field(default=(), converter=tuple)


@attrs.frozen(kw_only=True)
class Strike:
    """A fault or planned change as it was carried out.

    Attributes
    ----------
    kind : str
        Name of the fault (:mod:`.schedule`).
    targets : tuple of str
        Names of hosts, endpoints, zones, regions, keys or ``"store"``.
    began_at : float
    ended_at : float or None
        None while it lasts, and for what has no end, such as a configuration.
    details : dict
        Parameters of the fault, and what it published (such as ``"version"``).
    """

    kind: str
    targets: tuple = attrs.field(default=(), converter=tuple)
    began_at: float
    ended_at: float | None = None
    details: dict = attrs.field(factory=dict)


@attrs.frozen(kw_only=True)
class Sample:
    """State of one host at a moment, from its metrics page and the system.

    Attributes
    ----------
    host, incarnation : str
        The host and its process.
    at : float
    metrics : dict of str to float
        Values by name and labels, as on the page.
    rss_bytes, descriptors : int
        Memory and open descriptors of the process.
    """

    host: str
    incarnation: str
    at: float
    metrics: dict = attrs.field(factory=dict)
    rss_bytes: int = 0
    descriptors: int = 0


@attrs.frozen(kw_only=True)
class Exit:
    """End of a process.

    Attributes
    ----------
    name : str
        Host, endpoint or ``"store"``.
    at : float
    code : int
        Exit code; negative for a signal.
    is_expected : bool
        Whether the soak ended it.
    """

    name: str
    at: float
    code: int
    is_expected: bool


RECORDS = {cls.__name__: cls for cls in (Attempt, Run, Strike, Sample, Exit)}


@attrs.define
class History:
    """Records of a run, by type.

    Attributes
    ----------
    settings : dict
        Settings of the run, as in its first line.
    attempts, runs, strikes, samples, exits : list
    """

    settings: dict = attrs.field(factory=dict)
    attempts: list = attrs.field(factory=list)
    runs: list = attrs.field(factory=list)
    strikes: list = attrs.field(factory=list)
    samples: list = attrs.field(factory=list)
    exits: list = attrs.field(factory=list)

    def add(self, record):
        """Add a record to the list of its type."""
        getattr(self, type(record).__name__.lower() + "s").append(record)


def encode_record(record):
    """Return a record as one line of JSON, without its end."""
    fields = attrs.asdict(
        record,
        value_serializer=lambda _i, _f, v: v.value if isinstance(v, enum.Enum) else v,
    )
    return json.dumps({"record": type(record).__name__, **fields})


def decode_record(line):
    """Return the record of a line.

    Raises
    ------
    ValueError
        If the line holds no record.
    """
    try:
        fields = json.loads(line)
        return RECORDS[fields.pop("record")](**fields)
    except (KeyError, TypeError, AttributeError) as exc:
        raise ValueError(f"not a record: {line[:80]!r}: {exc!r}") from exc


def read_history(lines):
    """Return the history in lines of JSON; the first may hold the settings.

    A line that was cut off by the end of its process is the last and is left out.
    """
    history = History()
    lines = [line for line in lines if line.strip()]
    for index, line in enumerate(lines):
        try:
            fields = json.loads(line)
        except ValueError:
            if index == len(lines) - 1:
                break
            raise
        if "settings" in fields:
            history.settings = fields["settings"]
        else:
            history.add(decode_record(line))
    return history
