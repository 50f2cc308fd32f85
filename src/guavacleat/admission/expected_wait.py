"""How long a generation of a contended service would wait, by its rank.

A generation waits for those of its own rank and of more urgent ones. The memory released for it
is what generations of its own rank and of less urgent ones take, as it goes before the latter.
"""

from guavacleat.admission.backlog import RATE_WINDOW_SECONDS, Backlog

__all__ = [
    "MIN_RATE_DISPATCHES",
    "dispatch_rate",
    "expected_late_wait",
    "expected_wait",
    "waiting_tokens",
]

# Minimum number of dispatches for a rate: fewer are too random to refuse a request for.
MIN_RATE_DISPATCHES = 4


def expected_wait(backlog: Backlog, rank: int) -> float:
    """Seconds that a generation of ``rank`` would wait; 0 if unknown.

    :param backlog: of the service, summed over all gateways.
    """
    rate = dispatch_rate(backlog, rank)
    return waiting_tokens(backlog, rank) / rate if rate else 0.0


def expected_late_wait(backlog: Backlog, rank: int) -> float:
    """Seconds that a late generation would wait, which goes behind all others; 0 if unknown."""
    rate = dispatch_rate(backlog, rank)
    waiting = sum(item.waiting_tokens for item in backlog.backlogs_by_rank.values())
    return waiting / rate if rate else 0.0


def waiting_tokens(backlog: Backlog, rank: int) -> int:
    """Expected peak tokens of the waiting generations of ``rank`` or more urgent."""
    items = backlog.backlogs_by_rank.items()
    return sum(item.waiting_tokens for other, item in items if other <= rank)


def dispatch_rate(backlog: Backlog, rank: int) -> float:
    """Tokens a second dispatched for ``rank`` or less urgent; 0 if unknown."""
    items = [item for other, item in backlog.backlogs_by_rank.items() if other >= rank]
    if sum(item.dispatched for item in items) < MIN_RATE_DISPATCHES:
        return 0.0
    return sum(item.dispatched_tokens for item in items) / RATE_WINDOW_SECONDS
