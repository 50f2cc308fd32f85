"""Endpoints that turned this gateway away and want nothing from it for some time.

Such a pause concerns this gateway alone: an endpoint that is full asks each one by itself.
"""

from eliot import log_message
from twisted.internet.interfaces import IReactorTime

__all__ = ["PauseRegister"]


class PauseRegister:
    """The pauses in force, by endpoint."""

    def __init__(self, clock: IReactorTime):
        self.clock = clock
        self.until_by_id: dict[str, float] = {}

    def observe(self, endpoint_id: str, seconds: float) -> None:
        """Apply an answer that asks for a pause; a longer one in force stays."""
        until = self.clock.seconds() + seconds
        before = self.until(endpoint_id)
        if before is not None and before >= until:
            return
        self.until_by_id[endpoint_id] = until
        log_message(
            message_type="endpoint:pause",
            endpoint=endpoint_id,
            seconds=round(seconds, 3),
            extended=before is not None,
        )

    def until(self, endpoint_id: str) -> float | None:
        """Clock time at which the endpoint's pause ends; None if it has none."""
        until = self.until_by_id.get(endpoint_id)
        if until is not None and until <= self.clock.seconds():
            del self.until_by_id[endpoint_id]
            return None
        return until

    def count(self) -> int:
        """The number of endpoints with a pause."""
        return sum(self.until(id) is not None for id in list(self.until_by_id))

    def forget(self, endpoint_id: str) -> None:
        """Discard the pause of an endpoint that has left or restarted."""
        self.until_by_id.pop(endpoint_id, None)
