"""Client for the platform's object API: versioned objects, conditional updates and watches."""

from guavacleat.store.client import StoreClient
from guavacleat.store.messages import (
    ConflictError,
    Revision,
    StoredObject,
    StoreUnavailableError,
    WatchBatch,
)

__all__ = [
    "ConflictError",
    "Revision",
    "StoreClient",
    "StoreUnavailableError",
    "StoredObject",
    "WatchBatch",
]
