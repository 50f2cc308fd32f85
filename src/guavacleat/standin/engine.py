"""Stand-in model engine: continuous batching over a simulated KV cache.

Each step (``step_seconds``) decodes one token for every running sequence, which adds one token to
its KV cache. Waiting sequences are admitted by priority (lower number first), then by arrival,
while the batch and the KV cache have capacity. A sequence's prompt is prefilled before its first
token, at ``prefill_rate`` tokens per second and at most ``prefill_chunk`` tokens per step; a step
with prefill takes longer for every running sequence. Cached prefix blocks need no prefill.

When the KV cache overflows during decoding, the engine preempts the sequence with the lowest
priority that arrived last. It returns to the waiting queue with the tokens it has emitted, is
prefilled again later and continues the same generation.

Output lengths are drawn from a heavy-tailed distribution seeded by the request id and capped by
``max_tokens``, so neither callers nor gateways know them in advance; ``output_length`` fixes them.
Load reports lag by ``load_lag`` seconds. Cache events are published after ``event_lag`` seconds,
and every ``event_gap_every``-th event is dropped. Orders carry a fencing number: with
``fencing="refuse"`` an order whose number is below the highest seen is refused, with
``fencing="ignore"`` it is applied.
"""

import bisect
import itertools

from twisted.internet import defer
from twisted.internet.interfaces import IReactorTime

from guavacleat.routing.prefix import BLOCK_TOKENS, prefix_blocks
from guavacleat.standin.sequences import (
    EngineSettings,
    Sequence,
    output_length_of,
    token_of,
)

__all__ = ["Engine"]

MAX_EVENTS = 4096


class Engine:
    """State machine of the engine, driven by the reactor's clock."""

    def __init__(self, clock: IReactorTime, settings: EngineSettings):
        self.clock = clock
        self.settings = settings
        self.sequences_by_id: dict[str, Sequence] = {}
        self.waiting: list[Sequence] = []
        self.running: list[Sequence] = []
        self.cached_blocks: dict[str, float] = {}
        self.events: list[tuple[float, int, str, str]] = []
        self.load_history: list[tuple[float, dict]] = []
        self.highest_fencing = 0
        self.loaded_by_kind: dict[str, str] = {}
        self.preemptions = 0
        self.prefilled_tokens = 0
        self._ids = itertools.count(1)
        self._event_numbers = itertools.count(1)
        self._stepping = None

    # Requests ---------------------------------------------------------------------------
    def submit(
        self, request_id: str, prompt: str, max_tokens: int, priority: int, resume=()
    ) -> Sequence:
        """Queue a generation and return its sequence, with a new stream id per call.

        :param resume: tokens that another engine has emitted for this request; they are prefilled
            and the sequence continues from index ``len(resume)``.
        """
        stream_id = f"{self.settings.name}-{next(self._ids)}"
        sequence = Sequence(
            stream_id,
            request_id,
            generation=f"{self.settings.name}/{request_id}/{stream_id}",
            priority=priority,
            prompt_tokens=max(1, len(prompt.split())),
            target_length=output_length_of(request_id, max_tokens, self.settings.output_length),
            arrival=self.clock.seconds(),
            blocks=prefix_blocks(prompt.split()),
        )
        sequence.tokens.extend(resume)
        self.sequences_by_id[stream_id] = sequence
        if len(sequence.tokens) >= sequence.target_length:
            self._finish(sequence, "stop")
            return sequence
        self.waiting.append(sequence)
        if self.settings.prefill_rate is None:
            self._cache_prefix(sequence.blocks)
        self._ensure_stepping()
        return sequence

    def read(self, stream_id: str, cursor: int, wait: float) -> defer.Deferred:
        """Fire with the sequence on tokens past ``cursor``, its end, or after ``wait`` seconds."""
        sequence = self.sequences_by_id[stream_id]
        if len(sequence.tokens) > cursor or sequence.finished or wait <= 0:
            return defer.succeed(sequence)
        return sequence.wait(self.clock, wait)

    def cancel(self, stream_id: str) -> None:
        sequence = self.sequences_by_id.get(stream_id)
        if sequence and not sequence.finished:
            self._finish(sequence, "cancelled")

    # Steps ------------------------------------------------------------------------------
    def step(self) -> None:
        """Admit, prefill, decode one token per prefilled sequence, preempt on KV cache overflow."""
        self._admit()
        prefilled = self._prefill()
        for sequence in [seq for seq in self.running if not seq.prefill_remaining]:
            self._decode(sequence)
        while self.kv_used() > self.settings.kv_capacity and self.running:
            self._preempt(max(self.running, key=lambda seq: (seq.priority, seq.arrival)))
        self._record_load()
        self._stepping = None
        self._ensure_stepping(prefilled / self.settings.prefill_rate if prefilled else 0.0)

    def _prefill(self) -> int:
        """Prefill up to one chunk of the admitted prompts; return the number of tokens."""
        budget = self.settings.prefill_chunk
        for sequence in [seq for seq in self.running if seq.prefill_remaining]:
            chunk = min(budget, sequence.prefill_remaining)
            sequence.prefill_remaining -= chunk
            budget -= chunk
            if chunk and not sequence.prefill_remaining:
                self._cache_prefix(sequence.blocks)
        prefilled = self.settings.prefill_chunk - budget
        self.prefilled_tokens += prefilled
        return prefilled

    def _tokens_to_prefill(self, sequence: Sequence) -> int:
        """Return the number of tokens to prefill: prompt and output without the cached prefix."""
        if self.settings.prefill_rate is None:
            return 0
        cached = itertools.takewhile(self.cached_blocks.__contains__, sequence.blocks)
        cached_tokens = sum(BLOCK_TOKENS for _ in cached)
        return max(1, sequence.prompt_tokens + len(sequence.tokens) - cached_tokens)

    def kv_used(self) -> int:
        return sum(seq.kv_tokens for seq in self.running)

    def _ensure_stepping(self, prefill_seconds: float = 0.0) -> None:
        if self._stepping is None and (self.waiting or self.running):
            delay = self.settings.step_seconds + prefill_seconds
            self._stepping = self.clock.callLater(delay, self.step)

    def _admit(self) -> None:
        self.waiting.sort(key=lambda seq: (seq.priority, seq.arrival))
        while self.waiting and len(self.running) < self.settings.max_batch:
            candidate = self.waiting[0]
            needed = candidate.prompt_tokens + len(candidate.tokens) + 1
            if self.kv_used() + needed > self.settings.kv_capacity:
                return
            self.waiting.pop(0)
            candidate.kv_tokens = needed
            candidate.prefill_remaining = self._tokens_to_prefill(candidate)
            self.running.append(candidate)

    def _decode(self, sequence: Sequence) -> None:
        index = len(sequence.tokens)
        sequence.tokens.append(token_of(sequence.generation, index))
        sequence.kv_tokens += 1
        if len(sequence.tokens) >= sequence.target_length:
            self._finish(sequence, "stop")
        else:
            sequence.wake_all()

    def _preempt(self, sequence: Sequence) -> None:
        self.running.remove(sequence)
        sequence.kv_tokens = 0
        sequence.preemptions += 1
        self.preemptions += 1
        self.waiting.append(sequence)

    def _finish(self, sequence: Sequence, reason: str) -> None:
        sequence.finished = True
        sequence.finish_reason = reason
        sequence.kv_tokens = 0
        for queue in (self.running, self.waiting):
            if sequence in queue:
                queue.remove(sequence)
        sequence.wake_all()

    # Reports ----------------------------------------------------------------------------
    def _record_load(self) -> None:
        now = self.clock.seconds()
        snapshot = {
            "running": len(self.running),
            "waiting": len(self.waiting),
            "kv_used": self.kv_used(),
            "kv_capacity": self.settings.kv_capacity,
            "slots": self.settings.max_batch,
            "preemptions": self.preemptions,
        }
        self.load_history.append((now, snapshot))
        horizon = now - 2 * self.settings.load_lag
        self.load_history = [entry for entry in self.load_history if entry[0] >= horizon]

    def load(self) -> dict:
        """Return the newest snapshot at least ``load_lag`` seconds old; an idle one if none is."""
        cutoff = self.clock.seconds() - self.settings.load_lag
        older = [snapshot for at, snapshot in self.load_history if at <= cutoff]
        empty = {"running": 0, "waiting": 0, "kv_used": 0, "preemptions": 0}
        sizes = {"kv_capacity": self.settings.kv_capacity, "slots": self.settings.max_batch}
        return older[-1] if older else {**empty, **sizes}

    def _cache_prefix(self, blocks: list[str]) -> None:
        for block in blocks:
            if self.cached_blocks.pop(block, None) is None:
                self._publish("stored", block)
            self.cached_blocks[block] = self.clock.seconds()
        while len(self.cached_blocks) > self.settings.cache_blocks:
            oldest = next(iter(self.cached_blocks))
            del self.cached_blocks[oldest]
            self._publish("evicted", oldest)

    def _publish(self, kind: str, block: str) -> None:
        number = next(self._event_numbers)
        if number % self.settings.event_gap_every:
            self.events.append((self.clock.seconds(), number, kind, block))
            if len(self.events) > 2 * MAX_EVENTS:
                del self.events[:MAX_EVENTS]

    def cache_events(self, since: int) -> list[tuple[int, str, str]]:
        """Return events numbered above ``since`` and older than ``event_lag``, with gaps."""
        cutoff = self.clock.seconds() - self.settings.event_lag
        first = bisect.bisect_right(self.events, since, key=lambda event: event[1])
        published_events = itertools.takewhile(
            lambda event: event[0] <= cutoff, self.events[first:]
        )
        return [(n, kind, block) for _, n, kind, block in published_events]

    # Orders -----------------------------------------------------------------------------
    def order(self, kind: str, target: str, fencing: int) -> bool:
        """Apply an order to load a model, adapter or version, or change role; False if refused."""
        if fencing < self.highest_fencing and self.settings.fencing == "refuse":
            return False
        self.highest_fencing = max(self.highest_fencing, fencing)
        self.loaded_by_kind[kind] = target
        return True
