"""Requests that were running on an endpoint when it crashed.

A crash makes every request that was running on the endpoint a suspect. Suspects are
retried on separate endpoints, so a second crash identifies the request that causes
them, and that request is blocked: it is refused until its entry expires. Requests
that merely ran beside it are served. Hosts report the counts to each other.

`now` is in seconds of the process's monotonic clock.
"""

import hmac

import attrs
import xxhash

from .crash_evidence import Interruptions

# Crashes from which a request is blocked.
BLOCKING_CRASHES = 2
# Time after the last report of its crashes for which a request is a suspect or blocked.
SUSPECT_TTL_S = 600.0
_MAX_SUSPECTS = 10_000


def request_digest(secret, req):
    """Return a digest by which hosts recognize repeats of a request.

    Parameters
    ----------
    secret : str
        The fleet's link secret. It keys the digest, so that others learn nothing
        about the content from it.
    req : Request
        The request.

    Returns
    -------
    str
    """
    message = b"\0".join((req.team_name.encode(), req.target.encode(), req.body))
    return hmac.digest(secret.encode(), message, "sha256")[:16].hex()


def part_digests(req):
    """Return digests of the prompt parts that a request may share with others.

    The last part belongs to the request or to its session.

    Parameters
    ----------
    req : Request
        The request.

    Returns
    -------
    list of str
    """
    names = [name.encode() for name, _ in req.prompt_segments[:-1]]
    return [xxhash.xxh3_64_hexdigest(name) for name in names]


@attrs.define
class _SuspectEntry:
    crash_count: int
    expires_at: float


@attrs.define
class CrashSuspects:
    """Crash counts of suspected requests, as known to one host.

    Attributes
    ----------
    interruptions : Interruptions
        Interrupted requests whose endpoints may have crashed.
    """

    interruptions: Interruptions = attrs.field(factory=Interruptions)
    _by_digest: dict = attrs.field(factory=dict)
    _running_suspects: dict = attrs.field(factory=dict)

    def crash_count(self, digest, now):
        """Return how many endpoints crashed while running a request, 0 if unknown."""
        entry = self._by_digest.get(digest)
        if entry is None or entry.expires_at <= now:
            return 0
        return entry.crash_count

    def is_blocked(self, digest, now):
        """Return whether a request is refused until its entry expires."""
        return self.crash_count(digest, now) >= BLOCKING_CRASHES

    def record_crash(self, digest, now):
        """Count a crash of an endpoint that was running a request.

        Returns
        -------
        int
            Crashes of the request so far.
        """
        crash_count = self.crash_count(digest, now) + 1
        self.merge_crash_count(digest, crash_count, now)
        return crash_count

    def count_crashes(self, endpoint_name, evidence, now):
        """Count an endpoint's crash against the requests that it interrupted.

        Parameters
        ----------
        endpoint_name : str
            The endpoint.
        evidence : Evidence
            What shows that it has ended.
        now : float
            Current time, in seconds.

        Returns
        -------
        list of (Interruption, int)
            The interruptions that counted, and the crashes of their requests so far.
        """
        counted = []
        for interruption in self.interruptions.confirm(endpoint_name, evidence, now):
            digest = interruption.digest
            if interruption.may_block or not self.crash_count(digest, now):
                counted.append((interruption, self.record_crash(digest, now)))
        return counted

    def merge_crash_count(self, digest, crash_count, now):
        """Merge the count of another host; the higher count wins."""
        if len(self._by_digest) >= _MAX_SUSPECTS:
            self._by_digest = {
                d: s for d, s in self._by_digest.items() if s.expires_at > now
            }
        crash_count = max(crash_count, self.crash_count(digest, now))
        self._by_digest[digest] = _SuspectEntry(crash_count, now + SUSPECT_TTL_S)

    def clear(self, digest):
        """Drop a suspect that was served without a crash, unless it is blocked."""
        self.interruptions.clear(digest)
        entry = self._by_digest.get(digest)
        if entry is not None and entry.crash_count < BLOCKING_CRASHES:
            del self._by_digest[digest]

    def may_run_on(self, digest, endpoint_name):
        """Return whether no other suspect runs on an endpoint."""
        return self._running_suspects.get(endpoint_name, digest) == digest

    def record_start(self, digest, endpoint_name):
        """Record that a suspect runs on an endpoint."""
        self._running_suspects[endpoint_name] = digest

    def record_stop(self, digest, endpoint_name):
        """Record that a suspect no longer runs on an endpoint."""
        if self._running_suspects.get(endpoint_name) == digest:
            del self._running_suspects[endpoint_name]
