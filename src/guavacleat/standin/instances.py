"""Stand-in for the platform's list of live and leaving instances, with delayed updates."""

from twisted.internet.interfaces import IReactorTime

__all__ = ["InstanceList", "LEAVING", "LIVE"]

LIVE = "live"
LEAVING = "leaving"
LIST_LAG_SECONDS = 1.0


class InstanceList:
    """Instance states by name; changes become visible after ``lag`` seconds."""

    def __init__(self, clock: IReactorTime, lag: float = LIST_LAG_SECONDS):
        self.clock = clock
        self.lag = lag
        self.states_by_name: dict[str, str] = {}

    def change(self, name: str, state: str | None) -> None:
        """Set the state of an instance after ``lag`` seconds; None removes it."""
        self.clock.callLater(self.lag, self._apply, name, state)

    def _apply(self, name: str, state: str | None) -> None:
        if state is None:
            self.states_by_name.pop(name, None)
        else:
            self.states_by_name[name] = state
