"""Stand-in for the platform's list of live and leaving instances, which lags behind."""

from twisted.internet.interfaces import IReactorTime

__all__ = ["InstanceList", "LEAVING", "LIVE"]

LIVE = "live"
LEAVING = "leaving"
LIST_LAG_SECONDS = 1.0


class InstanceList:
    """States by instance name; readers see them ``lag`` seconds late."""

    def __init__(self, clock: IReactorTime, lag: float = LIST_LAG_SECONDS):
        self.clock = clock
        self.lag = lag
        self.states_by_name: dict[str, str] = {}

    def change(self, name: str, state: str | None) -> None:
        """Set an instance's state (None: it is gone); readers see it ``lag`` seconds later."""
        self.clock.callLater(self.lag, self._apply, name, state)

    def _apply(self, name: str, state: str | None) -> None:
        if state is None:
            self.states_by_name.pop(name, None)
        else:
            self.states_by_name[name] = state
