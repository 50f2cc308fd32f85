"""Fencing numbers for orders, stored as the version of ``orders/<endpoint>`` in the object API.

An issuer obtains a number by a conditional update of the endpoint's order object: the new version
is its fencing number. Every later issuer gets a higher one, even after the store is restored from
a backup, because the high bits of a version hold the store's era. The sidecar compares an
order's number with the object's current version before forwarding it
(:meth:`SidecarHandler.order`). A delayed order is therefore refused even if the engine ignores
fencing numbers, and the sidecar needs no state of its own.
"""

from twisted.internet import defer

from guavacleat.store import StoreClient

__all__ = ["ORDER_KIND", "current_fencing_number", "issue_fencing_number"]

ORDER_KIND = "orders"


@defer.inlineCallbacks
def current_fencing_number(store: StoreClient, endpoint: str):
    """Fire with the newest fencing number issued for ``endpoint`` (0 if none)."""
    stored = yield store.get(ORDER_KIND, endpoint)
    return stored.version if stored else 0


@defer.inlineCallbacks
def issue_fencing_number(store: StoreClient, endpoint: str):
    """Obtain the next fencing number for ``endpoint``; fire with it.

    Raises ConflictError if another issuer obtained one at the same time (try again), and
    StoreUnavailableError if the store is unreachable (the number may or may not have been issued).
    """
    version = yield current_fencing_number(store, endpoint)
    stored = yield store.put(ORDER_KIND, endpoint, {"issued": version + 1}, version)
    return stored.version
