"""The reclaim pattern: an engine is taken away a second or two after its notice.

Grounds for the figures: long streams hold some 4,000 tokens, a copy takes 0.2 to 0.6 s on the
leaving engine's one link, and the shortest notice is 1.5 s, so some five of eight can be copied.
"""

import pytest
from twisted.internet import defer

from guavacleat.forwarding.memory import HeldCopy
from guavacleat.forwarding.messages import MoveResponse
from guavacleat.forwarding.session import StreamSession
from guavacleat.membership.registry import EndpointState
from guavacleat.migration import Evacuator
from guavacleat.routes import RequestKind
from tests.forwarding.harness import ForwardingHarness, encode_event, make_entry


class Calls:
    """Calls to engines, answered by the test."""

    def __init__(self, monkeypatch):
        self.made = []
        monkeypatch.setattr("guavacleat.migration.evacuation.call", self)
        monkeypatch.setattr("guavacleat.forwarding.copies.call", self)

    async def __call__(self, clock, pool, address, method, target, headers, body, timeout):
        answer = defer.Deferred()
        self.made.append((address[0], target.decode(), body.decode(), answer))
        return await answer

    def targets(self):
        return [target for _, target, _, _ in self.made]

    def answer(self, index, status, handle=""):
        self.made[index][3].callback(Answer(status, handle))


class Answer:
    def __init__(self, status, handle):
        self.code = status
        self.body = handle.encode()


@pytest.fixture
def calls(monkeypatch):
    return Calls(monkeypatch)


@pytest.fixture
def harness(clock, calls):
    """Ends its streams with the test: collected later, they would free copies in another one."""
    harness = ForwardingHarness(clock, names=("leaver",))
    harness.sessions = set()
    yield harness
    for session in list(harness.sessions):
        session.cancel()


def streams(harness, count, events=30):
    """Streams that run on the endpoint ``leaver``, each with some events out."""
    sessions, found = harness.sessions, []
    for number in range(count):
        request, caller = harness.request(
            kind=RequestKind.STREAM, timeout=39.0, max_output_tokens=2000 + number
        )
        request.metadata.id = f"r{number}"
        session = StreamSession(request, harness.context, sessions)
        defer.Deferred.fromCoroutine(session.run()).addErrback(lambda failure: None)
        side = harness.pool.connections[-1]
        side.begin(id=f"r{number}".encode())
        side.body_bytes(b"".join(encode_event(id) for id in range(1, events + 1)))
        found.append((session, caller, side))
    return sessions, found


def leave(harness, sessions):
    """Give the notice, with two other engines ready."""
    harness.set_endpoint("e1")
    harness.set_endpoint("e2")
    evacuator = Evacuator(harness.context, sessions)
    harness.registry.on_leaving = evacuator.endpoint_leaving
    harness.set_endpoint("leaver", state=EndpointState.DRAINING)


def produce(harness, side, first, count=1):
    """The engine's next events, 30 ms apart."""
    for id in range(first, first + count):
        harness.clock.advance(0.03)
        side.body_bytes(encode_event(id))


def test_copies_are_made_one_at_a_time_and_no_run_is_stopped_for_them(harness, calls):
    """
    Symptom: callers see pauses of 0.2 s and more when an engine leaves.
    Sequence: three streams run on it; all are copied over its one link.
    Cause: a run that is stopped while other copies queue waits for all of them, and the notice may
    be a short one.
    """
    sessions, found = streams(harness, 3)
    leave(harness, sessions)
    for index in range(3):
        assert len(calls.made) == index + 1
        calls.answer(index, 200, f"h{index}")
    harness.clock.advance(0.1)
    assert len(calls.made) == 3
    assert set(calls.targets()) == {"/copy"}
    assert all(side.open for _, _, side in found)


def test_streams_are_handed_over_one_after_the_other(harness, calls):
    """
    Symptom: callers of an engine that leaves see pauses of 0.2 to 0.3 s.
    Sequence: three streams have copies on one engine; theirs goes, and all three go on there.
    Cause: each waits until the last tokens of the others have been read; one after the other, and
    before their engine is gone, each waits for its own only.
    """
    sessions, found = streams(harness, 3)
    leave(harness, sessions)
    for index in range(3):
        calls.answer(index, 200, f"h{index}")
    for _, _, side in found:
        produce(harness, side, 31)
    assert len(harness.pool.connections) == 4, "one is asked for at a time"
    for number, id in enumerate([b"r2", b"r1", b"r0"], start=3):
        assert len(harness.pool.connections) == number + 1
        second = harness.pool.connections[number]
        second.begin(id=id)
        second.body_bytes(encode_event(32))
        for next_id in range(32, 35):
            harness.clock.advance(0.03)
            for _, _, side in found:
                side.body_bytes(encode_event(next_id))
    assert not any(side.open for _, _, side in found)


def test_a_stream_that_another_engine_refuses_stays_and_is_copied_again(harness, calls):
    """
    Symptom: a stream is cut at the notice, seconds before its engine goes.
    Sequence: the engine that has the copy refuses to go on from it.
    Cause: until the other engine has begun, the present one must be kept.
    """
    sessions, [(session, caller, side)] = streams(harness, 1)
    leave(harness, sessions)
    calls.answer(0, 200, "h0")
    produce(harness, side, 31)
    second = harness.pool.connections[1]
    produce(harness, side, 32, 2)
    second.answer(503, signed=False, not_run=True, id=None)
    harness.clock.advance(0.1)
    assert side.open and caller.data.endswith(encode_event(33))
    assert len(calls.made) == 2


def test_a_stream_that_was_refused_once_is_handed_over_from_its_next_copy(harness, calls):
    """
    Symptom: a stream is cut when its engine goes, many seconds after its notice.
    Sequence: its handover is refused once; it is copied again; the copy is never used.
    Cause: one that had failed was not tried again, and an engine drops a copy after some 5 s.
    """
    sessions, [(session, caller, side)] = streams(harness, 1)
    leave(harness, sessions)
    calls.answer(0, 200, "h0")
    produce(harness, side, 31)
    harness.pool.connections[1].answer(503, signed=False, not_run=True, id=None)
    harness.clock.advance(0.1)
    calls.answer(1, 200, "h1")
    produce(harness, side, 32, 3)
    assert harness.pool.connections[2].headers[b"resume"].startswith(b"h1 ")


def test_a_stream_is_not_copied_while_it_is_handed_over(harness, calls):
    """
    Symptom: streams of a leaving engine are lost while its link copies others twice.
    Sequence: a stream is being handed over; its copy is in use, so it holds none.
    Cause: it looked like a stream without protection.
    """
    sessions, [(_, _, side)] = streams(harness, 1)
    leave(harness, sessions)
    calls.answer(0, 200, "h0")
    produce(harness, side, 31)
    harness.clock.advance(0.2)
    assert len(calls.made) == 1


def test_a_copied_stream_survives_an_engine_that_is_gone_early(harness, calls):
    """
    Symptom: a stream is cut although its memory had been copied.
    Sequence: the first copy is made; the engine is gone while the next is under way.
    Cause: the stream must go on from the first copy, which has a little more to read.
    """
    sessions, [(session, caller, side)] = streams(harness, 1)
    leave(harness, sessions)
    calls.answer(0, 200, "h0")
    side.body_bytes(encode_event(31))
    side.break_off()
    assert harness.pool.connections[1].headers[b"resume"] == b"h0 31"


def test_a_stream_with_a_backup_is_handed_over_without_a_copy(harness, calls):
    sessions, [(session, caller, side)] = streams(harness, 1)
    session.memory.keep_copy(HeldCopy(make_entry("e2"), make_entry("e2"), "r0", backup=True))
    leave(harness, sessions)
    produce(harness, side, 31)
    assert calls.made == []
    second = harness.pool.connections[1]
    assert second.address[0] == "e2" and second.headers[b"resume"] == b"r0 31"


def test_a_backup_that_has_only_begun_is_not_gone_on_from(harness, calls):
    """
    Symptom: streams lose their backup at the notice.
    Sequence: a stream has just begun when its engine gives notice.
    Cause: a backup takes half a second or more to hold the prompt; asked before, it is refused.
    """
    sessions, [(session, _, side)] = streams(harness, 1, events=5)
    session.memory.keep_copy(HeldCopy(make_entry("e2"), make_entry("e2"), "r0", backup=True))
    leave(harness, sessions)
    produce(harness, side, 6)
    assert len(harness.pool.connections) == 1


def test_a_backup_on_the_leaving_engine_counts_no_more(harness, calls):
    """
    Symptom: a stream is cut although its engine was known to leave for seconds.
    Sequence: the engine that keeps the stream's backup leaves, then the stream's own engine.
    Cause: a backup that goes with its engine protects nothing; the stream must be copied.
    """
    sessions, [(session, _, _)] = streams(harness, 1)
    session.memory.keep_copy(HeldCopy(make_entry("gone"), make_entry("gone"), "r0", backup=True))
    Evacuator(harness.context, sessions).endpoint_leaving(make_entry("gone"))
    assert session.memory.copy is None
    leave(harness, sessions)
    assert calls.targets() == ["/copy"]


def test_another_target_is_tried_when_the_first_has_no_room(harness, calls):
    sessions, _ = streams(harness, 1)
    leave(harness, sessions)
    calls.answer(0, 503)
    assert calls.targets() == ["/copy", "/copy"]
    assert calls.made[0][2] != calls.made[1][2]


def test_a_run_that_the_engine_does_not_know_yet_is_tried_again(harness, calls):
    sessions, _ = streams(harness, 1)
    leave(harness, sessions)
    calls.answer(0, 404)
    assert len(calls.made) == 1
    harness.clock.advance(0.11)
    assert len(calls.made) == 2


def test_the_stream_worth_most_per_token_is_copied_first(harness, calls):
    sessions, found = streams(harness, 3)
    leave(harness, sessions)
    assert calls.made[0][2].startswith("r2 ")


def test_a_copy_that_came_too_late_is_freed(harness, calls):
    """
    Symptom: an engine's memory fills with copies that nobody uses.
    Sequence: the stream ends by itself while its copy is under way.
    Cause: the copy holds memory and a slot until it is freed.
    """
    sessions, [(_, _, side)] = streams(harness, 1)
    leave(harness, sessions)
    side.end()
    calls.answer(0, 200, "h0")
    assert calls.targets() == ["/copy", "/free/h0"]


def test_a_caller_that_leaves_frees_the_copy(harness, calls):
    """
    Symptom: engines run out of memory when many callers leave.
    Sequence: a stream has a backup; its caller leaves.
    Cause: the engine that keeps the backup would hold it for seconds.
    """
    _, [(session, caller, _)] = streams(harness, 1)
    session.memory.keep_copy(HeldCopy(make_entry("e2"), make_entry("e2"), "r0", backup=True))
    caller.open = False
    session.cancel()
    assert calls.targets() == ["/free/r0"]


def test_a_backup_of_a_run_that_ended_well_is_left_to_its_engine(harness, calls):
    _, [(session, _, side)] = streams(harness, 1)
    session.memory.keep_copy(HeldCopy(make_entry("e2"), make_entry("e2"), "r0", backup=True))
    side.end()
    assert calls.made == []


def test_a_move_answer_counts_only_with_a_handle():
    assert MoveResponse(200, "h").copied
    assert not MoveResponse(200, None).copied
    assert not MoveResponse(503, "h").copied


def start_again(harness, evacuator, name, former_start=1000):
    """The endpoint ``name`` crashes and is back under its id; the registry hears of it."""
    harness.registry.on_restarted = evacuator.endpoint_restarted
    harness.registry.observe(make_entry(name, revision=9, started_ms=former_start + 500))


@pytest.fixture
def dated(harness):
    """The endpoint ``leaver`` tells when it started."""
    harness.registry.observe(make_entry("leaver", revision=1, started_ms=1000))
    return harness


def test_a_stream_on_an_engine_that_started_again_goes_on_from_its_copy(dated, clock, calls):
    """
    Symptom: a stream stands still until its caller leaves.
    Sequence: its engine crashes without resetting connections and starts again under its id.
    Cause: the stream is lost there; its copy is on another engine.
    """
    _, found = streams(dated, 1)
    session, _, side = found[0]
    dated.set_endpoint("e1")
    session.memory.keep_copy(HeldCopy(make_entry("e1"), session.leg.entry, "h0"))
    start_again(dated, Evacuator(dated.context, dated.sessions), "leaver")
    clock.advance(0.5)
    assert side.abandoned
    assert dated.pool.to("e1")[-1].headers[b"resume"] == b"h0 30"


def test_a_stream_that_began_on_the_new_process_stays(dated, clock, calls):
    """
    Symptom: a stream that runs well is moved or cut.
    Sequence: an engine starts again; a stream begins there before the news of it arrives.
    Cause: the stream was sent by the former entry, which has the same id and address.
    """
    _, found = streams(dated, 1)
    session, caller, side = found[0]
    start_again(dated, Evacuator(dated.context, dated.sessions), "leaver")
    clock.advance(0.2)
    side.body_bytes(encode_event(31))
    clock.advance(1)
    assert not side.abandoned and not caller.was_cut


def test_without_a_copy_such_a_stream_is_cut(dated, clock, calls):
    _, found = streams(dated, 1)
    _, caller, side = found[0]
    start_again(dated, Evacuator(dated.context, dated.sessions), "leaver")
    clock.advance(0.5)
    assert side.abandoned and caller.was_cut


def test_copies_on_an_engine_that_started_again_are_forgotten(dated, clock, calls):
    """
    Symptom: a stream is sent to go on from a copy that is not there, and pauses.
    Sequence: the engine that holds its copy starts again under its id; then its own engine leaves.
    Cause: a process that starts holds nothing of before.
    """
    _, found = streams(dated, 1)
    session = found[0][0]
    dated.registry.observe(make_entry("e1", revision=2, started_ms=1000))
    session.memory.keep_copy(HeldCopy(make_entry("e1"), session.leg.entry, "h0"))
    start_again(dated, Evacuator(dated.context, dated.sessions), "e1")
    assert session.memory.copy is None


def test_a_copy_that_arrived_at_the_process_before_is_not_used(dated, clock, calls):
    """
    Symptom: a stream whose copy succeeded is cut.
    Sequence: a copy to an engine is under way as that engine starts again; the call's answer says
    that the copy is there.
    Cause: it was there, at the former process.
    """
    sessions, found = streams(dated, 1)
    session = found[0][0]
    evacuator = Evacuator(dated.context, sessions)
    dated.registry.observe(make_entry("e1", revision=2, started_ms=1000))
    leaver = make_entry("leaver", state=EndpointState.DRAINING, revision=3, started_ms=1000)
    dated.registry.observe(leaver)
    evacuator.endpoint_leaving(leaver)
    assert calls.targets() == ["/copy"]
    start_again(dated, evacuator, "e1")
    calls.answer(0, 200, "h0")
    assert session.memory.copy is None
