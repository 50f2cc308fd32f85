"""The surge pattern: more generations arrive than engines have room for.

Grounds for the figures: an engine reads some 7,000 prompt tokens a second while it decodes, so a
prompt of 3,000 takes 0.4 s; callers want the first event within 1.5 to 1.8 s; engines leave with
1.5 s of notice and take with them what waits in their own queues.
"""

import pytest

from guavacleat.admission.generations import HOLD_SHARE, POLL_SECONDS, STAGGER_SECONDS
from guavacleat.forwarding.refusals import RefusalError, RefusalReason
from guavacleat.membership.registry import EndpointState
from guavacleat.placement import Run
from guavacleat.placement.choice import READ_AHEAD_TOKENS
from guavacleat.routes import Account, RequestKind
from tests.forwarding.harness import ENGINE, ForwardingHarness

TIMEOUT = 39.0


@pytest.fixture
def harness(clock):
    return ForwardingHarness(clock, names=("e1",))


def ask(harness, name="r", output=2000, prompt=3000, priority=None, account="a", tried=()):
    """Ask for an engine; return what came: a list that gets the endpoint's id or the error."""
    request, _ = harness.request(
        kind=RequestKind.STREAM, timeout=TIMEOUT, prompt_tokens=prompt, max_output_tokens=output
    )
    request.metadata.id = name
    request.route.latency_goal = 1.8
    request.account = Account(account, priority)
    came = []
    given = harness.queue.acquire(request, set(tried))

    def begin(engine):
        came.append(engine and engine.id)
        if engine is not None:
            run = Run(name, request.expected_tokens(), request.prompt_tokens)
            harness.load.begin(engine.id, run)

    given.addCallbacks(begin, lambda failure: came.append(failure.value))
    came_of = Came(came, given)
    return came_of


class Came:
    """What a request got so far."""

    def __init__(self, came, given):
        self.came = came
        self.given = given

    @property
    def result(self):
        return self.came[0] if self.came else "waits"


def fill(harness, name="e1", tokens=ENGINE.memory_tokens, unread=0):
    """Take an engine's room; return the run that does."""
    run = Run(f"full-{name}", tokens, unread)
    harness.load.begin(name, run)
    return run


def look(harness):
    harness.clock.advance(STAGGER_SECONDS)


def test_a_request_goes_at_once_where_there_is_room(harness):
    assert ask(harness).result == "e1"


def test_no_engine_is_told_at_once(harness):
    harness.set_endpoint("e1", state=EndpointState.DRAINING)
    assert ask(harness).result is None


def test_requests_wait_here_and_not_in_an_engine_that_may_leave(harness):
    """
    Symptom: ten callers lose their requests at one moment, before a first token.
    Sequence: prompts queue in an engine; it is taken away.
    Cause: a request that was sent may have begun, so it cannot go elsewhere; only what an engine
    can read within some tenths of a second is sent to it.
    """
    asked = [ask(harness, f"r{number}") for number in range(4)]
    assert [came.result for came in asked] == ["e1", "waits", "waits", "waits"]
    harness.set_endpoint("e1", state=EndpointState.DRAINING)
    harness.set_endpoint("e2")
    harness.clock.advance(POLL_SECONDS + STAGGER_SECONDS)
    assert [came.result for came in asked] == ["e1", "e2", "waits", "waits"]


def test_a_waiting_request_goes_when_a_prompt_has_been_read(harness):
    first = fill(harness, tokens=3000, unread=READ_AHEAD_TOKENS + 1)
    came = ask(harness)
    assert came.result == "waits"
    first.unread_tokens = 0
    harness.load.notify_changed(first)
    look(harness)
    assert came.result == "e1"


def test_memory_counts_to_the_expected_end(harness):
    run = fill(harness, tokens=ENGINE.memory_tokens - 3000)
    came = ask(harness, output=2000)
    assert came.result == "waits"
    harness.load.end("e1", run)
    look(harness)
    assert came.result == "e1"


def test_a_request_larger_than_an_engine_is_left_to_an_empty_one(harness):
    assert ask(harness, prompt=2 * ENGINE.memory_tokens).result == "e1"


def test_the_more_urgent_goes_first(harness):
    run = fill(harness)
    less = ask(harness, "less", priority=1)
    more = ask(harness, "more", priority=0)
    harness.load.end("e1", run)
    look(harness)
    assert (less.result, more.result) == ("waits", "e1")


def test_one_account_does_not_keep_others_waiting(harness):
    """
    Symptom: a small account waits for all of a large one's requests.
    Sequence: one account asks for many generations, then another for its first.
    Cause: in order of arrival the first to flood the queue has it.
    """
    run = fill(harness)
    flood = [ask(harness, f"f{number}", account="large") for number in range(6)]
    small = ask(harness, "small", account="small")
    for _ in range(2):
        harness.load.end("e1", run)
        look(harness)
        run = next(iter(harness.load.runs_by_endpoint["e1"].values()))
    assert small.result == "e1"
    assert sum(came.result == "e1" for came in flood) == 1


def test_a_short_output_passes_a_head_that_needs_more_memory(harness):
    fill(harness, tokens=ENGINE.memory_tokens - 1500)
    long = ask(harness, "long", priority=0)
    short = ask(harness, "short", output=40, prompt=1000, priority=1)
    look(harness)
    assert (long.result, short.result) == ("waits", "e1")


def test_a_long_output_does_not_pass(harness):
    fill(harness, tokens=ENGINE.memory_tokens - 1500)
    ask(harness, "long", priority=0)
    small = ask(harness, "small", output=400, prompt=500, priority=1)
    look(harness)
    assert small.result == "waits"


def test_one_that_is_late_anyway_goes_behind_those_that_can_be_on_time(harness):
    """
    Symptom: after a burst every request is late, for as long as it took to come.
    Sequence: requests wait until their first event is late; new ones come; room comes.
    Cause: served in turn, each late request makes the next one late.
    """
    run = fill(harness)
    late = ask(harness, "late")
    harness.clock.advance(2.0)
    fresh = ask(harness, "fresh")
    harness.load.end("e1", run)
    look(harness)
    assert (late.result, fresh.result) == ("waits", "e1")


def test_a_wait_that_was_too_long_ends_as_not_run_with_a_time_to_come_back(harness):
    fill(harness)
    came = ask(harness)
    harness.clock.advance(TIMEOUT * HOLD_SHARE)
    assert isinstance(came.result, RefusalError)
    assert came.result.reason is RefusalReason.NO_ROOM and came.result.retry_after > 0
    assert not harness.queue.waiting("svc")


def test_a_wait_that_will_be_too_long_is_refused_at_once(harness):
    """
    Symptom: callers wait a third of their time for a refusal.
    Sequence: engines take one prompt a second; thirty wait already.
    Cause: the pace of late tells that there is no room for one more in time.
    """
    run = fill(harness)
    asked = [ask(harness, f"r{number}") for number in range(40)]
    for _ in range(4):
        harness.load.end("e1", run)
        look(harness)
        run = next(iter(harness.load.runs_by_endpoint["e1"].values()))
    came = ask(harness, "one more")
    assert came.result.reason is RefusalReason.NO_ROOM
    assert came.result.retry_after > 1.0
    assert sum(came.result == "e1" for came in asked) == 4


def test_a_caller_that_leaves_waits_no_longer(harness):
    run = fill(harness)
    gone, stays = ask(harness, "gone"), ask(harness, "stays")
    gone.given.cancel()
    harness.load.end("e1", run)
    look(harness)
    assert (gone.result, stays.result) == (None, "e1")


def test_an_engine_that_refused_is_not_asked_again(harness):
    came = ask(harness, tried=("e1",))
    assert came.result is None
    harness.set_endpoint("e2")
    assert ask(harness, tried=("e1",)).result == "e2"


def test_nothing_is_scheduled_while_nobody_waits(harness):
    ask(harness)
    assert harness.clock.getDelayedCalls() == []
