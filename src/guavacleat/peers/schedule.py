"""When a gateway's reports contain more than its load and the latest changes."""

import random

__all__ = [
    "CRASH_REPEAT_SECONDS",
    "FULL_REPORT_SECONDS",
    "GossipSchedule",
    "MAX_GATEWAYS_REPORTING_ALL",
]

# Interval of full reports, which contain older changes for gateways that were partitioned.
FULL_REPORT_SECONDS = 2.0
# Up to this many gateways of a data centre all report every recent change. With more of them, a
# change that hundreds of gateways repeat would fill the links of small instances: then the watchers
# report what the store told them, every gateway what it learned from an endpoint, and full reports
# are spread so that there are as many of them a second.
MAX_GATEWAYS_REPORTING_ALL = 8
# Intervals at which recent crashes and limits are repeated, as datagrams may be lost.
CRASH_REPEAT_SECONDS = 0.25
LIMIT_REPEAT_SECONDS = 0.5


class GossipSchedule:
    """Decides whether a report contains older changes, crashes and limits.

    :param gateway_count: returns the number of gateways that share the sending of full reports.
    :param seed: of the intervals between these, which must differ between the gateways.
    """

    def __init__(self, clock, seed: str, gateway_count=lambda: 1):
        self.clock = clock
        self.gateway_count = gateway_count
        self.random = random.Random(seed)
        self._next_full_report_at = float("-inf")
        self.crashes = _RepeatSchedule(clock, CRASH_REPEAT_SECONDS)
        self.limits = _RepeatSchedule(clock, LIMIT_REPEAT_SECONDS)

    def should_send_full_report(self) -> bool:
        """Whether a full report is due; if so, record it as sent."""
        now = self.clock.seconds()
        if now < self._next_full_report_at:
            return False
        self._next_full_report_at = now + self._full_report_interval()
        return True

    def _full_report_interval(self) -> float:
        share = self.gateway_count() / MAX_GATEWAYS_REPORTING_ALL
        if share <= 1.0:
            return FULL_REPORT_SECONDS
        # Gateways that started together must not send theirs together.
        return FULL_REPORT_SECONDS * share * self.random.uniform(0.5, 1.5)


class _RepeatSchedule:
    """Decides whether a report contains one kind of recent observations.

    Load is reported many times a second. With recent crashes in each of these reports, the loss of
    a rack would multiply the traffic between gateways.
    """

    def __init__(self, clock, interval: float):
        self.clock = clock
        self.interval = interval
        self.reset()

    def reset(self) -> None:
        """Make the observations due, as the last report left them out."""
        self._sent_at = float("-inf")

    def is_due(self, changed_at: float) -> bool:
        """Whether they changed or are to be repeated; if so, record them as sent."""
        now = self.clock.seconds()
        if changed_at < self._sent_at and now - self._sent_at < self.interval:
            return False
        self._sent_at = now
        return True
