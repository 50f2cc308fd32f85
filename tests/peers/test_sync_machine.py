"""A hypothesis state machine: gateways stay in sync with the store by gossip, under faults.

Rules: configurations and endpoints change; the store refuses or doesn't answer gateways' calls, or
compacts its history; gateways are partitioned from peers, also in one direction; they restart;
datagrams are lost. Invariants: a gateway's configuration version never decreases; ``BOUND_SECONDS``
after the last rule, each gateway that reaches the store knows the store's state, even if faults of
other gateways and of the network persist.
"""

import random

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule

from guavacleat.peers.sync import GAP_SECONDS, STALE_SECONDS
from tests.conftest import examples
from tests.peers.fleet import Fleet

DATA_CENTRES, PER_DATA_CENTRE = 2, 4
GATEWAYS = [f"g{dc}-{n}" for dc in range(DATA_CENTRES) for n in range(PER_DATA_CENTRE)]
ENDPOINTS = ["e1", "e2", "e3"]
# Gossiped state expires, a watch times out, the next call succeeds, and a gap is filled.
BOUND_SECONDS = STALE_SECONDS[1] + 2.8 + GAP_SECONDS + 0.7


class SyncMachine(RuleBasedStateMachine):
    @initialize(seed=st.integers(0, 1000), loss=st.sampled_from([0.0, 0.05, 0.3]))
    def setup(self, seed, loss):
        rng = random.Random(seed)
        drops_datagram = lambda: rng.random() < loss  # noqa: E731
        self.fleet = Fleet(DATA_CENTRES, PER_DATA_CENTRE, drops_datagram=drops_datagram, seed=seed)
        self.version = 1
        self.versions_by_gateway = {}
        for id in ENDPOINTS:
            self.fleet.set_endpoint(id, "ready")
        self.fleet.pass_time(2.0)

    @rule(jump=st.integers(1, 3))
    def operator_applies(self, jump):
        self.version += jump
        self.fleet.configure(self.version)

    @rule(id=st.sampled_from(ENDPOINTS), state=st.sampled_from(["ready", "draining"]))
    def endpoint_writes(self, id, state):
        self.fleet.set_endpoint(id, state)

    @rule(id=st.sampled_from(ENDPOINTS))
    def endpoint_is_removed(self, id):
        if ("servers", id) in self.fleet.store.objects:
            self.fleet.remove_endpoint(id)

    @rule(
        names=st.sets(st.sampled_from(GATEWAYS), max_size=6),
        state=st.sampled_from(["open", "refused", "silent"]),
    )
    def store_state_changes(self, names, state):
        for name in names:
            self.fleet.gateways[name].link.set_state(state)

    @rule()
    def store_compacts_history(self):
        self.fleet.store.compact()

    @rule(receivers=st.sets(st.sampled_from(GATEWAYS), max_size=3))
    def peers_are_partitioned(self, receivers):
        self.fleet.blocked_links = {(sender, name) for sender in GATEWAYS for name in receivers}

    @rule(name=st.sampled_from(GATEWAYS))
    def gateway_restarts(self, name):
        old = self.fleet.gateways.pop(name)
        old.stop()
        self.versions_by_gateway.pop(name, None)
        self.fleet.add(name, old.data_centre, old.ip)

    @rule(seconds=st.sampled_from([0.1, 0.5, 2.0]))
    def time_passes(self, seconds):
        self.fleet.pass_time(seconds)

    @invariant()
    def configuration_versions_never_decrease(self):
        if not hasattr(self, "fleet"):
            return
        for name, gateway in self.fleet.gateways.items():
            version = gateway.holder.version or 0
            assert version >= self.versions_by_gateway.get(name, 0), name
            self.versions_by_gateway[name] = version

    def teardown(self):
        if not hasattr(self, "fleet"):
            return
        # No fault is repaired: only gateways that reach the store must know its state.
        self.fleet.pass_time(BOUND_SECONDS)
        ready = self.fleet.ready_in_store()
        for name, gateway in self.fleet.gateways.items():
            if gateway.link.state == "open":
                assert gateway.holder.version == self.version, name
                assert gateway.ready_ids() == ready, name


SyncMachine.TestCase.settings = settings(max_examples=examples(60), stateful_step_count=15)
test_gateways_stay_in_sync_with_the_store = SyncMachine.TestCase
