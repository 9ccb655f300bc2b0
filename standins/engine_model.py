"""Engines as a model in simulated time: batches, chunked reading, caches.

Each step makes one token for every running stream and reads a part of the
prompts that wait. A long prompt therefore slows all streams beside it.
"""

import collections
import heapq

import attrs

# Figures of the users' sheets, per engine.
STEP_S = 0.0039
STEP_PER_STREAM_S = 0.0000473
READ_TOKENS_PER_S = 91_800.0
CHUNK_TOKENS = 4096
MEMORY_TOKENS = 350_000
BATCH = 128
CACHE_PART = 0.6


@attrs.define(eq=False)
class Work:
    """One request at an engine.

    Attributes
    ----------
    parts : tuple of (str, int)
        Prompt parts in order.
    output_tokens : int
        Length of the answer.
    rank : int
        0 is read first.
    on_first, on_end : callable
        Called with the time, in seconds.
    """

    parts: tuple
    output_tokens: int
    rank: int
    on_first: object
    on_end: object
    unread: float = 0.0
    is_cancelled: bool = False


@attrs.define(eq=False)
class Engine:
    """One engine.

    Attributes
    ----------
    name, region : str
        Which one it is.
    read_tokens : float
        Prompt tokens read so far.
    read_again : float
        Shared tokens among them that it or another had read before.
    """

    name: str
    region: str
    read_tokens: float = 0.0
    steps: int = 0
    step_s: float = STEP_S
    is_busy: bool = False
    _waiting: list = attrs.field(factory=list)
    _order: int = 0
    _ends: list = attrs.field(factory=list)
    _cache: collections.OrderedDict = attrs.field(factory=collections.OrderedDict)
    _cached: int = 0

    @property
    def running(self):
        """Number of streams that get a token each step."""
        return len(self._ends)

    def add(self, work):
        """Queue a request."""
        work.unread = self._unread(work.parts)
        self._order += 1
        heapq.heappush(self._waiting, (work.rank, self._order, work))

    def _unread(self, parts):
        unread, is_held = 0, True
        for part, tokens in parts:
            is_held = is_held and part in self._cache
            if is_held:
                self._cache.move_to_end(part)
            else:
                unread += tokens
        return unread

    def _remember(self, parts):
        for part, tokens in parts:
            if part not in self._cache:
                self._cache[part] = tokens
                self._cached += tokens
        while self._cached > MEMORY_TOKENS * CACHE_PART:
            _, tokens = self._cache.popitem(last=False)
            self._cached -= tokens

    def step(self, now):
        """Run one step that begins now.

        Returns
        -------
        float or None
            When it ends, in seconds; None if there is nothing to do.
        """
        if not self._waiting and not self._ends:
            self.is_busy = False
            return None
        room, begun = CHUNK_TOKENS, []
        while self._waiting and room > 0 and self.running + len(begun) < BATCH:
            work = self._waiting[0][2]
            if work.is_cancelled:
                heapq.heappop(self._waiting)
                continue
            taken = min(room, work.unread)
            room -= taken
            work.unread -= taken
            if work.unread > 0:
                break
            heapq.heappop(self._waiting)
            begun.append(work)
        read = CHUNK_TOKENS - room
        self.read_tokens += read
        self.step_s = (
            STEP_S + STEP_PER_STREAM_S * self.running + read / READ_TOKENS_PER_S
        )
        end = now + self.step_s
        self.steps += 1
        while self._ends and self._ends[0][0] <= self.steps:
            work = heapq.heappop(self._ends)[2]
            if not work.is_cancelled:
                work.on_end(end)
        for work in begun:
            self._remember(work.parts)
            self._order += 1
            heapq.heappush(
                self._ends, (self.steps + work.output_tokens, self._order, work)
            )
            work.on_first(end)
        return end
