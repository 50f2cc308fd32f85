"""Fencing numbers for orders, kept as the version of ``orders/<endpoint>`` in the object API.

An issuer takes a number by a conditional update of the endpoint's order object: the new
version is its fencing number, and every later issuer gets a higher one, also after the store came
back from an older copy: a version holds the store's era above its number. A holder paused past
its turn still carries its old number; the sidecar compares the number with the object's
current version before forwarding (:meth:`SidecarHandler.order`), so the old order is refused
whatever the engine does with fencing numbers, and nothing depends on the sidecar's memory.
"""

from twisted.internet import defer

from guavacleat.store import StoreClient

__all__ = ["ORDER_KIND", "current_fencing", "issue_order"]

ORDER_KIND = "orders"


@defer.inlineCallbacks
def current_fencing(store: StoreClient, endpoint: str):
    """Fire with the newest fencing number issued for ``endpoint`` (0 if none)."""
    stored = yield store.get(ORDER_KIND, endpoint)
    return stored.version if stored else 0


@defer.inlineCallbacks
def issue_order(store: StoreClient, endpoint: str):
    """Take the next fencing number for ``endpoint``; fire with it.

    Raises ConflictError if another issuer took one in between (take again), and
    StoreUnavailableError if the store did not answer (no number was safely taken).
    """
    version = yield current_fencing(store, endpoint)
    stored = yield store.put(ORDER_KIND, endpoint, {"issued": version + 1}, version)
    return stored.version
