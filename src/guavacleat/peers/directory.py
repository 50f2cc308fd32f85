"""Addresses of the other gateways, from the store and from received datagrams."""

import random

from eliot import log_message
from twisted.internet import defer, task

from guavacleat.store import ConflictError, StoreClient, StoreUnavailableError
from guavacleat.store.messages import MUST_NOT_EXIST

__all__ = ["GatewayDirectory"]

GATEWAY_KIND = "gateways"
REGISTER_RETRY_SECONDS = 1.0
# Random delay after a restore of the store from a backup, to spread the gateways' writes.
REREGISTER_DELAY_SECONDS = (0.5, 3.0)


class GatewayDirectory:
    """Registers this gateway and holds the others' datagram addresses, ``(ip, port)``.

    A gateway lists the others once, at its start. Gateways that start later list it and send to
    it, so that no watch is needed.

    :ivar listed: whether the store has listed the gateways; until then, others may exist.
    :ivar local_addresses_by_instance: gateways in the same data centre, or in an unknown one.
    :ivar remote_addresses_by_data_centre: addresses by instance, for each remote data centre.
    """

    def __init__(
        self, clock, store: StoreClient, instance: str, address: tuple[str, int], data_centre: str
    ):
        self.clock = clock
        self.store = store
        self.instance = instance
        self.address = address
        self.data_centre = data_centre
        self.stopped = False
        self.listed = False
        self.local_addresses_by_instance: dict[str, tuple[str, int]] = {}
        self.remote_addresses_by_data_centre: dict[str, dict[str, tuple[str, int]]] = {}

    def data_centre_count(self) -> int:
        """Number of data centres with gateways, including this one."""
        return 1 + len(self.remote_addresses_by_data_centre)

    def add_local(self, instance: str, address: tuple[str, int]) -> None:
        self.local_addresses_by_instance[instance] = address

    def add_remote(self, data_centre: str, instance: str, address: tuple[str, int]) -> None:
        self.remote_addresses_by_data_centre.setdefault(data_centre, {})[instance] = address

    @defer.inlineCallbacks
    def register(self):
        """Register this gateway and list the others, with retries until both succeed."""
        while not self.stopped:
            try:
                listing = yield self._write_address()
            except StoreUnavailableError as exc:
                log_message(message_type="peer:not-registered", error=str(exc))
                yield task.deferLater(self.clock, REGISTER_RETRY_SECONDS)
                continue
            for stored in listing.objects:
                if stored.name != self.instance:
                    self._add_registered_or_skip(stored)
            self.listed = True
            return

    @defer.inlineCallbacks
    def reregister(self):
        """Register this gateway again if the restored store lacks it, with retries."""
        yield task.deferLater(self.clock, random.uniform(*REREGISTER_DELAY_SECONDS))
        while not self.stopped:
            try:
                yield self.store.put(GATEWAY_KIND, self.instance, self._value(), MUST_NOT_EXIST)
                return
            except ConflictError:
                return
            except StoreUnavailableError as exc:
                log_message(message_type="peer:not-registered", error=str(exc))
                yield task.deferLater(self.clock, REGISTER_RETRY_SECONDS)

    def _value(self) -> dict:
        return {
            "ip": self.address[0],
            "port": self.address[1],
            "data_centre": self.data_centre,
        }

    def _add_registered_or_skip(self, stored) -> None:
        try:
            self._add_registered(stored)
        except (KeyError, TypeError, AttributeError) as exc:
            log_message(
                message_type="peer:unreadable-address", instance=stored.name, error=repr(exc)
            )

    def _add_registered(self, stored) -> None:
        """Add a registered address unless the gateway's own datagrams gave a newer one."""
        address = (stored.value["ip"], stored.value["port"])
        data_centre = stored.value.get("data_centre", self.data_centre)
        addresses = self.local_addresses_by_instance
        if data_centre != self.data_centre:
            addresses = self.remote_addresses_by_data_centre.setdefault(data_centre, {})
        addresses.setdefault(stored.name, address)

    @defer.inlineCallbacks
    def _write_address(self):
        """Register this gateway's address; the result is a listing made after the write."""
        value = self._value()
        try:
            yield self.store.put(GATEWAY_KIND, self.instance, value, MUST_NOT_EXIST)
        except ConflictError as exc:
            # Registered by a previous process, possibly with another address.
            listing = yield self.store.list_objects(GATEWAY_KIND)
            values_by_instance = {stored.name: stored.value for stored in listing.objects}
            if values_by_instance.get(self.instance) == value:
                return listing
            yield self.store.put(GATEWAY_KIND, self.instance, value, exc.current_version)
        listing = yield self.store.list_objects(GATEWAY_KIND)
        return listing
