"""How long a generation of a contended service would wait, by its priority.

A generation waits for those of its own priority and of more urgent ones. The memory released for it
is what generations of its own priority and of less urgent ones take, as it goes before the latter.
"""

from guavacleat.admission.backlog import Backlog

__all__ = ["dispatch_rate", "expected_late_wait", "expected_wait", "waiting_tokens"]

# Seconds over which gateways count the dispatches of a `Backlog`.
RATE_WINDOW_SECONDS = 3.0
# Minimum number of dispatches for a rate: fewer are too random to refuse a request for.
MIN_RATE_DISPATCHES = 4


def expected_wait(backlog: Backlog, priority: int) -> float:
    """Seconds that a generation of ``priority`` would wait; 0 if unknown.

    :param backlog: of the service, summed over all gateways.
    """
    rate = dispatch_rate(backlog, priority)
    return waiting_tokens(backlog, priority) / rate if rate else 0.0


def expected_late_wait(backlog: Backlog, priority: int) -> float:
    """Seconds that a late generation would wait, which goes behind all others; 0 if unknown."""
    rate = dispatch_rate(backlog, priority)
    waiting = sum(rank.waiting_tokens for rank in backlog.ranks_by_priority.values())
    return waiting / rate if rate else 0.0


def waiting_tokens(backlog: Backlog, priority: int) -> int:
    """Expected peak tokens of the waiting generations of ``priority`` or more urgent."""
    ranks = backlog.ranks_by_priority.items()
    return sum(rank.waiting_tokens for other, rank in ranks if other <= priority)


def dispatch_rate(backlog: Backlog, priority: int) -> float:
    """Tokens a second dispatched for ``priority`` or less urgent; 0 if unknown."""
    ranks = [rank for other, rank in backlog.ranks_by_priority.items() if other >= priority]
    if sum(rank.dispatched for rank in ranks) < MIN_RATE_DISPATCHES:
        return 0.0
    return sum(rank.dispatched_tokens for rank in ranks) / RATE_WINDOW_SECONDS
