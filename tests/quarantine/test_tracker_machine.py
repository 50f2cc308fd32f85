"""A hypothesis state machine: the crash trackers of several gateways that exchange reports.

Callers send harmless requests and one that crashes every endpoint; endpoints also crash for other
reasons, one or several at once; reports between gateways are sent, lost and repeated.
"""

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule
from twisted.internet.task import Clock

from guavacleat.peers.crashes import MAX_FINGERPRINTS_PER_REPORT, CrashGossip
from guavacleat.quarantine import CrashTracker, QuarantineState
from guavacleat.quarantine.attribution import CORRELATION_WINDOW_SECONDS, MIN_CORRELATED_CRASHES
from guavacleat.quarantine.crash_log import MAX_CRASHES
from guavacleat.quarantine.messages import QUARANTINE_SECONDS
from tests.conftest import examples

GATEWAYS = 3
CRASHER = -1
HARMLESS = tuple(range(1, 9))
# Crashes after which the request is quarantined; then one trial is due after each refusal.
CRASHES_BEFORE_QUARANTINE = 3


class QuarantineMachine(RuleBasedStateMachine):
    """The rules are actions of callers, endpoints and the network."""

    def __init__(self):
        super().__init__()
        self.clock = Clock()
        self.trackers = [CrashTracker(self.clock) for _ in range(GATEWAYS)]
        self.gossip = [CrashGossip(self.clock, tracker) for tracker in self.trackers]
        self.starts = 0
        self.crashes = 0
        # (gateway that observed the crash, clock time).
        self.crasher_crashes_at = []
        self.unrelated_crashes_at = []

    def _endpoint(self):
        self.starts += 1
        return f"e{self.starts}"

    @rule(
        gateway=st.integers(0, GATEWAYS - 1), others=st.sets(st.sampled_from(HARMLESS), max_size=4)
    )
    def crasher_is_sent(self, gateway, others):
        tracker = self.trackers[gateway]
        status = tracker.status(CRASHER)
        if status.state is QuarantineState.REFUSED:
            return
        endpoint = self._endpoint()
        if status.state is QuarantineState.ISOLATED:
            tracker.begin_trial(CRASHER, endpoint)
            others = set()
        for request in (*others, CRASHER):
            crash = tracker.request_interrupted(endpoint, request)
        tracker.confirm(crash)
        self.crashes += 1
        self.crasher_crashes_at.append((gateway, self.clock.seconds()))
        self.clock.advance(0.1)

    @rule(gateway=st.integers(0, GATEWAYS - 1), request=st.sampled_from(HARMLESS))
    def harmless_request_completes(self, gateway, request):
        self.trackers[gateway].request_completed(request)
        assert self.trackers[gateway].status(request).state is QuarantineState.FREE

    @rule(
        gateway=st.integers(0, GATEWAYS - 1),
        groups=st.lists(st.sets(st.sampled_from(HARMLESS), min_size=1, max_size=3), max_size=4),
    )
    def endpoints_crash_together(self, gateway, groups):
        tracker = self.trackers[gateway]
        for group in groups:
            endpoint = self._endpoint()
            for request in group:
                crash = tracker.request_interrupted(endpoint, request)
            tracker.confirm(crash)
            self.unrelated_crashes_at.append(self.clock.seconds())

    @rule(gateway=st.integers(0, GATEWAYS - 1), request=st.sampled_from(HARMLESS))
    def response_fails_without_a_crash(self, gateway, request):
        tracker = self.trackers[gateway]
        before = tracker.crash_count(request)
        tracker.discard(tracker.request_interrupted(self._endpoint(), request))
        assert tracker.crash_count(request) == before

    @rule(seconds=st.sampled_from([0.3, 2.0, 7.0, 30.0]))
    def time_passes(self, seconds):
        self.clock.advance(seconds)

    @rule(sender=st.integers(0, GATEWAYS - 1), include_quarantined=st.booleans())
    def gateway_reports(self, sender, include_quarantined):
        message = self.gossip[sender].build_message(15.0, True, include_quarantined)
        if message is None:
            return
        assert sum(len(crash.fingerprints) for crash in message.ends) <= MAX_FINGERPRINTS_PER_REPORT
        for number, gossip in enumerate(self.gossip):
            if number != sender:
                gossip.apply_message(message)

    @rule()
    def all_gateways_report(self):
        for sender in range(GATEWAYS):
            self.gateway_reports(sender, True)

    def _is_uncorrelated(self, at):
        """Whether too few endpoints crashed around ``at`` for a correlated failure."""
        concurrent = [
            other
            for other in self.unrelated_crashes_at
            if abs(other - at) <= CORRELATION_WINDOW_SECONDS
        ]
        return len(concurrent) < MIN_CORRELATED_CRASHES

    @invariant()
    def crasher_crashes_few_endpoints(self):
        """Each gateway has at most three crashes and one more after each refusal."""
        now = self.clock.seconds()
        for gateway in range(GATEWAYS):
            at_gateway = [at for observer, at in self.crasher_crashes_at if observer == gateway]
            own = [at for at in at_gateway if self._is_uncorrelated(at)]
            if len(own) > CRASHES_BEFORE_QUARANTINE:
                since = now - own[CRASHES_BEFORE_QUARANTINE - 1]
                due = sum(since >= seconds for seconds in QUARANTINE_SECONDS)
                assert len(own) <= CRASHES_BEFORE_QUARANTINE + due, own

    @invariant()
    def memory_is_bounded_and_consistent(self):
        for tracker in self.trackers:
            assert len(tracker.endpoint_crashes) <= MAX_CRASHES
            tracked = {
                (id(crash), key) for crash in tracker.endpoint_crashes for key in crash.fingerprints
            }
            indexed = {
                (id(crash), key)
                for key, crashes in tracker.crashes_by_fingerprint.items()
                for crash in crashes
            }
            assert tracked == indexed
            assert all(tracker.crashes_by_fingerprint.values())

    @invariant()
    def no_request_is_refused_for_few_crashes(self):
        for tracker in self.trackers:
            refused = [
                key
                for key in tracker.crashes_by_fingerprint
                if tracker.status(key).state is QuarantineState.REFUSED
                and key not in tracker.trials_by_fingerprint
            ]
            assert all(
                len(tracker.crashes_by_fingerprint[key]) >= CRASHES_BEFORE_QUARANTINE
                for key in refused
            )


QuarantineMachine.TestCase.settings = settings(max_examples=examples(100), stateful_step_count=40)
test_quarantine_among_gateways = QuarantineMachine.TestCase
