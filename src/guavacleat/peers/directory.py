"""Where the other gateways are: registered in the store, and learnt from what they send."""

import random

from eliot import log_message
from twisted.internet import defer, task

from guavacleat.store import ConflictError, StoreClient, StoreUnavailableError
from guavacleat.store.messages import MUST_NOT_EXIST

__all__ = ["GatewayDirectory"]

GATEWAY_KIND = "gateways"
REGISTER_RETRY_SECONDS = 1.0
# After the store came back from a copy; many gateways write at different times.
REGISTER_AGAIN_SECONDS = (0.5, 3.0)


class GatewayDirectory:
    """Registers this gateway and knows the others' datagram addresses, ``(ip, port)``.

    A gateway lists the others once, at its start; whoever starts later lists it and sends to it,
    so that no watch is needed.

    :ivar near_by_instance: gateways of the own data centre, and those of which it is not known.
    :ivar far_by_data_centre: addresses by instance of those in each other data centre.
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
        self.near_by_instance: dict[str, tuple[str, int]] = {}
        self.far_by_data_centre: dict[str, dict[str, tuple[str, int]]] = {}

    def data_centre_count(self) -> int:
        """Data centres that have gateways, the own one included."""
        return 1 + len(self.far_by_data_centre)

    def learn_near(self, instance: str, address: tuple[str, int]) -> None:
        self.near_by_instance[instance] = address

    def learn_far(self, data_centre: str, instance: str, address: tuple[str, int]) -> None:
        self.far_by_data_centre.setdefault(data_centre, {})[instance] = address

    @defer.inlineCallbacks
    def register(self):
        """Write this gateway's address to the store and read the others', until both worked."""
        while not self.stopped:
            try:
                listing = yield self._write_address()
            except StoreUnavailableError as exc:
                log_message(message_type="peer:not-registered", error=str(exc))
                yield task.deferLater(self.clock, REGISTER_RETRY_SECONDS)
                continue
            for stored in listing.objects:
                if stored.name != self.instance:
                    self._take_in(stored)
            return

    @defer.inlineCallbacks
    def register_again(self):
        """Write this gateway's address where the store has lost it, until that worked."""
        yield task.deferLater(self.clock, random.uniform(*REGISTER_AGAIN_SECONDS))
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

    def _take_in(self, stored) -> None:
        """Learn a registered address, unless a newer one was heard from the gateway itself."""
        address = (stored.value["ip"], stored.value["port"])
        data_centre = stored.value.get("data_centre", self.data_centre)
        known = self.near_by_instance
        if data_centre != self.data_centre:
            known = self.far_by_data_centre.setdefault(data_centre, {})
        known.setdefault(stored.name, address)

    @defer.inlineCallbacks
    def _write_address(self):
        """Write this gateway's address; fire with a listing made after that."""
        value = self._value()
        try:
            yield self.store.put(GATEWAY_KIND, self.instance, value, MUST_NOT_EXIST)
        except ConflictError as exc:
            # Registered by an earlier start; its address may have been another.
            listing = yield self.store.list_objects(GATEWAY_KIND)
            known = {stored.name: stored.value for stored in listing.objects}
            if known.get(self.instance) == value:
                return listing
            yield self.store.put(GATEWAY_KIND, self.instance, value, exc.current_version)
        listing = yield self.store.list_objects(GATEWAY_KIND)
        return listing
