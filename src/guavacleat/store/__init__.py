"""Client for the platform's object API: versioned objects, conditional updates and watches."""

from guavacleat.store.client import StoreClient
from guavacleat.store.messages import ConflictError, StoredObject, StoreUnavailableError, WatchBatch

__all__ = ["ConflictError", "StoreClient", "StoreUnavailableError", "StoredObject", "WatchBatch"]
