"""All gateways together keep to the retry budget while they restart, join and are cut off."""

import bisect

import hypothesis.strategies as st
from hypothesis import settings
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule

from guavacleat.retries import RetryBudget, RetryPurpose
from guavacleat.settings import Bounds
from tests.conftest import examples
from tests.peers.fleet import Fleet
from tests.retries.test_budget import make_request

BOUNDS = Bounds(retry_ratio=0.2, retry_extra=160.0, retry_window=10.0)
DATA_CENTRES = 2
GATEWAYS_PER_DATA_CENTRE = 4
# The share of a gateway that is cut off while others join is too large; the budget's safety factor
# covers a growth by a quarter.
MAX_JOINS = DATA_CENTRES * GATEWAYS_PER_DATA_CENTRE // 4
MAX_RETRIES_AT_ONCE = 100
positions = st.integers(0, DATA_CENTRES * GATEWAYS_PER_DATA_CENTRE + MAX_JOINS - 1)
all_positions = frozenset(range(DATA_CENTRES * GATEWAYS_PER_DATA_CENTRE))
some_positions = st.just(all_positions) | st.sets(positions, min_size=1)
store_states = st.sampled_from(["open", "refused", "silent"])
pauses = st.sampled_from([0.1, 0.5, 2.0, 5.0, 11.0])
purposes = st.lists(st.sampled_from(list(RetryPurpose)), min_size=1, max_size=4)


class BudgetMachine(RuleBasedStateMachine):
    """Gateways with the real exchange of reports; each uses all that its budget permits."""

    @initialize(seed=st.integers(0, 1000))
    def start(self, seed):
        self.fleet = Fleet(DATA_CENTRES, GATEWAYS_PER_DATA_CENTRE, seed=seed)
        self.budgets = {name: self.make_budget(name) for name in self.fleet.gateways}
        self.requested_at, self.retried_at = [], []
        self.demand = all_positions, 0, [RetryPurpose.HANDOVER]
        self.fleet.pass_time(BOUNDS.retry_window)

    def make_budget(self, name):
        return RetryBudget(self.fleet.clock, BOUNDS, self.fleet.gateways[name].source.gateway_count)

    def names(self, positions):
        known = list(self.fleet.gateways)
        return [known[position % len(known)] for position in sorted(positions)]

    @rule(positions=some_positions, requests=st.integers(0, 5), purposes=purposes)
    def change_demand(self, positions, requests, purposes):
        """Let some gateways receive requests and send them again; the others wait."""
        self.demand = positions, requests, purposes

    def use(self):
        """Receive requests, and send again as often as the budget permits."""
        positions, requests, purposes = self.demand
        now = self.fleet.clock.seconds()
        for name in self.names(positions):
            budget = self.budgets[name]
            for _ in range(requests):
                budget.record_request("svc")
            self.requested_at += [now] * requests
            for number in range(MAX_RETRIES_AT_ONCE):
                if not budget.take(make_request(), purposes[number % len(purposes)]):
                    break
                self.retried_at.append(now)

    @rule(position=positions, streams=st.integers(0, 20))
    def run_streams(self, position, streams):
        (name,) = self.names({position})
        for _ in range(streams):
            self.budgets[name].stream_started("svc")

    @rule(positions=some_positions, state=store_states, seconds=pauses)
    def restart(self, positions, state, seconds):
        for name in self.names(positions):
            gateway = self.fleet.gateways[name]
            gateway.stop()
            self.start_gateway(name, gateway.data_centre, gateway.ip, state)
        self.fleet.pass_time(seconds)
        self.use()

    @rule(data_centre=st.integers(0, DATA_CENTRES - 1), state=store_states)
    def join(self, data_centre, state):
        number = len(self.fleet.gateways)
        if number < DATA_CENTRES * GATEWAYS_PER_DATA_CENTRE + MAX_JOINS:
            ip = f"10.{data_centre}.1.{number}"
            self.start_gateway(f"j{number}", f"dc{data_centre}", ip, state)

    def start_gateway(self, name, data_centre, ip, state):
        """Start a gateway whose calls of the store meet this state."""
        connect = self.fleet.connect

        def connect_to_store():
            link = connect()
            link.set_state(state)
            return link

        self.fleet.connect = connect_to_store
        self.fleet.add(name, data_centre, ip)
        self.fleet.connect = connect
        self.budgets[name] = self.make_budget(name)

    @rule(positions=some_positions, state=store_states)
    def cut_off(self, positions, state):
        """Cut gateways off from their peers, and from the store unless the state is open."""
        cut = set(self.names(positions))
        self.fleet.blocked_links |= {
            (one, other)
            for one in self.fleet.gateways
            for other in self.fleet.gateways
            if one in cut or other in cut
        }
        for name in cut:
            self.fleet.gateways[name].link.set_state(state)

    @rule()
    def heal(self):
        self.fleet.blocked_links.clear()
        for gateway in self.fleet.gateways.values():
            gateway.link.set_state("open")

    @rule(seconds=pauses)
    def pass_time(self, seconds):
        self.fleet.pass_time(seconds)
        self.use()

    @invariant()
    def budget_is_kept(self):
        """Checked as the engines' operators count: from any time on, for a window's length."""
        for start in set(getattr(self, "retried_at", ())):
            retries = count_in_window(self.retried_at, start)
            requests = count_in_window(self.requested_at, start)
            assert retries <= BOUNDS.retry_ratio * requests + BOUNDS.retry_extra


def count_in_window(times, start):
    """How many of the sorted ``times`` are in the window from ``start`` on."""
    return bisect.bisect_right(times, start + BOUNDS.retry_window) - bisect.bisect_left(
        times, start
    )


TestBudget = BudgetMachine.TestCase
TestBudget.settings = settings(max_examples=examples(50), stateful_step_count=25)
