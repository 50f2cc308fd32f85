"""Gateways of several data centres with a store that is restored from copies, on a fake clock.

Like ``tests.peers.fleet``, but each gateway calls the store through the real client.
"""

from urllib.parse import parse_qs, urlsplit

from twisted.internet import defer, task

from guavacleat.platform.adapter import PlatformAdapter
from guavacleat.store import StoreClient
from tests.peers import fleet
from tests.platform.store_standin import StoreStandin

__all__ = ["RestoredFleet"]

CALL_TIMEOUT_SECONDS = 0.8


class StoreConnection:
    """One gateway's connection to the store; ``state`` is ``"open"`` or ``"refused"``."""

    def __init__(self, clock, store):
        self.clock, self.store = clock, store
        self.state = "open"

    def request(self, method, url, data=None, timeout=None, max_body_bytes=None):
        self.store.call_count += 1
        if self.state != "open":
            return defer.fail(ConnectionError(self.state))
        response = self.store.request(method, url, data, timeout)
        query = parse_qs(urlsplit(url).query)
        if "watch" in query and not response.called:
            wait = int(query["waitMs"][0]) / 1000
            self.clock.callLater(
                wait, self._answer_without_changes, response, int(query["watch"][0])
            )
        return response

    def _answer_without_changes(self, response, since):
        if not response.called:
            self.store.pending_watches = [
                watch for watch in self.store.pending_watches if watch[2] is not response
            ]
            response.callback(self.store._changes("", since))


class Store(StoreStandin):
    """A store stand-in with the writes of endpoints and operators; counts the calls."""

    def __init__(self, clock):
        super().__init__(clock)
        self.call_count = 0

    def write(self, kind, name, spec, deleted=False):
        if deleted:
            if (kind, name) in self.objects:
                self.delete(kind, name)
        else:
            super().write(kind, name, spec)


class RestoredFleet(fleet.Fleet):
    """A fleet whose endpoints write their entries once a second while they run.

    :ivar states_by_id: the state that each running endpoint writes.
    """

    def __init__(self, data_centres=2, per_data_centre=3, endpoints=("e1", "e2")):
        self.states_by_id = {}
        super().__init__(data_centres, per_data_centre, endpoints=endpoints)
        self.entry_writes = task.LoopingCall(self._write_entries)
        self.entry_writes.clock = self.clock
        self.entry_writes.start(1.0)

    def make_store(self):
        return Store(self.clock)

    def connect(self):
        connection = StoreConnection(self.clock, self.store)
        client = StoreClient("http://store", http=connection, dialect=PlatformAdapter().dialect)
        client.store_connection = connection
        return client

    def _write_entries(self):
        for id, state in self.states_by_id.items():
            self.store.write(fleet.ENDPOINTS, id, state)

    def set_endpoint(self, id, state):
        self.states_by_id[id] = state
        super().set_endpoint(id, state)

    def remove_endpoint(self, id):
        self.states_by_id.pop(id, None)
        super().remove_endpoint(id)

    def remove_stale_entries(self):
        """Remove the entries of endpoints that no longer run."""
        names = [name for kind, name in self.store.objects if kind == fleet.ENDPOINTS]
        for name in set(names) - set(self.states_by_id):
            self.store.write(fleet.ENDPOINTS, name, None, deleted=True)

    def restore(self):
        self.store.restore()
