"""Settings and sequences of a stand-in engine, with their output lengths and tokens."""

import hashlib
import random

from twisted.internet import defer
from twisted.internet.interfaces import IReactorTime

__all__ = ["EngineSettings", "Sequence", "output_length_of", "token_of"]

WORDS = ("the", "caller", "listing", "number", "garage", "slot", "summary", "check", "route", "ok")
PARETO_SHAPE = 1.2
MIN_OUTPUT_TOKENS = 4


class EngineSettings:
    """Sizes and behaviour of one stand-in engine; times in seconds, KV cache in tokens.

    :param output_length: None for random lengths, a fixed length, or a callable from request id
        to length.
    :param prefill_rate: prompt tokens prefilled per second; None if prefill takes no time.
    """

    __slots__ = (
        "name",
        "step_seconds",
        "max_batch",
        "kv_capacity",
        "cache_blocks",
        "load_lag",
        "event_lag",
        "event_gap_every",
        "fencing",
        "output_length",
        "prefill_rate",
        "prefill_chunk",
    )

    def __init__(
        self,
        name: str = "engine",
        step_seconds: float = 0.01,
        max_batch: int = 16,
        kv_capacity: int = 8192,
        cache_blocks: int = 256,
        load_lag: float = 0.5,
        event_lag: float = 0.2,
        event_gap_every: int = 7,
        fencing: str = "refuse",
        output_length=None,
        prefill_rate: float | None = None,
        prefill_chunk: int = 512,
    ):
        self.name = name
        self.step_seconds = step_seconds
        self.max_batch = max_batch
        self.kv_capacity = kv_capacity
        self.cache_blocks = cache_blocks
        self.load_lag = load_lag
        self.event_lag = event_lag
        self.event_gap_every = event_gap_every
        self.fencing = fencing
        self.output_length = output_length
        self.prefill_rate = prefill_rate
        self.prefill_chunk = prefill_chunk


class Sequence:
    """One generation on this engine; ``tokens`` is append-only."""

    __slots__ = (
        "stream_id",
        "request_id",
        "generation",
        "priority",
        "prompt_tokens",
        "target_length",
        "tokens",
        "kv_tokens",
        "preemptions",
        "finished",
        "finish_reason",
        "arrival",
        "waiters",
        "blocks",
        "prefill_remaining",
    )

    def __init__(
        self,
        stream_id,
        request_id,
        generation,
        priority,
        prompt_tokens,
        target_length,
        arrival,
        blocks,
    ):
        self.stream_id = stream_id
        self.request_id = request_id
        self.generation = generation
        self.priority = priority
        self.prompt_tokens = prompt_tokens
        self.target_length = target_length
        self.tokens: list[str] = []
        self.kv_tokens = 0
        self.preemptions = 0
        self.finished = False
        self.finish_reason = ""
        self.arrival = arrival
        self.waiters: list[defer.Deferred] = []
        self.blocks = blocks
        self.prefill_remaining = 0

    def wait(self, clock: IReactorTime, seconds: float) -> defer.Deferred:
        """Fire with the sequence at its next change, or after ``seconds``."""
        waiter = defer.Deferred()
        self.waiters.append(waiter)
        timer = clock.callLater(seconds, self._wake, waiter)
        waiter.addCallback(_cancel_timer, timer)
        return waiter

    def wake_all(self) -> None:
        """Notify all waiters of a change."""
        waiters, self.waiters = self.waiters, []
        for waiter in waiters:
            if not waiter.called:
                waiter.callback(self)

    def _wake(self, waiter: defer.Deferred) -> None:
        if waiter in self.waiters:
            self.waiters.remove(waiter)
        if not waiter.called:
            waiter.callback(self)


def output_length_of(request_id: str, max_tokens: int, fixed) -> int:
    """Return ``fixed`` (a number or a callable) or a random length, capped by ``max_tokens``."""
    if fixed is not None:
        return min(max_tokens, fixed(request_id) if callable(fixed) else fixed)
    draw = random.Random(request_id).paretovariate(PARETO_SHAPE)
    return max(1, min(max_tokens, int(MIN_OUTPUT_TOKENS * draw)))


def token_of(generation: str, index: int) -> str:
    """Return the token at an index of a generation; deterministic."""
    digest = hashlib.blake2b(f"{generation}:{index}".encode(), digest_size=2).digest()
    return WORDS[digest[0] % len(WORDS)]


def _cancel_timer(sequence: Sequence, timer):
    if timer.active():
        timer.cancel()
    return sequence
