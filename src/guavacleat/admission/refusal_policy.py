"""Which requests of a contended service are refused because of the expected wait."""

from guavacleat.admission.backlog import Backlog
from guavacleat.forwarding.refusals import RefusalError

__all__ = ["Arrival", "RefusalPolicy"]


class Arrival:
    """A request that no engine has room for; times are clock times in seconds.

    :param expected_tokens: engine memory that it is expected to hold at its end.
    :param latest_start: latest dispatch that meets its goal.
    :param wait_deadline: time at which it is refused if it still waits.
    :param deadline: time at which its caller's timeout expires.
    """

    __slots__ = ("priority", "expected_tokens", "latest_start", "wait_deadline", "deadline")

    def __init__(
        self,
        priority: int,
        expected_tokens: int,
        latest_start: float,
        wait_deadline: float,
        deadline: float,
    ):
        self.priority = priority
        self.expected_tokens = expected_tokens
        self.latest_start = latest_start
        self.wait_deadline = wait_deadline
        self.deadline = deadline


class RefusalPolicy:
    """Refuses nothing: a request waits until its wait deadline."""

    def __init__(self, clock, seed=None):
        self.clock = clock

    def on_arrival(self, arrival: Arrival, backlog: Backlog, now: float) -> RefusalError | None:
        """The refusal of a request that would have to wait; None if it may be queued."""
        return None

    def on_late(self, arrival: Arrival, backlog: Backlog, now: float) -> RefusalError | None:
        """The refusal of a queued request that misses its goal; None if it waits on as late."""
        return None
