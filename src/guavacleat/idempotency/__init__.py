"""At-most-once calls: a record per idempotency key, created in the object API before the call."""

from guavacleat.idempotency.guard import CallGuard
from guavacleat.idempotency.records import (
    AlreadyAcceptedError,
    CallRecords,
    KeyReusedError,
    call_name,
)

__all__ = ["AlreadyAcceptedError", "CallGuard", "CallRecords", "KeyReusedError", "call_name"]
