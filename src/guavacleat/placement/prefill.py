"""How long engines take from the dispatch of a generation to its first event."""

__all__ = ["PREFILL_TOKENS_PER_SECOND", "FirstEventEstimate"]

# Prefill rate of an engine that is also decoding: half of the 14 tokens per millisecond without
# decoding.
PREFILL_TOKENS_PER_SECOND = 7000.0
# Weight of the newest observation in the moving average.
SMOOTHING = 0.1
# A longer delay is counted as this: the engine may have failed or been out of memory.
MAX_DELAY_SECONDS = 1.0


class FirstEventEstimate:
    """Estimates the time to the first event from a request's prompt and recent delays.

    :ivar delay: moving average of the seconds that first events came later than the prefill of
        their prompts alone would take.
    """

    def __init__(self):
        self.delay = 0.0

    def observe(self, prompt_tokens: int, seconds: float) -> None:
        """Record the time from a generation's dispatch to its first event."""
        delay = max(0.0, seconds - prompt_tokens / PREFILL_TOKENS_PER_SECOND)
        self.delay += SMOOTHING * (min(delay, MAX_DELAY_SECONDS) - self.delay)

    def seconds(self, prompt_tokens: int) -> float:
        """Expected time from the dispatch of a generation to its first event."""
        return prompt_tokens / PREFILL_TOKENS_PER_SECOND + self.delay
