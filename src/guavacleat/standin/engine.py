"""Stand-in model engine: continuous batching over a simulated key-value memory.

Each step (``step_seconds``) every running sequence emits one token and grows its memory by one
token. Waiting sequences are admitted by priority (lower number first), then arrival, while the
batch and memory have room. A sequence's prompt is read before its first token, at
``prefill_rate`` tokens a second and at most ``prefill_chunk`` a step, which makes that step
longer for every running sequence; the blocks of its prefix that are cached need no reading.
When memory fills mid-decode the engine preempts the least urgent, newest sequence: it goes back
to waiting, keeps the tokens it has emitted, reads prompt and tokens in again later and goes on
in the same generation.

Output lengths are drawn from a heavy-tailed distribution seeded by the request id, capped by
``max_tokens``, so neither caller nor gateway knows them ahead (benchmarks may fix the length
with ``output_length``). Load reports lag by
``load_lag`` seconds; cache events are published ``event_lag`` seconds late and every
``event_gap_every``-th one is dropped. Orders carry a fencing number; with ``fencing="refuse"``
an order below the highest seen is refused, with ``fencing="ignore"`` it is applied anyway.
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
    """The engine's state machine, driven by the reactor's clock."""

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
        self.prompt_tokens_read = 0
        self._ids = itertools.count(1)
        self._event_numbers = itertools.count(1)
        self._stepping = None

    # Requests ---------------------------------------------------------------------------
    def submit(
        self, request_id: str, prompt: str, max_tokens: int, priority: int, resume=()
    ) -> Sequence:
        """Queue a generation and return its sequence; the stream id is new on every call.

        ``resume`` holds tokens another engine already emitted for this request; they are
        prefilled and the sequence continues from index ``len(resume)``.
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
            self._note_prefix(sequence.blocks)
        self._ensure_stepping()
        return sequence

    def read(self, stream_id: str, cursor: int, wait: float) -> defer.Deferred:
        """Fire with the sequence once it has tokens past ``cursor``, is finished, or ``wait``."""
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
        """Admit, read prompts, decode a token per sequence read, preempt if memory overflows."""
        self._admit()
        read = self._read_prompts()
        for sequence in [seq for seq in self.running if not seq.to_read]:
            self._decode(sequence)
        while self.kv_used() > self.settings.kv_capacity and self.running:
            self._preempt(max(self.running, key=lambda seq: (seq.priority, seq.arrival)))
        self._record_load()
        self._stepping = None
        self._ensure_stepping(read / self.settings.prefill_rate if read else 0.0)

    def _read_prompts(self) -> int:
        """Read up to a chunk of the prompts admitted; return how many tokens were read."""
        budget = self.settings.prefill_chunk
        for sequence in [seq for seq in self.running if seq.to_read]:
            taken = min(budget, sequence.to_read)
            sequence.to_read -= taken
            budget -= taken
            if taken and not sequence.to_read:
                self._note_prefix(sequence.blocks)
        read = self.settings.prefill_chunk - budget
        self.prompt_tokens_read += read
        return read

    def _to_read(self, sequence: Sequence) -> int:
        """Tokens to read before the sequence goes on: all but the cached prefix."""
        if self.settings.prefill_rate is None:
            return 0
        cached = itertools.takewhile(self.cached_blocks.__contains__, sequence.blocks)
        cached_tokens = sum(BLOCK_TOKENS for _ in cached)
        return max(1, sequence.prompt_tokens + len(sequence.tokens) - cached_tokens)

    def kv_used(self) -> int:
        return sum(seq.kv_held for seq in self.running)

    def _ensure_stepping(self, reading: float = 0.0) -> None:
        if self._stepping is None and (self.waiting or self.running):
            delay = self.settings.step_seconds + reading
            self._stepping = self.clock.callLater(delay, self.step)

    def _admit(self) -> None:
        self.waiting.sort(key=lambda seq: (seq.priority, seq.arrival))
        while self.waiting and len(self.running) < self.settings.max_batch:
            candidate = self.waiting[0]
            needed = candidate.prompt_tokens + len(candidate.tokens) + 1
            if self.kv_used() + needed > self.settings.kv_capacity:
                return
            self.waiting.pop(0)
            candidate.kv_held = needed
            candidate.to_read = self._to_read(candidate)
            self.running.append(candidate)

    def _decode(self, sequence: Sequence) -> None:
        index = len(sequence.tokens)
        sequence.tokens.append(token_of(sequence.generation, index))
        sequence.kv_held += 1
        if len(sequence.tokens) >= sequence.target_length:
            self._finish(sequence, "stop")
        else:
            sequence.wake_all()

    def _preempt(self, sequence: Sequence) -> None:
        self.running.remove(sequence)
        sequence.kv_held = 0
        sequence.preemptions += 1
        self.preemptions += 1
        self.waiting.append(sequence)

    def _finish(self, sequence: Sequence, reason: str) -> None:
        sequence.finished = True
        sequence.finish_reason = reason
        sequence.kv_held = 0
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
        """The load as it was ``load_lag`` seconds ago (the newest older snapshot)."""
        cutoff = self.clock.seconds() - self.settings.load_lag
        older = [snapshot for at, snapshot in self.load_history if at <= cutoff]
        empty = {"running": 0, "waiting": 0, "kv_used": 0, "preemptions": 0}
        sizes = {"kv_capacity": self.settings.kv_capacity, "slots": self.settings.max_batch}
        return older[-1] if older else {**empty, **sizes}

    def _note_prefix(self, blocks: list[str]) -> None:
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
        """Events numbered above ``since`` that are at least ``event_lag`` old; some are missing."""
        cutoff = self.clock.seconds() - self.settings.event_lag
        first = bisect.bisect_right(self.events, since, key=lambda event: event[1])
        late_enough = itertools.takewhile(lambda event: event[0] <= cutoff, self.events[first:])
        return [(n, kind, block) for _, n, kind, block in late_enough]

    # Orders -----------------------------------------------------------------------------
    def order(self, kind: str, target: str, fencing: int) -> bool:
        """Apply an order (load model, adapter, version, or change role); False if refused."""
        if fencing < self.highest_fencing and self.settings.fencing == "refuse":
            return False
        self.highest_fencing = max(self.highest_fencing, fencing)
        self.loaded_by_kind[kind] = target
        return True
