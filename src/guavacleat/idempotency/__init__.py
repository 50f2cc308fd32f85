"""At-most-once calls: each idempotency key has a record, created before the call is sent."""

from guavacleat.idempotency.guard import CallGuard
from guavacleat.idempotency.records import (
    AlreadyAcceptedError,
    CallRecords,
    KeyReusedError,
    call_name,
)

__all__ = ["AlreadyAcceptedError", "CallGuard", "CallRecords", "KeyReusedError", "call_name"]
