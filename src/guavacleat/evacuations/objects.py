"""Evacuations in the product's own store: ``evacuations/<data centre>``.

The store has no deletion, so that an object tells whether its data centre is evacuated.
"""

from twisted.internet import defer

from guavacleat.evacuations.register import EvacuationChange
from guavacleat.store import StoreClient
from guavacleat.store.messages import MUST_NOT_EXIST, StoredObject

__all__ = ["EVACUATION_KIND", "decode_evacuation", "set_evacuated"]

EVACUATION_KIND = "evacuations"


def decode_evacuation(stored: StoredObject) -> EvacuationChange:
    """Decode an object; raise KeyError or TypeError if it is invalid."""
    return EvacuationChange(stored.name, stored.revision, bool(stored.value["evacuated"]))


@defer.inlineCallbacks
def set_evacuated(store: StoreClient, data_centre: str, evacuated: bool):
    """Evacuate or restore a data centre; fire with whether that changed anything.

    Raises ConflictError if another operator changed it meanwhile, StoreUnavailableError if the
    outcome is unknown.
    """
    current = yield store.get(EVACUATION_KIND, data_centre)
    if evacuated is (current is not None and decode_evacuation(current).evacuated):
        return False
    version = MUST_NOT_EXIST if current is None else current.version
    yield store.put(EVACUATION_KIND, data_centre, {"evacuated": evacuated}, version)
    return True
