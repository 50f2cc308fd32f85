"""Decides which generations of a contended service are refused, and when they may return.

The decisions depend on the expected wait for the request's rank, so that an urgent request is
never refused because of less urgent ones that wait.
"""

import random

from guavacleat.admission.backlog import Backlog
from guavacleat.admission.expected_wait import expected_late_wait, expected_wait
from guavacleat.admission.return_times import ReturnTimes
from guavacleat.forwarding.refusals import RefusalError, RefusalReason

__all__ = ["Arrival", "RefusalPolicy"]

# Expected wait in seconds from which on requests that would miss their goal go behind the others.
# Shorter waits are within the error of the estimate.
OVERLOAD_WAIT_SECONDS = 0.3
# Time before the latest start at which a request should start: the time to its first event varies
# by about this much.
GOAL_MARGIN_SECONDS = 0.4


class Arrival:
    """A request as the policy sees it; times are clock times in seconds.

    :param expected_tokens: engine memory expected at its end.
    :param latest_start: latest dispatch with which it meets its latency goal.
    :param wait_deadline: end of its wait, see :class:`~.fleet_entry.FleetEntry`.
    :param deadline: when its caller gives up.
    """

    __slots__ = ("rank", "expected_tokens", "latest_start", "wait_deadline", "deadline")

    def __init__(
        self,
        rank: int,
        expected_tokens: int,
        latest_start: float,
        wait_deadline: float,
        deadline: float,
    ):
        self.rank = rank
        self.expected_tokens = expected_tokens
        self.latest_start = latest_start
        self.wait_deadline = wait_deadline
        self.deadline = deadline


class RefusalPolicy:
    """The refusals of one contended service at one gateway.

    All methods take the service's backlog, summed over this gateway and its peers, and the clock
    time in seconds. They are called only while no engine has room for the request. The refusals
    that they return are for the caller to raise; each counts as a return that is due.

    :param clock: tells which returns are still due when :attr:`returns_due` is read.
    :param seed: of the random spread of return times.
    """

    def __init__(self, clock, seed=None):
        self.clock = clock
        self.return_times = ReturnTimes(random.Random(seed))

    @property
    def returns_due(self) -> dict[int, int]:
        """Number of refused requests whose return is still due, by rank."""
        return self.return_times.count_by_rank(self.clock.seconds())

    def misses_goal(self, arrival: Arrival, backlog: Backlog, now: float) -> bool:
        """Whether the request is expected to be late if it waits for its turn.

        Served in its turn it would delay others, which then miss their goals too.
        """
        wait = expected_wait(backlog, arrival.rank)
        return (
            wait > OVERLOAD_WAIT_SECONDS
            and now <= arrival.latest_start < now + wait + GOAL_MARGIN_SECONDS
        )

    def on_arrival(self, arrival: Arrival, backlog: Backlog, now: float) -> RefusalError | None:
        """The refusal of a request that would wait for too long; None if it may be queued."""
        wait = expected_wait(backlog, arrival.rank)
        if now + wait > arrival.wait_deadline:
            return self._refuse(arrival, backlog, now, f"expected to wait {wait:.2f} s")
        return None

    def on_late(self, arrival: Arrival, backlog: Backlog, now: float) -> RefusalError | None:
        """The refusal of a queued request that has become late; None if it may wait on.

        It waits behind all that can be on time.
        """
        wait = expected_late_wait(backlog, arrival.rank)
        if now + wait > arrival.wait_deadline:
            return self._refuse(arrival, backlog, now, f"late, expected to wait {wait:.2f} s")
        return None

    def at_deadline(self, arrival: Arrival, backlog: Backlog, now: float) -> RefusalError:
        """The refusal of a request at the end of its wait."""
        wait = expected_wait(backlog, arrival.rank)
        waited = f"waited in vain, expected to wait {wait:.2f} s"
        return self._refuse(arrival, backlog, now, waited)

    def _refuse(self, arrival: Arrival, backlog: Backlog, now: float, waited: str) -> RefusalError:
        rank = arrival.rank
        counts = self.return_times.count_by_rank(now).items()
        due = sum(count for other, count in counts if other <= rank)
        retry_after = self.return_times.assign(
            rank, arrival.expected_tokens, arrival.deadline - now, backlog, now
        )
        detail = f"{waited} for room at rank {rank}, {due} returns due"
        return RefusalError(RefusalReason.NO_ROOM, retry_after, detail)
