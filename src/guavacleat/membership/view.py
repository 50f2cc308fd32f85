"""The gateway's view of endpoints: records watched in the object API, timed by its own clock.

A record is live while it was renewed within ``LEASE_SECONDS`` as this gateway's clock measures
it. Judging by the reader's own clock means writers' clocks never need to agree; a sidecar that
stops renewing (dead, paused, cut off) drops out within one lease period plus the watch delay.
"""

from eliot import log_message
from twisted.internet.interfaces import IReactorTime

from guavacleat.membership.lease import LEASE_SECONDS
from guavacleat.membership.records import EndpointRecord

__all__ = ["MembershipView"]


class MembershipView:
    """Endpoint records by name, with the time this gateway last saw each change."""

    def __init__(self, clock: IReactorTime):
        self.clock = clock
        self.records_by_name: dict[str, EndpointRecord] = {}
        self.seen_at_by_name: dict[str, float] = {}
        self._live_names: set[str] = set()

    def observe(self, value: dict) -> None:
        """Take in one record from a watch or a listing."""
        record = EndpointRecord.from_json(value)
        self.records_by_name[record.name] = record
        self.seen_at_by_name[record.name] = self.clock.seconds()

    def live(self, service: str) -> list[EndpointRecord]:
        """Endpoints of ``service`` that are renewed in time and not draining, by name."""
        now = self.clock.seconds()
        found = [
            record
            for name, record in sorted(self.records_by_name.items())
            if record.service == service
            and not record.draining
            and now - self.seen_at_by_name[name] <= LEASE_SECONDS
        ]
        self._log_changes(service, {record.name for record in found})
        return found

    def _log_changes(self, service: str, names: set[str]) -> None:
        others = {
            name for name in self._live_names if self.records_by_name[name].service != service
        }
        current = others | names
        if current != self._live_names:
            log_message(
                message_type="membership:changed",
                joined=sorted(current - self._live_names),
                left=sorted(self._live_names - current),
            )
            self._live_names = current
