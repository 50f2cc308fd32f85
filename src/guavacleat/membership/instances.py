"""Polls the platform's list of instances for those that are leaving; the list lags."""

from twisted.internet import defer
from twisted.internet.interfaces import IReactorTime

from guavacleat.periodic import Periodic
from guavacleat.store import StoreClient, StoreUnavailableError

__all__ = ["InstancePoller", "POLL_SECONDS", "LEAVING"]

POLL_SECONDS = 1.0
LEAVING = "leaving"


class InstancePoller:
    """Calls ``on_leaving(instance_names)`` after each successful poll."""

    def __init__(self, clock: IReactorTime, store: StoreClient, on_leaving):
        self.store = store
        self.on_leaving = on_leaving
        self.rounds = Periodic(clock, POLL_SECONDS, self.poll)

    @defer.inlineCallbacks
    def poll(self):
        """Read the list once; keep the previous result if the store is unreachable."""
        try:
            states_by_name = yield self.store.instances()
        except StoreUnavailableError:
            return
        self.on_leaving({name for name, state in states_by_name.items() if state == LEAVING})
