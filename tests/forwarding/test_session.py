"""Streams: each event once, in order, from one generation, on whatever endpoints it runs."""

import itertools

import pytest
from hypothesis import given
from hypothesis import strategies as st
from twisted.internet import defer
from twisted.internet.task import Clock

from guavacleat.forwarding.events import EventSplitter
from guavacleat.forwarding.handover import HOLD_SECONDS, OVERLAP_SECONDS
from guavacleat.forwarding.memory import HeldCopy
from guavacleat.forwarding.refusals import RefusalReason
from guavacleat.forwarding.session import StreamSession
from guavacleat.routes import EngineTraits, RequestKind
from tests.forwarding.harness import ForwardingHarness, encode_event, make_entry


@pytest.fixture
def harness(clock):
    return ForwardingHarness(clock)


def start(harness, **metadata):
    """Begin a stream; return its session, its caller and what it was refused with."""
    request, caller = harness.request(kind=RequestKind.STREAM, timeout=39.0, **metadata)
    refusals = []
    session = StreamSession(request, harness.context, set())
    done = defer.Deferred.fromCoroutine(session.run())
    done.addErrback(lambda failure: refusals.append(failure.value))
    return session, caller, refusals


def running(harness, events=3):
    """A stream with some events out, and its endpoint's side."""
    session, caller, refusals = start(harness)
    side = harness.pool.connections[0]
    side.begin()
    side.body_bytes(b"".join(encode_event(id) for id in range(1, events + 1)))
    return session, caller, side


def test_events_pass_as_they_come_and_the_end_is_told(harness):
    _, caller, side = running(harness)
    assert caller.data == encode_event(1) + encode_event(2) + encode_event(3)
    assert not caller.complete
    side.end()
    assert caller.complete


def test_a_stream_goes_on_from_a_copy_without_gap_or_repeat(harness):
    """
    Symptom: an agent reads a sentence twice, or misses one.
    Sequence: the engine dies inside an event; a copy of the run is held elsewhere; the engine
    there repeats an event that the caller already has.
    Cause: only whole events are passed on, and each id once.
    """
    session, caller, side = running(harness)
    session.memory.keep_copy(HeldCopy(make_entry("e2"), make_entry("e2"), "h1"))
    side.body_bytes(encode_event(4)[:7])
    side.break_off()
    second = harness.pool.connections[1]
    assert second.headers[b"resume"] == b"h1 3"
    second.begin()
    second.body_bytes(encode_event(3) + encode_event(4) + encode_event(5))
    second.end()
    assert caller.data == b"".join(map(encode_event, range(1, 6)))
    assert caller.complete


def test_a_missing_event_ends_the_stream(harness):
    """
    Symptom: pieces of an answer are missing although it ended as complete.
    Sequence: after a takeover the engine goes on later than asked.
    Cause: an id that skips one must stop the stream, not pass.
    """
    _, caller, side = running(harness)
    side.body_bytes(encode_event(5))
    assert caller.was_cut and not caller.complete
    assert encode_event(5) not in caller.data


def test_a_stream_without_copy_is_cut_when_its_engine_dies(harness):
    _, caller, side = running(harness)
    side.break_off()
    assert caller.was_cut and not caller.complete
    assert len(harness.pool.connections) == 1


def test_half_an_event_at_the_end_is_not_complete(harness):
    _, caller, side = running(harness)
    side.body_bytes(b"id: 4\ndata: half")
    side.end()
    assert caller.was_cut and not caller.complete


def test_a_stream_that_no_engine_began_goes_to_another(harness):
    _, caller, _ = start(harness)
    harness.pool.connections[0].answer(503, signed=False, not_run=True, id=None)
    second = harness.pool.connections[1]
    second.begin()
    second.body_bytes(encode_event(1))
    second.end()
    assert caller.data == encode_event(1) and caller.complete


def test_a_stream_may_run_once_only_even_before_its_first_event(harness):
    """
    Symptom: an engine generates an answer that another engine generates too.
    Sequence: the engine takes the request; its connection breaks before the first event.
    Cause: it may have begun to run; without a copy there is nothing to go on from.
    """
    _, _, refusals = start(harness)
    harness.pool.connections[0].break_off()
    assert len(harness.pool.connections) == 1
    assert refusals[0].reason is RefusalReason.BROKEN


def test_refused_everywhere_is_not_run_and_says_when_to_come_back(harness):
    _, _, refusals = start(harness)
    for index in range(3):
        harness.pool.connections[index].answer(503, signed=False, not_run=True, id=None)
    assert refusals[0].reason is RefusalReason.NO_ROOM
    assert refusals[0].retry_after > 0


def test_an_engines_own_failure_is_passed_on_unchanged(harness):
    _, caller, _ = start(harness)
    harness.pool.connections[0].answer(500, body=b"sorry")
    assert (caller.head[0], caller.data, caller.complete) == (500, b"sorry", True)


def test_the_engine_stops_when_the_caller_leaves(harness):
    session, caller, side = running(harness)
    caller.open = False
    session.cancel()
    assert side.abandoned
    assert harness.load.runs_by_endpoint == {}


def test_a_stream_past_its_time_is_cut(harness):
    _, caller, side = running(harness)
    harness.clock.advance(39.0)
    assert side.abandoned and caller.was_cut


def test_before_its_first_event_an_expired_stream_gets_a_final_answer(harness):
    _, caller, _ = start(harness)
    harness.clock.advance(39.0)
    assert caller.head[0] == 504 and caller.complete


def test_a_copy_that_the_engine_no_longer_has_ends_the_stream(harness):
    session, caller, side = running(harness)
    session.memory.keep_copy(HeldCopy(make_entry("e2"), make_entry("e2"), "h1"))
    side.break_off()
    harness.pool.connections[1].answer(503, signed=False, not_run=True, id=None)
    assert caller.was_cut and not caller.complete


def test_a_refused_takeover_ends_the_stream_and_asks_nobody_else(clock):
    """
    Symptom: a cut stream's request arrives at a third engine, and at one that had just crashed.
    Sequence: a stream's engine crashes before its backup has arrived; the keeper refuses; with
    that request a new backup had been asked for, on the engine that had just crashed.
    Cause: a backup exists only once a run does, and a broken engine keeps none.
    """
    engine = EngineTraits(24, 30000, 163840, 24000.0, 4, moves=True, backups=True)
    harness = ForwardingHarness(clock, engine=engine)
    _, caller, _ = start(harness, max_output_tokens=2000)
    first = harness.pool.connections[0]
    keeper = first.headers[b"copy-to"].decode()
    first.begin()
    first.body_bytes(encode_event(1))
    first.break_off()
    second = harness.pool.connections[1]
    assert second.address[0] == keeper
    assert second.headers[b"copy-to"].decode() not in (keeper, first.address[0])
    second.answer(503, signed=False, not_run=True, id=None)
    assert len(harness.pool.connections) == 2
    assert caller.was_cut and not caller.complete
    assert harness.load.runs_by_endpoint == {}


def test_memory_is_counted_where_the_run_and_its_copy_are(harness):
    session, _, side = running(harness)
    session.memory.keep_copy(HeldCopy(make_entry("e3"), make_entry("e3"), "h1"))
    assert harness.load.total("e3").peak_tokens == session.memory.expected_tokens()
    side.end()
    assert harness.load.runs_by_endpoint == {}


def test_a_run_that_outgrows_its_estimate_counts_with_what_it_holds(harness):
    """
    Symptom: first tokens come five seconds late on an engine that seems to have room.
    Sequence: callers' estimates are too low; the runs go on; new ones are placed beside them.
    Cause: the runs were counted with their estimates, not with the memory that they hold.
    """
    session, _, _ = start(harness, max_output_tokens=2000, expected_output_tokens=8.0)
    side = harness.pool.connections[0]
    side.begin()
    side.body_bytes(b"".join(encode_event(id) for id in range(1, 101)))
    assert session.memory.tokens == 1400
    assert harness.load.total(side.address[0]).peak_tokens > 1400


def handing_over(harness, events=3):
    """A stream that is being handed over to ``e2``; both engines' sides."""
    session, caller, side = running(harness, events)
    session.memory.keep_copy(HeldCopy(make_entry("e2"), make_entry("e2"), "h1"))
    done = defer.Deferred.fromCoroutine(session.hand_over())
    side.body_bytes(encode_event(events + 1))
    return session, caller, side, harness.pool.connections[1], done


def test_a_handover_leaves_the_present_engine_at_the_first_event_of_the_other(harness):
    session, caller, side, second, done = handing_over(harness)
    assert second.headers[b"resume"] == b"h1 4" and side.open
    second.begin()
    second.body_bytes(encode_event(5))
    assert not side.open and session.leg.entry.id == "e2"
    second.body_bytes(encode_event(6))
    second.end()
    assert caller.complete and caller.data == b"".join(map(encode_event, range(1, 7)))
    assert done.result is True
    assert harness.load.runs_by_endpoint == {}


def test_events_of_the_present_engine_come_late_meanwhile_and_never_twice(harness):
    """
    Symptom: a pause of 0.25 s at a handover though the other engine answers in 0.1 s.
    Sequence: the present engine goes on for some events, which its caller gets at once; the other
    engine begins before them.
    Cause: it generates them anew before the next one; passed on a little later, they fill the
    pause, and none may be passed on twice.
    """
    _, caller, side, second, _ = handing_over(harness)
    side.body_bytes(encode_event(5))
    harness.clock.advance(HOLD_SECONDS)
    assert caller.data.endswith(encode_event(5))
    side.body_bytes(encode_event(6))
    second.begin()
    second.body_bytes(encode_event(5) + encode_event(6) + encode_event(7))
    harness.clock.advance(HOLD_SECONDS)
    assert caller.data == b"".join(map(encode_event, range(1, 8)))


def test_a_stream_that_ends_during_its_handover_is_whole(harness):
    """
    Symptom: a stream ends as complete without its last events.
    Sequence: the present engine sends the last events and ends while the other one is asked.
    Cause: events that are passed on later must go out before the end.
    """
    _, caller, side, second, done = handing_over(harness)
    side.body_bytes(encode_event(5) + encode_event(6))
    side.end()
    assert caller.complete and caller.data == b"".join(map(encode_event, range(1, 7)))
    assert second.abandoned and done.result is False


def test_an_engine_that_goes_during_the_handover_loses_nothing(harness):
    _, caller, side, second, done = handing_over(harness)
    side.body_bytes(encode_event(5))
    side.break_off()
    second.begin()
    second.body_bytes(encode_event(5) + encode_event(6))
    second.end()
    assert caller.complete and caller.data == b"".join(map(encode_event, range(1, 7)))
    assert done.result is True


def test_a_refused_handover_keeps_the_stream_where_it_is(harness):
    session, caller, side, second, done = handing_over(harness)
    side.body_bytes(encode_event(5))
    second.answer(503, signed=False, not_run=True, id=None)
    assert done.result is False
    side.body_bytes(encode_event(6))
    side.end()
    assert caller.complete and caller.data == b"".join(map(encode_event, range(1, 7)))
    assert harness.load.runs_by_endpoint == {}


def test_a_run_is_not_worked_on_twice_for_long(harness):
    """
    Symptom: a generation runs on two engines for half a second.
    Sequence: the other engine is slow to send its first event.
    Cause: only the time since it was asked tells that it works; the present one is left then.
    """
    _, caller, side, second, _ = handing_over(harness)
    harness.clock.advance(OVERLAP_SECONDS)
    assert not side.open and second.open and caller.open
    second.begin()
    second.body_bytes(encode_event(5))
    second.end()
    assert caller.complete


def test_a_caller_that_leaves_during_a_handover_stops_both_engines(harness):
    session, _, side, second, _ = handing_over(harness)
    session.cancel()
    assert side.abandoned and second.abandoned
    assert harness.load.runs_by_endpoint == {}


@given(st.lists(st.sampled_from(["present", "other", "wait", "break", "refuse"]), max_size=30))
def test_whatever_happens_in_a_handover_events_come_once_and_in_order(steps):
    harness = ForwardingHarness(Clock())
    session, caller, side, second, _ = handing_over(harness)
    present, other = itertools.count(5), itertools.count(5)
    second.begin()
    for step in steps:
        if step == "present" and side.open:
            side.body_bytes(encode_event(next(present)))
        elif step == "other" and second.open:
            second.body_bytes(encode_event(next(other)))
        elif step == "wait":
            harness.clock.advance(0.05)
        elif step == "break":
            side.break_off()
        elif step == "refuse":
            second.break_off()
    harness.clock.advance(1.0)
    whole = b"".join(map(encode_event, range(1, 100)))
    assert whole.startswith(caller.data)
    assert not caller.complete
    session.cancel()


@given(st.lists(st.integers(1, 9), min_size=1), st.data())
def test_splitting_keeps_every_byte_of_whole_events(ids, data):
    """Events come out whole and unchanged, however the bytes are cut."""
    stream = b"".join(map(encode_event, ids))
    splitter, out = EventSplitter(), []
    while stream:
        cut = data.draw(st.integers(1, len(stream)))
        out += splitter.feed(stream[:cut])
        stream = stream[cut:]
    assert [found.id for found in out] == ids
    assert b"".join(found.data for found in out) == b"".join(map(encode_event, ids))


@given(st.lists(st.sampled_from(["event", "break", "end"]), max_size=25), st.data())
def test_whatever_engines_do_the_caller_gets_a_prefix_and_no_false_end(steps, data):
    """
    Symptom: an answer with a hole, a repeat or a false end.
    Sequence: any mix of events (also repeated or skipped ids), breaks with a copy, and ends.
    Cause: the caller's events must be 1, 2, 3 ... and complete only if an engine ended the stream.
    """
    harness = ForwardingHarness(Clock())
    session, caller, side = running(harness, events=1)
    ended = False
    for step in steps:
        side = harness.pool.connections[-1]
        if side.listener is None:
            break
        if step == "event":
            next_id = (session.last_event or 0) + data.draw(st.integers(-1, 2))
            side.body_bytes(encode_event(max(1, next_id)))
        elif step == "break":
            session.memory.keep_copy(HeldCopy(make_entry("e2"), make_entry("e2"), "h"))
            side.break_off()
            if harness.pool.connections[-1] is not side:
                harness.pool.connections[-1].begin()
        else:
            side.end()
            ended = True
    ids = [found.id for found in EventSplitter().feed(caller.data)]
    assert ids == list(range(1, len(ids) + 1))
    assert caller.complete == ended
