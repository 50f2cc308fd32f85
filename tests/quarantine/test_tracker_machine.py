"""A hypothesis state machine over the books of gateways that tell each other, checked throughout.

Callers send sound requests and one that crashes whatever runs it; endpoints end also for reasons of
their own, one by one or several at once; news between gateways is told, lost and told again.
"""

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule
from twisted.internet.task import Clock

from guavacleat.peers.crashes import MAX_FINGERPRINTS_PER_REPORT, CrashGossip
from guavacleat.quarantine import CrashTracker, QuarantineState
from guavacleat.quarantine.tracker import (
    COMMON_ENDS,
    COMMON_SECONDS,
    MAX_CRASHES,
    QUARANTINE_SECONDS,
)
from tests.conftest import examples

GATEWAYS = 3
CRASHER = -1
SOUND = tuple(range(1, 9))
# Three ends convict; then one trial is due after each quarantine.
CRASHES_AT_FIRST = 3


class QuarantineMachine(RuleBasedStateMachine):
    """Every rule is something that callers, endpoints or the network do."""

    def __init__(self):
        super().__init__()
        self.clock = Clock()
        self.books = [CrashTracker(self.clock) for _ in range(GATEWAYS)]
        self.news = [CrashGossip(self.clock, book) for book in self.books]
        self.starts = 0
        self.crashes = 0
        self.crashed_at = []
        self.others_ended_at = []

    def _endpoint(self):
        self.starts += 1
        return f"e{self.starts}"

    @rule(gateway=st.integers(0, GATEWAYS - 1), beside=st.sets(st.sampled_from(SOUND), max_size=4))
    def the_crasher_comes(self, gateway, beside):
        book = self.books[gateway]
        status = book.status(CRASHER)
        if status.state is QuarantineState.REFUSED:
            return
        endpoint = self._endpoint()
        if status.state is QuarantineState.ISOLATED:
            book.begin_trial(CRASHER, endpoint)
            beside = set()
        for request in (*beside, CRASHER):
            end = book.request_interrupted(endpoint, request)
        book.confirm(end)
        self.crashes += 1
        self.crashed_at.append((gateway, self.clock.seconds()))
        self.clock.advance(0.1)

    @rule(gateway=st.integers(0, GATEWAYS - 1), request=st.sampled_from(SOUND))
    def a_sound_request_completes(self, gateway, request):
        self.books[gateway].request_completed(request)
        assert self.books[gateway].status(request).state is QuarantineState.FREE

    @rule(
        gateway=st.integers(0, GATEWAYS - 1),
        groups=st.lists(st.sets(st.sampled_from(SOUND), min_size=1, max_size=3), max_size=4),
    )
    def endpoints_end_together(self, gateway, groups):
        book = self.books[gateway]
        for group in groups:
            endpoint = self._endpoint()
            for request in group:
                end = book.request_interrupted(endpoint, request)
            book.confirm(end)
            self.others_ended_at.append(self.clock.seconds())

    @rule(gateway=st.integers(0, GATEWAYS - 1), request=st.sampled_from(SOUND))
    def an_answer_is_spoilt(self, gateway, request):
        book = self.books[gateway]
        before = book.crash_count(request)
        book.discard(book.request_interrupted(self._endpoint(), request))
        assert book.crash_count(request) == before

    @rule(seconds=st.sampled_from([0.3, 2.0, 7.0, 30.0]))
    def time_passes(self, seconds):
        self.clock.advance(seconds)

    @rule(sender=st.integers(0, GATEWAYS - 1), everything=st.booleans())
    def a_gateway_tells(self, sender, everything):
        message = self.news[sender].build_message(15.0, True, everything)
        if message is None:
            return
        assert sum(len(end.fingerprints) for end in message.ends) <= MAX_FINGERPRINTS_PER_REPORT
        for number, news in enumerate(self.news):
            if number != sender:
                news.learn(message)

    @rule()
    def all_tell_all(self):
        for sender in range(GATEWAYS):
            self.a_gateway_tells(sender, True)

    def _is_alone(self, at):
        """Whether fewer endpoints ended near a crash than make it look like a common failure."""
        near = [other for other in self.others_ended_at if abs(other - at) <= COMMON_SECONDS]
        return len(near) < COMMON_ENDS

    @invariant()
    def the_crasher_ends_few_endpoints(self):
        """Each gateway alone bears three ends and then one a quarantine, whatever it hears."""
        now = self.clock.seconds()
        for gateway in range(GATEWAYS):
            at_gateway = [at for crasher, at in self.crashed_at if crasher == gateway]
            own = [at for at in at_gateway if self._is_alone(at)]
            if len(own) > CRASHES_AT_FIRST:
                since = now - own[CRASHES_AT_FIRST - 1]
                due = sum(since >= seconds for seconds in QUARANTINE_SECONDS)
                assert len(own) <= CRASHES_AT_FIRST + due, own

    @invariant()
    def memory_is_bounded_and_consistent(self):
        for book in self.books:
            assert len(book.endpoint_crashes) <= MAX_CRASHES
            told = {(id(end), key) for end in book.endpoint_crashes for key in end.fingerprints}
            kept = {
                (id(end), key) for key, ends in book.crashes_by_fingerprint.items() for end in ends
            }
            assert told == kept
            assert all(book.crashes_by_fingerprint.values())

    @invariant()
    def nobody_is_refused_for_few_ends(self):
        for book in self.books:
            refused = [
                key
                for key in book.crashes_by_fingerprint
                if book.status(key).state is QuarantineState.REFUSED
                and key not in book.trials_by_fingerprint
            ]
            assert all(len(book.crashes_by_fingerprint[key]) >= CRASHES_AT_FIRST for key in refused)


QuarantineMachine.TestCase.settings = settings(max_examples=examples(100), stateful_step_count=40)
test_quarantine_among_gateways = QuarantineMachine.TestCase
