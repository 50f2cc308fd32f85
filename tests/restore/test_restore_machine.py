"""A hypothesis state machine: the state of gateways while their store is restored from copies.

Rules: configurations and endpoints change; the store is copied or restored; gateways lose their
connection to the store for a while. Invariants: no configuration reverts; once changes have
settled, every gateway knows exactly the endpoints that run and accept work.
"""

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule

from guavacleat.membership.registry import REREGISTRATION_SECONDS
from tests.conftest import examples
from tests.peers.test_sync_machine import BOUND_SECONDS
from tests.restore.fleet import RestoredFleet

ENDPOINTS = ["e1", "e2", "e3"]
GATEWAYS = [f"g{dc}-{n}" for dc in range(2) for n in range(2)]


class RestoreMachine(RuleBasedStateMachine):
    @initialize()
    def setup(self):
        self.fleet = RestoredFleet(2, 2, endpoints=ENDPOINTS)
        self.version = 1
        self.versions_by_gateway = {}
        self.starts = 0
        self.fleet.pass_time(2.0)
        self.fleet.store.copy()

    @rule()
    def operator_applies_configuration(self):
        self.version += 1
        self.fleet.configure(self.version)

    @rule(id=st.sampled_from(ENDPOINTS), state=st.sampled_from(["ready", "draining"]))
    def endpoint_writes(self, id, state):
        if id in self.fleet.states_by_id:
            self.fleet.set_endpoint(id, state)

    @rule(id=st.sampled_from(ENDPOINTS))
    def endpoint_is_replaced(self, id):
        """Each start gets a new id."""
        self.starts += 1
        if id in self.fleet.states_by_id:
            self.fleet.remove_endpoint(id)
        self.fleet.set_endpoint(f"{id}.{self.starts}", "ready")

    @rule()
    def store_is_copied(self):
        self.fleet.store.copy()

    @rule()
    def store_is_restored(self):
        self.fleet.restore()

    @rule(name=st.sampled_from(GATEWAYS), state=st.sampled_from(["open", "refused"]))
    def store_connection_changes(self, name, state):
        self.fleet.gateways[name].link.store_connection.state = state

    @rule(seconds=st.sampled_from([0.1, 0.5, 2.0]))
    def time_passes(self, seconds):
        self.fleet.pass_time(seconds)

    @rule()
    def system_settles(self):
        """The store is reachable, stale entries are gone, the configuration is applied again."""
        for gateway in self.fleet.gateways.values():
            gateway.link.store_connection.state = "open"
        self.fleet.configure(self.version)
        self.fleet.pass_time(1.0)
        self.fleet.remove_stale_entries()
        self.fleet.pass_time(BOUND_SECONDS + REREGISTRATION_SECONDS)
        live = {id for id, state in self.fleet.states_by_id.items() if state == "ready"}
        ready_ids_by_gateway = {
            name: gateway.ready_ids() for name, gateway in self.fleet.gateways.items()
        }
        assert ready_ids_by_gateway == dict.fromkeys(ready_ids_by_gateway, live)
        versions = {gateway.holder.version for gateway in self.fleet.gateways.values()}
        assert versions == {self.version}

    @invariant()
    def configurations_never_revert(self):
        if not hasattr(self, "fleet"):
            return
        for name, gateway in self.fleet.gateways.items():
            version = gateway.holder.version or 0
            assert version >= self.versions_by_gateway.get(name, 0)
            self.versions_by_gateway[name] = version


RestoreMachine.TestCase.settings = settings(max_examples=examples(30), stateful_step_count=20)
test_gateways_under_restores = RestoreMachine.TestCase
