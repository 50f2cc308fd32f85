"""Outages of the store in which entries of endpoints lapse although the endpoints run.

An entry lapses after three heartbeat intervals without a write of its endpoint. The last write
before an outage was at most one interval earlier, and when the store last responded to a gateway is
known to half an interval. So an outage counts that seems to last ``LAPSE_HEARTBEATS`` intervals. A
closed watch, an error response or a slow listing show no such outage: what counts is how long the
store responded to no gateway.
"""

import math

from twisted.internet.interfaces import IReactorTime

__all__ = ["REREGISTRATION_SECONDS", "StoreOutages"]

# Live endpoints register again within two seconds after an outage of the store, as the platform
# documents; the rest is a margin for the watch's delay.
REREGISTRATION_SECONDS = 2.3
LAPSE_HEARTBEATS = 1.5
# A longer time between two responses is an outage; a watch waits less.
MAX_RESPONSE_GAP_SECONDS = 2.4


class StoreOutages:
    """Tells whether an entry that was removed may have lapsed in an outage.

    Outages with less than a heartbeat interval between them count together, as an endpoint may not
    have written its entry in between.

    :param heartbeat: interval in seconds at which endpoints write their entries.
    """

    def __init__(self, clock: IReactorTime, heartbeat: float):
        self.clock = clock
        self.heartbeat = heartbeat
        # None before the first response.
        self._answered_at: float | None = None
        # Start of the outage in progress; None if the store responds.
        self._began_at: float | None = None
        # End of the last outage, and the silence in all that count together with it.
        self._ended_at = -math.inf
        self._silence = 0.0
        self._restored_at = -math.inf

    def record_answer(self, at: float) -> None:
        """Record that the store responded to a gateway at clock time ``at``.

        A long silence before it was an outage too: a call may have waited through it.
        """
        last = at if self._answered_at is None else self._answered_at
        if self._began_at is None and at - last > MAX_RESPONSE_GAP_SECONDS:
            self.record_failure(last)
        self._answered_at = max(last, at)
        if self._began_at is not None and at > self._began_at:
            self._silence += at - self._began_at
            self._began_at, self._ended_at = None, at

    def record_failure(self, silent_since: float) -> None:
        """Record a failed call of a store that may have been silent since ``silent_since``."""
        if self._began_at is not None:
            return
        answered_at = -math.inf if self._answered_at is None else self._answered_at
        self._began_at = max(silent_since, answered_at)
        if self._began_at - self._ended_at >= self.heartbeat:
            self._silence = 0.0

    def record_restore(self) -> None:
        """Record that the store was restored from a backup, which lacks recent entries."""
        self._restored_at = self.clock.seconds()

    def may_have_lapsed(self) -> bool:
        """Whether an entry that is missing now may be written again by a live endpoint."""
        return self.reregistration_time_left() > 0

    def reregistration_time_left(self) -> float:
        """Seconds in which live endpoints may register again; 0 if no entry has lapsed.

        During an outage this is the time from now on.
        """
        now = self.clock.seconds()
        until = self._restored_at + REREGISTRATION_SECONDS
        if self._total_silence(now) > LAPSE_HEARTBEATS * self.heartbeat:
            ended_at = self._ended_at if self._began_at is None else now
            until = max(until, ended_at + REREGISTRATION_SECONDS)
        return max(0.0, until - now)

    def _total_silence(self, now: float) -> float:
        current = 0.0 if self._began_at is None else now - self._began_at
        return self._silence + current
