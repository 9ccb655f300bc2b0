"""Discrete-event model of an engine: batching, chunked prefill, prefix cache.

Each step decodes one token of every running stream and prefills a chunk of the
queued prompts. A long prompt therefore slows all concurrent streams.

With `EngineSpec.limits_memory`, running streams share the KV cache: each holds its own
prompt segment and the tokens that it has generated, and streams with the same shared
segments hold these once. When the cache is full, the newest of the least urgent streams
is preempted and later prefilled again.
"""

import collections
import heapq

import attrs

PREFIX_CACHE_FRACTION = 0.6


@attrs.frozen(kw_only=True)
class EngineSpec:
    """What distinguishes one kind of engine from another.

    Attributes
    ----------
    step_s : float
        Duration of a step without streams and prompts, in seconds.
    step_per_stream_s : float
        What each running stream adds to a step, in seconds.
    prefill_tokens_per_s : float
        Prompt tokens that are prefilled per second.
    prefill_chunk_tokens : int
        Most prompt tokens that one step prefills.
    first_s : float
        Time from the end of the prefill to the first token, in seconds.
    kv_cache_tokens : int
        Size of the KV cache, in tokens.
    max_batch : int
        Streams that run at once.
    limits_memory : bool
        Whether running streams are limited by the size of the KV cache.
    """

    step_s: float = 0.0039
    step_per_stream_s: float = 0.0000473
    prefill_tokens_per_s: float = 91_800.0
    prefill_chunk_tokens: int = 4096
    first_s: float = 0.0
    kv_cache_tokens: int = 350_000
    max_batch: int = 128
    limits_memory: bool = False


@attrs.define(eq=False)
class EngineRequest:
    """One request at an engine.

    Attributes
    ----------
    segments : tuple of (str, int)
        Prompt segments in order, with their tokens.
    output_tokens : int
        Length of the response, in tokens.
    priority : int
        Lower values are prefilled first.
    on_first, on_end : callable
        Called with the time of the first and of the last token, in seconds.
    uncached_tokens : float
        Prompt tokens still to be prefilled.
    is_cancelled : bool
        True if the request is to be dropped.
    generated_tokens : int
        Tokens generated before the last preemption.
    preemptions : int
        How often it was preempted.
    longest_gap_s : float
        Longest time between two events, in seconds; 0 unless its engine measures it.
    started_step : int
        Step of the engine in which it last started; 0 if it is not running.
    preempted_at : float or None
        When it was preempted, in seconds; None if it has started since.
    """

    segments: tuple
    output_tokens: int
    priority: int
    on_first: object
    on_end: object
    uncached_tokens: float = 0.0
    is_cancelled: bool = False
    generated_tokens: int = 0
    preemptions: int = 0
    longest_gap_s: float = 0.0
    started_step: int = 0
    preempted_at: float | None = None


@attrs.define(eq=False)
class Engine:
    """One engine.

    Attributes
    ----------
    name, region : str
        The engine and its region.
    spec : EngineSpec
        Its properties.
    prefilled_tokens : float
        Prompt tokens prefilled so far.
    steps : int
        Number of steps run so far.
    step_s : float
        Duration of the last step, in seconds.
    tokens_per_event : int
        Tokens in an event of a stream, for the gaps; 0 to measure none.
    preemptions : int
        Number of preemptions so far.
    is_busy : bool
        Whether the engine is running steps; the simulation then calls :meth:`step`
        again when a step ends.
    """

    name: str
    region: str
    spec: EngineSpec = EngineSpec()
    prefilled_tokens: float = 0.0
    steps: int = 0
    step_s: float = 0.0
    tokens_per_event: int = 0
    preemptions: int = 0
    is_busy: bool = False
    _step_ends: list = attrs.field(factory=lambda: [0.0])
    _queue: list = attrs.field(factory=list)
    _sequence: int = 0
    _decoding: list = attrs.field(factory=list)
    _cache: collections.OrderedDict = attrs.field(factory=collections.OrderedDict)
    _cached_tokens: int = 0

    @property
    def running(self):
        """Number of streams that are being decoded."""
        return len(self._decoding)

    def add(self, req):
        """Queue a request."""
        req.uncached_tokens = self._count_uncached(req.segments)
        self._sequence += 1
        heapq.heappush(self._queue, (req.priority, self._sequence, req))

    def _count_uncached(self, segments):
        """Return the tokens after the longest cached prefix of a prompt."""
        uncached, is_cached = 0, True
        for segment, tokens in segments:
            is_cached = is_cached and segment in self._cache
            if is_cached:
                self._cache.move_to_end(segment)
            else:
                uncached += tokens
        return uncached

    def _cache_segments(self, segments):
        for segment, tokens in segments:
            if segment not in self._cache:
                self._cache[segment] = tokens
                self._cached_tokens += tokens
        while self._cached_tokens > self.spec.kv_cache_tokens * PREFIX_CACHE_FRACTION:
            _, tokens = self._cache.popitem(last=False)
            self._cached_tokens -= tokens

    def _used_tokens(self, reqs):
        """Return the tokens of KV cache that running streams hold."""
        shared, used = {}, 0
        for req in reqs:
            shared.update(req.segments[:-1])
            used += req.segments[-1][1] + req.generated_tokens
            if req.started_step:
                used += self.steps - req.started_step
        return used + sum(shared.values())

    def _make_room(self, started, now):
        """Preempt streams until the cache has room for all, including new ones.

        The newest of the least urgent streams is preempted first; one that is about
        to start returns to the queue.
        """
        running = [entry[2] for entry in self._decoding]
        order = {req: sequence for _, sequence, req in self._decoding}
        while len(running) + len(started) > 1 and (
            self._used_tokens(running + started) > self.spec.kv_cache_tokens
        ):
            victim = max(
                running + started,
                key=lambda r: (r.priority, order.get(r, float("inf"))),
            )
            if victim in started:
                started.remove(victim)
            else:
                running.remove(victim)
                self._preempt(victim, now)
            self._sequence += 1
            # Before all that have not started yet.
            heapq.heappush(self._queue, (victim.priority, -self._sequence, victim))

    def _preempt(self, req, now):
        """Stop a running stream, whose prompt and response are prefilled again."""
        self._decoding = [entry for entry in self._decoding if entry[2] is not req]
        heapq.heapify(self._decoding)
        self._measure_gaps(req)
        req.generated_tokens += self.steps - req.started_step
        req.started_step, req.preempted_at = 0, now
        req.uncached_tokens = (
            self._count_uncached(req.segments[:-1])
            + req.segments[-1][1]
            + req.generated_tokens
        )
        req.preemptions += 1
        self.preemptions += 1

    def _measure_gaps(self, req):
        """Update the longest gap of a stream with its steps since it started."""
        if not self.tokens_per_event:
            return
        ends = self._step_ends[
            req.started_step : self.steps + 1 : self.tokens_per_event
        ]
        gaps_s = [b - a for a, b in zip(ends, ends[1:], strict=False)]
        req.longest_gap_s = max([req.longest_gap_s, *gaps_s])

    def step(self, now):
        """Run one step, starting now.

        Returns
        -------
        float or None
            Time at which the step ends, in seconds; None if there is nothing to do.
        """
        if not self._queue and not self._decoding:
            self.is_busy = False
            return None
        spec = self.spec
        chunk_left, started = spec.prefill_chunk_tokens, []
        while (
            self._queue
            and chunk_left > 0
            and self.running + len(started) < spec.max_batch
        ):
            req = self._queue[0][2]
            if req.is_cancelled:
                heapq.heappop(self._queue)
                continue
            tokens = min(chunk_left, req.uncached_tokens)
            chunk_left -= tokens
            req.uncached_tokens -= tokens
            if req.uncached_tokens > 0:
                break
            heapq.heappop(self._queue)
            started.append(req)
        if spec.limits_memory:
            self._make_room(started, now)
        prefilled = spec.prefill_chunk_tokens - chunk_left
        self.prefilled_tokens += prefilled
        self.step_s = (
            spec.step_s
            + spec.step_per_stream_s * self.running
            + prefilled / spec.prefill_tokens_per_s
        )
        end = now + self.step_s
        self.steps += 1
        if self.tokens_per_event:
            self._step_ends.append(end)
        while self._decoding and self._decoding[0][0] <= self.steps:
            req = heapq.heappop(self._decoding)[2]
            if not req.is_cancelled:
                self._measure_gaps(req)
                req.on_end(end)
        for req in started:
            self._cache_segments(req.segments)
            self._sequence += 1
            heapq.heappush(
                self._decoding,
                (
                    self.steps + req.output_tokens - req.generated_tokens,
                    self._sequence,
                    req,
                ),
            )
            req.started_step = self.steps
            if req.preempted_at is None:
                req.on_first(end + spec.first_s)
            else:
                pause_s = end - req.preempted_at
                req.longest_gap_s = max(req.longest_gap_s, pause_s)
                req.preempted_at = None
        return end
