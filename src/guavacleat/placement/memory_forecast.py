"""Forecast of the memory that the runs of an engine will need.

Runs hold less than their peaks until they end, and the first one that ends releases its memory. The
sum of the peaks is therefore much more than what they need at one time.
"""

from guavacleat.placement.load import EndpointLoad

__all__ = ["OVERRUN_PROBABILITY", "forecast_tokens", "growth_share"]

# Probability that the runs need more memory than forecast before one of them ends. An engine that
# is short of memory preempts its newest run, which costs less than leaving memory unused.
OVERRUN_PROBABILITY = 0.2


def growth_share(runs: int) -> float:
    """Share of the expected growth of ``runs`` runs that counts, in 0 to 1.

    With remaining lengths spread evenly up to the longest, the probability that no run has ended
    after the share x of the longest is (1 - x)^runs. Until then the runs have grown by 2 x of what
    they are expected to grow by in total, as the mean is half of the longest.
    """
    if runs <= 0:
        return 1.0
    return min(1.0, 2.0 * (1.0 - OVERRUN_PROBABILITY ** (1.0 / runs)))


def forecast_tokens(load: EndpointLoad) -> float:
    """Tokens of memory that the runs of ``load`` need until the first of them ends.

    A load without ``held_tokens``, as earlier releases report it, counts its peak.
    """
    if not load.held_tokens:
        return load.peak_tokens
    growth = max(0, load.peak_tokens - load.held_tokens)
    return load.held_tokens + growth_share(load.runs) * growth
