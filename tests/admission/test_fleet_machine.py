"""A hypothesis state machine: queues of several gateways before the same engines, under faults.

Rules: requests arrive, runs end, engines come and leave; gateways fall silent, are cut off from
each other, restart; reports are late, lost or overtake each other; a peer reports a generation that
it never dispatches. Invariants: see :class:`FleetMachine`.
"""

import random
import types

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule
from twisted.internet.task import Clock

from guavacleat.admission.backlog import Backlog, WaitingGeneration
from guavacleat.admission.generations import MAX_WAIT_SHARE
from guavacleat.membership.entries import EndpointState
from guavacleat.peers.report import GatewayReport, decode_report, encode_report
from tests.admission.test_fleet_queue import TIMEOUT, ContendedHarness
from tests.conftest import examples
from tests.forwarding.harness import ENGINE

STEP_SECONDS = 0.005
GATEWAYS = ("near-1", "near-2", "near-3", "far")
ENGINES = ("e1",)
MAX_DELAY_SECONDS = 0.3
LIAR_SLACK = 0.2
# A report that is late by 0.3 s counts for 0.7 s as a summary; then a head counts for the 0.9 s of
# its slack (0.3 s if it has room); then the next turn comes within 0.1 s.
BOUND_SECONDS = 2.0 + 4 * STEP_SECONDS
# Without faults for longer than that: a report, a turn and their steps.
CALM_BOUND_SECONDS = 0.1 + 4 * STEP_SECONDS
# Priority, output and prompt of requests.
SIZES = [(0, 50, 500), (0, 300, 2500), (2, 2000, 3000), (2, 12_000, 4000)]


class Gateway(ContendedHarness):
    """A gateway that reports to the others of its fleet."""

    def __init__(self, fleet, name, incarnation):
        super().__init__(fleet.clock, fleet.engines)
        self.fleet, self.name, self.incarnation = fleet, name, incarnation
        self.queue.fleet_queues.random.seed(f"{name} {incarnation}")
        self.silent = False
        self.report_call = None
        self.load.listeners.append(self.schedule_report)
        self.queue.listeners.append(self.schedule_report)

    def schedule_report(self):
        if self.report_call is None:
            self.report_call = self.clock.callLater(0.01, self.send_report)

    def send_report(self):
        self.report_call = None
        self.sequence += 1
        if self.silent or self.fleet.gateways.get(self.name) is not self:
            return
        fields = dict(backlogs_by_service=self.queue.backlogs_by_service())
        if self.name == "far":
            fields |= dict(data_centre="far", gateway_count=1)
        report = GatewayReport(
            self.name, self.incarnation, self.sequence, self.load.generation_loads(), **fields
        )
        self.fleet.deliver(self.name, encode_report(report))

    def waiting(self):
        queues = self.queue.fleet_queues.queues_by_service.values()
        return [entry for queue in queues for entry in queue.entries_by_key.values()]

    def order(self, entry, now):
        """The entry's place in the order, with the penalty of its account as reported."""
        penalty = self.queue.fleet_queues.account_usage.penalty(entry.request.account_name)
        return entry.contender(now, penalty).order

    def has_room(self, entry):
        """Whether an engine has room for the entry, as far as this gateway knows."""
        placement = self.context.placement
        return placement.choose_for_generation(entry.request, entry.tried) is not None


class FleetOfQueues:
    """Gateways by name, the network between them and the engines."""

    def __init__(self, seed):
        self.clock = Clock()
        self.random = random.Random(seed)
        self.engines = set(ENGINES)
        self.cuts, self.delay, self.loss = set(), 0.0, 0.0
        self.gateways = {}
        self.liar = None
        self.incarnations = 0
        self.disturbed_at = 0.0
        for name in GATEWAYS:
            self.start(name)

    def bound(self):
        """How long a request may wait for nobody now."""
        if self.cuts or self.delay or self.loss or self.liar is not None:
            self.disturbed_at = self.clock.seconds()
        if any(gateway.silent for gateway in self.gateways.values()):
            self.disturbed_at = self.clock.seconds()
        calm = self.clock.seconds() - self.disturbed_at > BOUND_SECONDS
        return CALM_BOUND_SECONDS if calm else BOUND_SECONDS

    def start(self, name):
        self.incarnations += 1
        self.disturbed_at = self.clock.seconds()
        self.gateways[name] = Gateway(self, name, self.incarnations)

    def deliver(self, sender, data):
        for name in self.gateways:
            if name == sender or (sender, name) in self.cuts or self.random.random() < self.loss:
                continue
            delay = 0.001 + self.random.random() * self.delay
            self.clock.callLater(delay, self.arrive, name, data)

    def arrive(self, name, data):
        report = decode_report(data)
        if name == "far" and not report.is_summary:
            report.data_centre, report.gateway_count = report.instance, 1
        self.gateways[name].peers.observe(report)

    def lie(self):
        """Report a generation that the peer never dispatches, as on time for ever."""
        backlog = Backlog(1, 1, 0, {}, (self.liar.head,))
        self.liar.sequence += 1
        report = GatewayReport(
            "liar", 1, self.liar.sequence, {}, backlogs_by_service={"svc": backlog}
        )
        self.deliver("liar", encode_report(report))


class FleetMachine(RuleBasedStateMachine):
    """Checks that each request ends once and in time, and that none waits for nobody."""

    @initialize(seed=st.integers(0, 1000), rate=st.sampled_from([2.0, 4.0, 8.0]))
    def setup(self, seed, rate):
        """Between the rules, ``rate`` requests arrive a second; one engine serves about 4."""
        self.fleet, self.rate = FleetOfQueues(seed), rate
        self.requests = []
        # Clock time since which a request, by its key, waits with room and nobody ahead.
        self.first_since = {}

    @rule(
        name=st.sampled_from(GATEWAYS),
        size=st.sampled_from(SIZES),
        count=st.sampled_from([1, 1, 6]),
    )
    def requests_arrive(self, name, size, count):
        priority, output, prompt = size
        gateway = self.fleet.gateways[name]
        for _ in range(count):
            id = f"r{len(self.requests)}"
            request = types.SimpleNamespace(
                id=id, at=self.fleet.clock.seconds(), gateway=gateway, lost=False
            )
            self.requests.append(request)
            deferred = gateway.ask(id, priority, output, prompt)
            request.deferred = deferred
            deferred.addCallback(lambda _, request=request: self.follow_run(request))

    def follow_run(self, request):
        """The prefill and the run of a request that has been dispatched."""
        [result] = request.gateway.asked[request.id]
        if not isinstance(result, str):
            return
        load, clock = request.gateway.load, self.fleet.clock
        run = load.runs_by_endpoint[result][request.id]

        def finish_prefill():
            run.pending_prefill_tokens = 0
            load.notify_changed(run)

        clock.callLater(run.pending_prefill_tokens / 7000, finish_prefill)
        clock.callLater(0.2 + run.peak_tokens / 10_000, load.end, result, run)

    @rule(name=st.sampled_from(GATEWAYS), silent=st.booleans())
    def gateway_falls_silent_or_speaks(self, name, silent):
        self.fleet.gateways[name].silent = silent

    @rule(
        pairs=st.sets(st.tuples(st.sampled_from(GATEWAYS), st.sampled_from(GATEWAYS)), max_size=4)
    )
    def links_are_cut(self, pairs):
        self.fleet.cuts = pairs

    @rule(
        delay=st.sampled_from([0.0, 0.05, MAX_DELAY_SECONDS]), loss=st.sampled_from([0.0, 0.1, 0.5])
    )
    def network_changes(self, delay, loss):
        """Reports with different delays overtake each other."""
        self.fleet.delay, self.fleet.loss = delay, loss

    @rule(name=st.sampled_from(GATEWAYS))
    def gateway_restarts(self, name):
        old = self.fleet.gateways[name]
        for request in self.requests:
            if request.gateway is old and not old.asked[request.id]:
                request.lost = True
                request.deferred.cancel()
        for id, runs in list(old.load.runs_by_endpoint.items()):
            for run in list(runs.values()):
                old.load.end(id, run)
        self.fleet.start(name)

    @rule(id=st.sampled_from(["e2", "e3"]), present=st.booleans())
    def engine_comes_or_leaves(self, id, present):
        (self.fleet.engines.add if present else self.fleet.engines.discard)(id)
        state = EndpointState.READY if present else EndpointState.DRAINING
        for gateway in self.fleet.gateways.values():
            if present or id in gateway.registry.entries_by_id:
                gateway.set_endpoint(id, state=state)

    @rule(tokens=st.sampled_from([None, 3000, 25_000, 10 * ENGINE.memory_tokens]))
    def peer_begins_or_stops_to_lie(self, tokens):
        if tokens is None or self.fleet.liar is not None:
            self.fleet.liar = None
            return
        head = WaitingGeneration(self.fleet.random.getrandbits(62), 0, LIAR_SLACK, tokens, 0, False)
        sequence = round(self.fleet.clock.seconds() * 1000)
        self.fleet.liar = types.SimpleNamespace(head=head, sequence=sequence)

    @rule(seconds=st.sampled_from([0.02, 0.3, 3.0]))
    def time_passes(self, seconds):
        rng = self.fleet.random
        for _ in range(round(seconds / STEP_SECONDS)):
            if rng.random() < self.rate * STEP_SECONDS:
                self.requests_arrive(rng.choice(GATEWAYS), rng.choice(SIZES), 1)
            self.take_step()

    def take_step(self):
        if self.fleet.liar is not None and self.fleet.random.random() < 0.25:
            self.fleet.lie()
        self.fleet.clock.advance(STEP_SECONDS)
        self.check_nobody_waits_for_nobody()

    def check_nobody_waits_for_nobody(self):
        """The first request in the order of all gateways starts soon if an engine has room."""
        now, bound = self.fleet.clock.seconds(), self.fleet.bound()
        waiting = [
            (gateway.order(entry, now), entry.key, gateway, entry)
            for gateway in self.fleet.gateways.values()
            for entry in gateway.waiting()
        ]
        first = min(waiting, default=None)
        if first is None or not first[2].has_room(first[3]):
            self.first_since = {}
            return
        key = first[1]
        self.first_since = {key: self.first_since.get(key, now)}
        assert now - self.first_since[key] <= bound, first[2].name

    @invariant()
    def each_request_ends_at_most_once_and_in_time(self):
        if not hasattr(self, "fleet"):
            return
        latest = self.fleet.clock.seconds() - TIMEOUT * MAX_WAIT_SHARE - STEP_SECONDS
        for request in self.requests:
            results = request.gateway.asked[request.id]
            assert len(results) <= 1, request.id
            assert results or request.at > latest, request.id

    def teardown(self):
        if not hasattr(self, "fleet"):
            return
        self.rate = 0.0
        self.time_passes(TIMEOUT * MAX_WAIT_SHARE + 2 * STEP_SECONDS)
        self.each_request_ends_at_most_once_and_in_time()
        assert all(request.gateway.asked[request.id] for request in self.requests)
        assert not any(gateway.waiting() for gateway in self.fleet.gateways.values())


FleetMachine.TestCase.settings = settings(max_examples=examples(60), stateful_step_count=20)
test_no_request_waits_for_nobody = FleetMachine.TestCase
