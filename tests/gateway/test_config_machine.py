"""A hypothesis state machine: concurrent applies and store faults while a daemon watches.

Rules: operators apply from the current or a stale base version, the store fails or recovers or
loses the next response, an old version is replayed to the daemon, and time passes. Invariants: the
daemon's version never decreases (``check_versions``) and is never ahead of the store. At the end,
with the store healthy, the daemon has the store's newest version.
"""

import json
from pathlib import Path

import json5
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule
from treq.testing import StubTreq
from twisted.internet.task import Clock

import guavacleat
from guavacleat.checks import check_versions
from guavacleat.config.holder import CONFIG_KIND, ConfigHolder
from guavacleat.standin.store import StoreApp, StoreState
from guavacleat.store import StoreClient
from guavacleat.store.watch import BACKOFF_MAX_SECONDS, WatchLoop
from tests.conftest import examples

NILE = json.loads(
    json.dumps(
        json5.loads((Path(guavacleat.__file__).parent / "examples" / "nile.json5").read_text())
    )
)
NAME = NILE["deployment"]
WATCH_WAIT_SECONDS = 1.0


class ConfigMachine(RuleBasedStateMachine):
    @initialize()
    def setup(self):
        self.clock = Clock()
        self.store_app = StoreApp(StoreState(self.clock))
        self.http = StubTreq(self.store_app.resource())
        self.store = StoreClient("http://store", http=self.http)
        self.holder = ConfigHolder(NAME)
        self.in_force: list[int] = []
        self.history = []
        self.watch = WatchLoop(
            self.clock, self.store, CONFIG_KIND, self._offer, wait=WATCH_WAIT_SECONDS
        )
        self.watch.start()
        self._advance(0)

    def _offer(self, stored):
        if self.holder.offer(stored):
            self.in_force.append(self.holder.version)

    def _advance(self, seconds):
        self.clock.advance(seconds)
        self.http.flush()

    def _stored_version(self):
        stored = self.store_app.state.get(CONFIG_KIND, NAME)
        return stored.version if stored else 0

    @rule(stale_by=st.integers(min_value=0, max_value=2), weight=st.integers(1, 9))
    def operator_applies(self, stale_by, weight):
        base = max(0, self._stored_version() - stale_by)
        settings_ = dict(NILE, client_accounts=[{"name": "carrier-a", "weight": weight}])
        self.store.put(CONFIG_KIND, NAME, {"settings": settings_}, base).addErrback(lambda _: None)
        self.http.flush()
        stored = self.store_app.state.get(CONFIG_KIND, NAME)
        if stored is not None and stored not in self.history:
            self.history.append(stored)

    @rule(data=st.data())
    def old_version_replayed(self, data):
        """A watch reconnects to a lagging store replica and delivers an older version."""
        if self.history:
            self._offer(data.draw(st.sampled_from(self.history)))

    @rule(down=st.booleans())
    def store_outage(self, down):
        self.store_app.faults.outage = down

    @rule()
    def next_ack_lost(self):
        self.store_app.faults.lose_acks = 1

    @rule(seconds=st.sampled_from([0.1, 1.0, 3.0]))
    def time_passes(self, seconds):
        self._advance(seconds)

    @invariant()
    def never_reverts_nor_runs_ahead(self):
        assert check_versions(self.in_force) == []
        assert self.holder.version <= self._stored_version()

    def teardown(self):
        self.store_app.faults.outage = False
        for _ in range(4):
            self._advance(BACKOFF_MAX_SECONDS + WATCH_WAIT_SECONDS)
        assert self.holder.version == self._stored_version(), "did not converge"
        self.watch.stop()


ConfigMachine.TestCase.settings = settings(max_examples=examples(100), stateful_step_count=25)
test_config_under_races_and_faults = ConfigMachine.TestCase
