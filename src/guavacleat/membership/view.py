"""The gateway's view of endpoints: records watched in the object API, with local lease expiry.

A record is live if it was renewed within ``LEASE_SECONDS`` by this gateway's own clock, so that
clocks need not be synchronised. A sidecar that stops renewing (crashed, paused, partitioned)
expires within one lease period plus the watch delay.

For a large service, a gateway uses a subset of ``SUBSET_SIZE`` endpoints: the first live ones,
ordered by a hash of the gateway's and the endpoint's names. This bounds the cost of a routing
decision and spreads the endpoints evenly over the gateways; an endpoint that fails is replaced by
the next one in the order.
"""

import hashlib
import itertools

from eliot import log_message
from twisted.internet.interfaces import IReactorTime

from guavacleat.membership.lease import LEASE_SECONDS
from guavacleat.membership.records import EndpointRecord

__all__ = ["MembershipView", "SUBSET_SIZE"]

SUBSET_SIZE = 64


class MembershipView:
    """Endpoint records and the times of their last renewals.

    :param owner: this gateway's name, which determines its subset of large services.
    :param evacuations: the :class:`~guavacleat.evacuations.EvacuationRegister`; None if no data
        centre is ever evacuated.
    """

    def __init__(self, clock: IReactorTime, owner: str = "", evacuations=None):
        self.clock = clock
        self.evacuations = evacuations
        self.owner = owner
        self.ordered_by_service: dict[str, list[str]] = {}
        self.records_by_name: dict[str, EndpointRecord] = {}
        self.seen_at_by_name: dict[str, float] = {}
        self.names_by_service: dict[str, dict[str, None]] = {}
        self.store_lost_at: float | None = None
        self.leaving_instances: frozenset[str] = frozenset()

    def observe(self, value: dict) -> None:
        """Apply a record from a watch or a listing."""
        record = EndpointRecord.from_json(value)
        previous = self.records_by_name.get(record.name)
        if previous is not None and record.is_older(previous):
            # The store was restored from a backup.
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
        """Record whether the last watch call succeeded.

        During an outage no renewals arrive, so that lease expiry is suspended: the view keeps the
        last known endpoints, and the data path detects failed ones. Expiry resumes with the ages
        at the start of the outage when the store is reachable again.
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

    def set_leaving_instances(self, names: set[str]) -> None:
        """Set the instances that the platform lists as leaving.

        The list lags: it may still name an endpoint's previous instance, which must not affect the
        replacement. Endpoints are therefore matched by instance, not by name.
        """
        if names != self.leaving_instances:
            log_message(message_type="membership:leaving", instances=sorted(names))
        self.leaving_instances = frozenset(names)

    def _accepts_requests(self, record: EndpointRecord, oldest: float) -> bool:
        return (
            not record.draining
            and (self.evacuations is None or self.evacuations.is_usable(record.data_centre))
            and self.seen_at_by_name[record.name] >= oldest
            and (not record.instance or record.instance not in self.leaving_instances)
        )

    def live(self, service: str) -> list[EndpointRecord]:
        """This gateway's subset of the live endpoints of ``service`` that are not leaving."""
        now = self.clock.seconds() if self.store_lost_at is None else self.store_lost_at
        oldest = now - LEASE_SECONDS
        records = map(self.records_by_name.__getitem__, self._ordered(service))
        live = (record for record in records if self._accepts_requests(record, oldest))
        return list(itertools.islice(live, SUBSET_SIZE))

    def _ordered(self, service: str) -> list[str]:
        ordered = self.ordered_by_service.get(service)
        if ordered is None:
            ordered = sorted(self.names_by_service.get(service, ()), key=self._order_key)
            self.ordered_by_service[service] = ordered
        return ordered

    def _order_key(self, name: str) -> bytes:
        return hashlib.blake2b(f"{self.owner}|{name}".encode(), digest_size=8).digest()

    def all_live(self) -> list[EndpointRecord]:
        """Live endpoints of every service."""
        return list(itertools.chain.from_iterable(map(self.live, self.names_by_service)))
