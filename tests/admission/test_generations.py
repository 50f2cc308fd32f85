"""The surge pattern: more generations arrive than engines have room for.

Grounds for the figures: an engine reads some 7,000 prompt tokens a second while it decodes, so a
prompt of 3,000 takes 0.4 s; callers want the first event within 1.5 to 1.8 s; engines leave with
1.5 s of notice and take with them what waits in their own queues.
"""

import pytest

from guavacleat.admission.generations import HOLD_SHARE, POLL_SECONDS, STAGGER_SECONDS
from guavacleat.forwarding.answers import RefusalError, Verdict
from guavacleat.membership.registry import EndpointState
from guavacleat.placement import Run
from guavacleat.placement.choice import READ_AHEAD_TOKENS
from guavacleat.routes import Account, RequestKind
from tests.forwarding.harness import ENGINE, World

TIMEOUT = 39.0


@pytest.fixture
def world(clock):
    return World(clock, names=("e1",))


def ask(world, name="r", output=2000, prompt=3000, priority=None, account="a", tried=()):
    """Ask for an engine; return what came: a list that gets the endpoint's id or the error."""
    request, _ = world.request(
        kind=RequestKind.STREAM, timeout=TIMEOUT, prompt_tokens=prompt, max_output_tokens=output
    )
    request.facts.id = name
    request.route.latency_goal = 1.8
    request.account = Account(account, priority)
    came = []
    given = world.queue.acquire(request, set(tried))

    def begin(engine):
        came.append(engine and engine.id)
        if engine is not None:
            run = Run(name, request.expected_tokens(), request.prompt_tokens)
            world.load.begin(engine.id, run)

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


def fill(world, name="e1", tokens=ENGINE.memory_tokens, unread=0):
    """Take an engine's room; return the run that does."""
    run = Run(f"full-{name}", tokens, unread)
    world.load.begin(name, run)
    return run


def look(world):
    world.clock.advance(STAGGER_SECONDS)


def test_a_request_goes_at_once_where_there_is_room(world):
    assert ask(world).result == "e1"


def test_no_engine_is_told_at_once(world):
    world.ready("e1", state=EndpointState.DRAINING)
    assert ask(world).result is None


def test_requests_wait_here_and_not_in_an_engine_that_may_leave(world):
    """
    Symptom: ten callers lose their requests at one moment, before a first token.
    Sequence: prompts queue in an engine; it is taken away.
    Cause: a request that was sent may have begun, so it cannot go elsewhere; only what an engine
    can read within some tenths of a second is sent to it.
    """
    asked = [ask(world, f"r{number}") for number in range(4)]
    assert [came.result for came in asked] == ["e1", "waits", "waits", "waits"]
    world.ready("e1", state=EndpointState.DRAINING)
    world.ready("e2")
    world.clock.advance(POLL_SECONDS + STAGGER_SECONDS)
    assert [came.result for came in asked] == ["e1", "e2", "waits", "waits"]


def test_a_waiting_request_goes_when_a_prompt_has_been_read(world):
    first = fill(world, tokens=3000, unread=READ_AHEAD_TOKENS + 1)
    came = ask(world)
    assert came.result == "waits"
    first.unread_tokens = 0
    world.load.notify_changed(first)
    look(world)
    assert came.result == "e1"


def test_memory_counts_to_the_expected_end(world):
    run = fill(world, tokens=ENGINE.memory_tokens - 3000)
    came = ask(world, output=2000)
    assert came.result == "waits"
    world.load.end("e1", run)
    look(world)
    assert came.result == "e1"


def test_a_request_larger_than_an_engine_is_left_to_an_empty_one(world):
    assert ask(world, prompt=2 * ENGINE.memory_tokens).result == "e1"


def test_the_more_urgent_goes_first(world):
    run = fill(world)
    less = ask(world, "less", priority=1)
    more = ask(world, "more", priority=0)
    world.load.end("e1", run)
    look(world)
    assert (less.result, more.result) == ("waits", "e1")


def test_one_account_does_not_keep_others_waiting(world):
    """
    Symptom: a small account waits for all of a large one's requests.
    Sequence: one account asks for many generations, then another for its first.
    Cause: in order of arrival the first to flood the queue has it.
    """
    run = fill(world)
    flood = [ask(world, f"f{number}", account="large") for number in range(6)]
    small = ask(world, "small", account="small")
    for _ in range(2):
        world.load.end("e1", run)
        look(world)
        run = next(iter(world.load.runs_by_endpoint["e1"].values()))
    assert small.result == "e1"
    assert sum(came.result == "e1" for came in flood) == 1


def test_a_short_output_passes_a_head_that_needs_more_memory(world):
    fill(world, tokens=ENGINE.memory_tokens - 1500)
    long = ask(world, "long", priority=0)
    short = ask(world, "short", output=40, prompt=1000, priority=1)
    look(world)
    assert (long.result, short.result) == ("waits", "e1")


def test_a_long_output_does_not_pass(world):
    fill(world, tokens=ENGINE.memory_tokens - 1500)
    ask(world, "long", priority=0)
    small = ask(world, "small", output=400, prompt=500, priority=1)
    look(world)
    assert small.result == "waits"


def test_one_that_is_late_anyway_goes_behind_those_that_can_be_on_time(world):
    """
    Symptom: after a burst every request is late, for as long as it took to come.
    Sequence: requests wait until their first event is late; new ones come; room comes.
    Cause: served in turn, each late request makes the next one late.
    """
    run = fill(world)
    late = ask(world, "late")
    world.clock.advance(2.0)
    fresh = ask(world, "fresh")
    world.load.end("e1", run)
    look(world)
    assert (late.result, fresh.result) == ("waits", "e1")


def test_a_wait_that_was_too_long_ends_as_not_run_with_a_time_to_come_back(world):
    fill(world)
    came = ask(world)
    world.clock.advance(TIMEOUT * HOLD_SHARE)
    assert isinstance(came.result, RefusalError)
    assert came.result.verdict is Verdict.NO_ROOM and came.result.retry_after > 0
    assert not world.queue.waiting("svc")


def test_a_wait_that_will_be_too_long_is_refused_at_once(world):
    """
    Symptom: callers wait a third of their time for a refusal.
    Sequence: engines take one prompt a second; thirty wait already.
    Cause: the pace of late tells that there is no room for one more in time.
    """
    run = fill(world)
    asked = [ask(world, f"r{number}") for number in range(40)]
    for _ in range(4):
        world.load.end("e1", run)
        look(world)
        run = next(iter(world.load.runs_by_endpoint["e1"].values()))
    came = ask(world, "one more")
    assert came.result.verdict is Verdict.NO_ROOM
    assert came.result.retry_after > 1.0
    assert sum(came.result == "e1" for came in asked) == 4


def test_a_caller_that_leaves_waits_no_longer(world):
    run = fill(world)
    gone, stays = ask(world, "gone"), ask(world, "stays")
    gone.given.cancel()
    world.load.end("e1", run)
    look(world)
    assert (gone.result, stays.result) == (None, "e1")


def test_an_engine_that_refused_is_not_asked_again(world):
    came = ask(world, tried=("e1",))
    assert came.result is None
    world.ready("e2")
    assert ask(world, tried=("e1",)).result == "e2"


def test_nothing_is_scheduled_while_nobody_waits(world):
    ask(world)
    assert world.clock.getDelayedCalls() == []
