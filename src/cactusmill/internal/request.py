"""One caller's request on its way through the fleet."""

import attrs

from ..records import Route, Team


@attrs.frozen(kw_only=True)
class Request:
    """An authenticated request.

    Attributes
    ----------
    request_id : str
        Made by the host that accepted it; endpoints echo it.
    route : Route
        What was asked for.
    team : Team or None
        Who asks; None on a route open to all.
    records_version : int
        Version of the records that the key was judged by.
    method, target : str
        As sent by the caller.
    headers : list of (bytes, bytes)
        Headers that may be passed on; the key is not among them.
    body : bytes
        The whole body.
    deadline : float
        Time by which the answer must begin, in seconds on this host's clock.
    service : str
        Model or service that an endpoint must serve.
    cost_tokens : float
        Most tokens that it can use.
    prompt_tokens : int
        Estimated length of a model request's prompt.
    output_tokens : int
        Expected length of a model request's answer.
    affinity : str
        Digest of the prompt's beginning, kept in the region; empty if none.
    is_stream : bool
        True if the answer is a stream of events.
    identifier : Identifier or None
        Minted identifier of a request that runs at most once.
    objective_at : float
        Time by which the answer should begin, in seconds.
    prompt_segments : tuple of (str, int)
        The prompt's parts in order with their tokens; equal beginnings share
        parts.
    """

    request_id: str
    route: Route
    team: Team | None
    records_version: int
    method: str
    target: str
    headers: list
    body: bytes = attrs.field(repr=False)
    deadline: float
    service: str
    cost_tokens: float = 0.0
    prompt_tokens: int = 0
    output_tokens: int = 0
    affinity: str = ""
    is_stream: bool = False
    identifier: object = None
    objective_at: float = 0.0
    prompt_segments: tuple = ()

    @property
    def team_name(self):
        """Name of the team, or an empty text on an open route."""
        return self.team.name if self.team else ""


@attrs.frozen
class Sink:
    """Where an answer goes: a caller's connection or a link.

    Attributes
    ----------
    head : callable
        ``await head(status, headers)``, once.
    data : callable
        ``await data(chunk)``, for each part of the body.
    end : callable
        ``await end()``, once the body is whole.
    chunked_stream : callable or None
        ``chunked_stream()`` returns the caller's transport if a body in
        chunked transfer coding may be written to it as it is, else None.
    end_chunked : callable or None
        ``end_chunked()``, once that body is whole.
    """

    head: object
    data: object
    end: object
    chunked_stream: object = None
    end_chunked: object = None


def is_permitted(region, team, route):
    """Tell whether a request may be handled in a region.

    Parameters
    ----------
    region : str
        Where it would be handled.
    team : Team or None
        Whose data it carries; None on a route open to all.
    route : Route
        What was asked for.

    Returns
    -------
    bool
    """
    by_team = team is None or not team.regions or region in team.regions
    by_route = not route.regions or region in route.regions
    return by_team and by_route
