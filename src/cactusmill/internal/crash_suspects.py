"""Requests that were running when an endpoint died.

One death makes every request on the endpoint a suspect. Suspects are retried
on separate endpoints, so a second death condemns the one request that caused
it, and an innocent neighbour of the first death is served.
"""

import hmac

import attrs

BLOCKING_CRASHES = 2
SUSPECT_TTL_S = 600.0
_MAX_SUSPECTS = 10_000


def request_digest(secret, req):
    """Return a digest by which hosts know a request again.

    Parameters
    ----------
    secret : str
        The fleet's link secret: without it, the digest says nothing about
        the content.
    req : Request
        The request.

    Returns
    -------
    str
    """
    message = b"\0".join((req.team_name.encode(), req.target.encode(), req.body))
    return hmac.digest(secret.encode(), message, "sha256")[:16].hex()


@attrs.define
class _Suspicion:
    crash_count: int
    until: float


@attrs.define
class CrashSuspects:
    """Suspected requests, as one host knows them."""

    _by_digest: dict = attrs.field(factory=dict)
    _running: dict = attrs.field(factory=dict)

    def crash_count(self, digest, now):
        """Return how many endpoints died with a request."""
        suspicion = self._by_digest.get(digest)
        if suspicion is None or suspicion.until <= now:
            return 0
        return suspicion.crash_count

    def is_blocked(self, digest, now):
        """Tell whether a request is refused for now."""
        return self.crash_count(digest, now) >= BLOCKING_CRASHES

    def record_crash(self, digest, now):
        """Count an endpoint's death against a request.

        Returns
        -------
        int
            Deaths so far.
        """
        crash_count = self.crash_count(digest, now) + 1
        self.merge_crash_count(digest, crash_count, now)
        return crash_count

    def merge_crash_count(self, digest, crash_count, now):
        """Take over what another host counted; the higher number holds."""
        if len(self._by_digest) >= _MAX_SUSPECTS:
            self._by_digest = {
                d: s for d, s in self._by_digest.items() if s.until > now
            }
        crash_count = max(crash_count, self.crash_count(digest, now))
        self._by_digest[digest] = _Suspicion(crash_count, now + SUSPECT_TTL_S)

    def clear(self, digest):
        """Forget a suspect that was served without harm."""
        suspicion = self._by_digest.get(digest)
        if suspicion is not None and suspicion.crash_count < BLOCKING_CRASHES:
            del self._by_digest[digest]

    def may_run_on(self, digest, endpoint_name):
        """Tell whether no other suspect runs on an endpoint."""
        return self._running.get(endpoint_name, digest) == digest

    def start(self, digest, endpoint_name):
        """Note that a suspect runs on an endpoint."""
        self._running[endpoint_name] = digest

    def stop(self, digest, endpoint_name):
        """Note that a suspect's run on an endpoint has ended."""
        if self._running.get(endpoint_name) == digest:
            del self._running[endpoint_name]
