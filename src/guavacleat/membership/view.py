"""The gateway's view of endpoints: records watched in the object API, timed by its own clock.

A record is live while it was renewed within ``LEASE_SECONDS`` as this gateway's clock measures
it. Judging by the reader's own clock means writers' clocks never need to agree; a sidecar that
stops renewing (dead, paused, cut off) drops out within one lease period plus the watch delay.
Records are indexed by service. Of a large service a gateway works with ``SUBSET`` endpoints, the
first live ones in an order that hashes the gateway's own name with theirs: a routing decision
then costs the same however large the fleet, every endpoint is in about as many gateways' subsets
as any other, and when one dies the next in the order takes its place.
"""

import hashlib
import itertools

from eliot import log_message
from twisted.internet.interfaces import IReactorTime

from guavacleat.membership.lease import LEASE_SECONDS
from guavacleat.membership.records import EndpointRecord

__all__ = ["MembershipView", "SUBSET"]

SUBSET = 64


class MembershipView:
    """Endpoint records by name, the names by service, and when this gateway last saw each.

    :param owner: this gateway's name, which decides its subset of large services.
    """

    def __init__(self, clock: IReactorTime, owner: str = ""):
        self.clock = clock
        self.owner = owner
        self.ordered_by_service: dict[str, list[str]] = {}
        self.records_by_name: dict[str, EndpointRecord] = {}
        self.seen_at_by_name: dict[str, float] = {}
        self.names_by_service: dict[str, dict[str, None]] = {}
        self.store_lost_at: float | None = None
        self.leaving_instances: frozenset[str] = frozenset()

    def observe(self, value: dict) -> None:
        """Take in one record from a watch or a listing."""
        record = EndpointRecord.from_json(value)
        previous = self.records_by_name.get(record.name)
        if previous is not None and record.is_older(previous):
            # The store came back from a copy.
            return
        if previous is None or previous.draining != record.draining:
            log_message(
                message_type="membership:changed", endpoint=record.name, draining=record.draining
            )
        if previous is not None and previous.service != record.service:
            del self.names_by_service[previous.service][record.name]
            self.ordered_by_service.pop(previous.service, None)
        self.records_by_name[record.name] = record
        self.seen_at_by_name[record.name] = self.clock.seconds()
        names = self.names_by_service.setdefault(record.service, {})
        if record.name not in names:
            names[record.name] = None
            self.ordered_by_service.pop(record.service, None)

    def record_store_health(self, healthy: bool) -> None:
        """Hear from the watch whether the store answered.

        During an outage no renewal can arrive, so lease ages stop: the view keeps the last known
        endpoints (the data path still finds dead ones, and a request refused by one endpoint
        moves to the next). When the store answers again, ages resume where they stopped.
        """
        now = self.clock.seconds()
        if not healthy and self.store_lost_at is None:
            self.store_lost_at = now
            log_message(message_type="membership:store-lost")
        elif healthy and self.store_lost_at is not None:
            outage = now - self.store_lost_at
            self.seen_at_by_name = {name: at + outage for name, at in self.seen_at_by_name.items()}
            self.store_lost_at = None
            log_message(message_type="membership:store-back", outage=outage)

    def instances_leaving(self, names: set[str]) -> None:
        """Take in which instances the platform's list shows as leaving.

        The list names instances, not endpoints: it lags, so it may still show the instance an
        endpoint had before it was replaced, which must not take the replacement out of service.
        """
        if names != self.leaving_instances:
            log_message(message_type="membership:leaving", instances=sorted(names))
        self.leaving_instances = frozenset(names)

    def _takes_work(self, record: EndpointRecord, oldest: float) -> bool:
        return (
            not record.draining
            and self.seen_at_by_name[record.name] >= oldest
            and (not record.instance or record.instance not in self.leaving_instances)
        )

    def live(self, service: str) -> list[EndpointRecord]:
        """This gateway's endpoints of ``service`` that were renewed in time and are not leaving."""
        now = self.clock.seconds() if self.store_lost_at is None else self.store_lost_at
        oldest = now - LEASE_SECONDS
        records = map(self.records_by_name.__getitem__, self._ordered(service))
        live = (record for record in records if self._takes_work(record, oldest))
        return list(itertools.islice(live, SUBSET))

    def _ordered(self, service: str) -> list[str]:
        ordered = self.ordered_by_service.get(service)
        if ordered is None:
            ordered = sorted(self.names_by_service.get(service, ()), key=self._place)
            self.ordered_by_service[service] = ordered
        return ordered

    def _place(self, name: str) -> bytes:
        return hashlib.blake2b(f"{self.owner}|{name}".encode(), digest_size=8).digest()

    def all_live(self) -> list[EndpointRecord]:
        """Live endpoints of every service."""
        return list(itertools.chain.from_iterable(map(self.live, self.names_by_service)))
