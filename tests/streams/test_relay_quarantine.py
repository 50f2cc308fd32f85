"""Quarantine of requests that crash engines, in the stream relay."""

import pytest
from thrift.Thrift import TApplicationException
from twisted.internet import defer

from guavacleat.errors import NotRunError
from guavacleat.protocol.gen.sidecar.ttypes import StartReply, UnknownStream
from guavacleat.streams import CompletionRequest
from guavacleat.streams.messages import StreamBrokenError
from tests.streams.test_relay import LIMITS, ListSink, announce, batch, make_relay

SIDECAR_NAMES = "abcdef"
RESTART_SECONDS = 1.0


class CrashingSidecar:
    """A sidecar whose engine crashes on prompts with the word ``crash`` and restarts at once."""

    def __init__(self, name):
        self.name = name
        self.crashes = 0
        self.prompts_by_stream = {}

    def start(self, request):
        stream = f"{self.name}-{len(self.prompts_by_stream)}"
        self.prompts_by_stream[stream] = request.prompt
        return defer.succeed(StartReply(stream_id=stream, generation=stream))

    def pull(self, stream_id, cursor, wait_ms):
        if "crash" in self.prompts_by_stream[stream_id].split():
            self.crashes += 1
            return defer.fail(UnknownStream(stream_id=stream_id))
        return defer.succeed(batch(stream_id, cursor, ["x"], True))

    def load(self):
        return defer.fail(TApplicationException(message="the engine does not answer"))

    def cancel(self, stream_id):
        return defer.succeed(None)


def run_request(clock, relay, prompt, repeatable=True, call=None, id="r"):
    request = CompletionRequest(
        id, "enquiry-lm", "acc", "interactive", 0, prompt, 10, call, clock.seconds(), repeatable
    )
    ended = []
    relay.run(request, LIMITS, ListSink()).addBoth(ended.append)
    return ended[0]


@pytest.mark.parametrize("repeatable,call", [(True, None), (True, "k1"), (False, "k2")])
def test_crashing_prompt_is_refused_after_three_crashes(clock, repeatable, call):
    """Guards against retries that crash further engines, also with new ids or idempotency keys."""
    sidecars = [CrashingSidecar(name) for name in SIDECAR_NAMES]
    relay = make_relay(clock, sidecars)
    outcomes = []
    for number in range(8):
        key = call and f"{call}-{number}"
        outcomes.append(run_request(clock, relay, "crash", repeatable, key, f"r{number}"))
        clock.advance(0.1)
        assert run_request(clock, relay, f"sound {number}").sent == ["x"]
    assert sum(sidecar.crashes for sidecar in sidecars) == 3
    assert outcomes[0].check(StreamBrokenError)
    assert outcomes[-1].check(NotRunError)
    assert outcomes[-1].value.retry_after > 1.0
    assert "requests like this one" in str(outcomes[-1].value)


def test_same_prompt_of_another_account_is_not_quarantined(clock):
    sidecars = [CrashingSidecar(name) for name in SIDECAR_NAMES]
    relay = make_relay(clock, sidecars)
    for number in range(4):
        run_request(clock, relay, "crash", id=f"r{number}")
    other = CompletionRequest(
        "r9", "enquiry-lm", "other", "interactive", 0, "crash", 10, None, clock.seconds()
    )
    assert relay.quarantine.status(other).retry_after is None


def words(name, count=100):
    return " ".join(f"{name}{number}" for number in range(count))


SECTIONS = [
    pytest.param((words("shared"), words("bad") + " crash " + words("also")), id="second-section"),
    pytest.param((words("bad") + " crash " + words("also"), words("shared")), id="first-section"),
]
# Five crashes identify the section; then it may reach endpoints three times.
MAX_SECTION_CRASHES = 8


@pytest.mark.parametrize("sections", SECTIONS)
def test_section_that_crashes_engines_is_refused_in_any_prompt(clock, sections):
    """Guards against prompts, no two alike, one section of which crashes engine after engine."""
    sidecars = [CrashingSidecar(name) for name in SIDECAR_NAMES]
    relay = make_relay(clock, sidecars)
    for number in range(40):
        announce(relay.membership, sidecars, beat=number + 2)
        run_request(clock, relay, " ".join((*sections, f"own{number}")), id=f"r{number}")
        clock.advance(0.25)
        sound = run_request(clock, relay, f"{words('shared')} sound {number}", id=f"s{number}")
        assert sound.sent == ["x"]
        clock.advance(0.25)
    assert sum(sidecar.crashes for sidecar in sidecars) <= MAX_SECTION_CRASHES


class SilentSidecar(CrashingSidecar):
    """A sidecar whose streams have no token yet."""

    def pull(self, stream_id, cursor, wait_ms):
        return defer.Deferred()


def test_queued_prompt_is_refused_once_its_section_is_known_to_crash_engines(clock):
    """Guards against holding a prompt in the queue that can no longer be served."""
    relay = make_relay(clock, [SilentSidecar("a")])
    bad = words("bad")
    for number in range(LIMITS.in_flight_per_endpoint):
        relay.run(completion(clock, f"sound {number}"), LIMITS, ListSink())
    ended = []
    relay.run(completion(clock, f"{bad} own"), LIMITS, ListSink()).addBoth(ended.append)
    assert not ended
    parts = completion(clock, bad).part_keys
    for number in range(3):
        interrupted = relay.crash_tracker.request_interrupted(f"gone{number}", number, parts=parts)
        relay.crash_tracker.confirm(interrupted)
    assert ended[0].check(NotRunError)
    assert relay.dispatcher.depth() == {"enquiry-lm": 0}


def completion(clock, prompt):
    return CompletionRequest(
        prompt[-12:], "enquiry-lm", "acc", "interactive", 0, prompt, 10, None, clock.seconds()
    )
