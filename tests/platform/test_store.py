"""Contract of the platform's store as the product's client and watch loop meet it."""

import itertools

import pytest
from twisted.internet import defer

from guavacleat.platform.objects import PlatformDialect
from guavacleat.store import ConflictError, StoreClient, StoreUnavailableError
from guavacleat.store.client import CALL_TIMEOUT_SECONDS, WATCH_WAIT_SECONDS
from guavacleat.store.messages import MUST_NOT_EXIST
from guavacleat.store.watch import (
    BACKOFF_MAX_SECONDS,
    MIN_WAIT_FRACTION,
    RECOVERY_WAIT_SECONDS,
    WatchLoop,
)
from tests.conftest import result_of
from tests.platform.store_standin import PAGE, StoreStandin


@pytest.fixture
def standin(clock):
    return StoreStandin(clock)


@pytest.fixture
def client(standin):
    return StoreClient("http://store", http=standin, dialect=PlatformDialect())


class Follower:
    """A watch loop with what it heard."""

    def __init__(self, clock, client, kind="servers"):
        self.names = {}
        self.deleted = []
        self.listings = []
        self.health = []
        self.loop = WatchLoop(
            clock,
            client,
            kind,
            self._hear,
            on_health=self.health.append,
            on_listed=self.listings.append,
        )
        self.loop.start()
        clock.advance(0)

    def _hear(self, stored):
        if stored.deleted:
            self.deleted.append(stored.name)
        else:
            self.names[stored.name] = stored.value


def test_created_and_replaced_conditionally(client):
    created = result_of(client.put("gateways", "g1", {"a": 1}, MUST_NOT_EXIST))
    replaced = result_of(client.put("gateways", "g1", {"a": 2}, created.version))
    assert replaced.value == {"a": 2} and replaced.version > created.version
    assert result_of(client.get("gateways", "g1")).value == {"a": 2}
    assert result_of(client.get("gateways", "none")) is None


def test_a_lost_race_names_the_version_to_build_on(client, standin):
    result_of(client.put("gateways", "g1", {"a": 1}, MUST_NOT_EXIST))
    standin.write("gateways", "g1", {"a": 2})
    for expected in (MUST_NOT_EXIST, 1):
        with pytest.raises(ConflictError) as caught:
            result_of(client.put("gateways", "g1", {"a": 3}, expected))
        assert caught.value.current_version == 2


FAULTS = [("busy", False), ("down", False), ("silent", False), ("lost", True), ("garbled", False)]


@pytest.mark.parametrize("fault,took_effect", FAULTS)
def test_every_fault_is_no_answer(client, standin, fault, took_effect):
    standin.fault = fault
    with pytest.raises(StoreUnavailableError):
        result_of(client.put("gateways", "g1", {"a": 1}, MUST_NOT_EXIST))
    assert (("gateways", "g1") in standin.objects) is took_effect


def test_a_slow_store_is_waited_for_as_long_as_a_call_may_take(client, standin, clock):
    standin.fault, standin.delay = "slow", 0.9 * CALL_TIMEOUT_SECONDS
    written = client.put("gateways", "g1", {"a": 1}, MUST_NOT_EXIST)
    clock.advance(standin.delay)
    assert result_of(written).value == {"a": 1}


def test_a_call_that_a_slow_store_answers_too_late_may_have_been_done(client, standin, clock):
    """
    Symptom: a gateway registers twice, or believes that it is not registered.
    Sequence: the store does a write and answers after the caller has given up.
    Cause: no answer says nothing of whether the write was done; the next one must be conditional.
    """
    standin.fault, standin.delay = "slow", 2 * CALL_TIMEOUT_SECONDS
    written = client.put("gateways", "g1", {"a": 1}, MUST_NOT_EXIST)
    clock.advance(2 * CALL_TIMEOUT_SECONDS)
    with pytest.raises(StoreUnavailableError):
        result_of(written)
    standin.fault = None
    with pytest.raises(ConflictError):
        result_of(client.put("gateways", "g1", {"a": 1}, MUST_NOT_EXIST))


def test_the_loop_follows_a_slow_store(client, standin, clock):
    standin.fault, standin.delay = "slow", 0.5 * CALL_TIMEOUT_SECONDS
    standin.write("servers", "e1", {"state": "ready"})
    follower = Follower(clock, client)
    for _ in range(4):
        clock.advance(standin.delay)
    standin.write("servers", "e1", {"state": "draining"})
    for _ in range(4):
        clock.advance(standin.delay)
    assert follower.names == {"e1": {"state": "draining"}}
    assert False not in follower.health


def test_a_listing_reads_every_page(client, standin):
    names = [f"e{number}" for number in range(2 * PAGE + 1)]
    for name in names:
        standin.write("servers", name, {})
    batch = result_of(client.list_objects("servers"))
    assert [stored.name for stored in batch.objects] == names


def test_a_long_listing_goes_on_where_it_was_refused(client, standin, clock):
    """
    Symptom: hundreds of gateways that start together before thousands of endpoints take none for
    half a minute.
    Sequence: all list at once; the store refuses what is beyond its rate, some page of each one.
    Cause: a listing of many pages that begins anew after each refusal hardly ever ends.
    """
    names = [f"e{number:02}" for number in range(4 * PAGE)]
    for name in names:
        standin.write("servers", name, {})
    answer = standin.request
    tries = itertools.count()

    def every_other_refused(*args, **kwargs):
        standin.fault = "busy" if next(tries) % 2 else None
        return answer(*args, **kwargs)

    standin.request = every_other_refused
    follower = Follower(clock, client)
    for _ in range(10):
        clock.advance(BACKOFF_MAX_SECONDS)
    assert sorted(follower.names) == names
    assert follower.listings == [set(names)]


def test_a_change_between_two_pages_is_not_missed(client, standin, clock):
    """
    Symptom: an endpoint that registered while a gateway started gets no work.
    Sequence: a listing takes two pages; an object before the second page's start is written
    between them.
    Cause: the watch must go on from the first page's revision.
    """
    for number in range(PAGE + 1):
        standin.write("servers", f"e{number}", {})
    answer = standin.request
    pages = []

    def between_pages(method, url, data=None, timeout=None):
        if "after=" in url and not pages:
            pages.append(url)
            standin.write("servers", "a-early", {})
        return answer(method, url, data, timeout)

    standin.request = between_pages
    follower = Follower(clock, client)
    clock.advance(0)
    clock.advance(0)
    assert "a-early" in follower.names


def test_changes_and_deletions_are_heard(client, standin, clock):
    standin.write("servers", "e1", {"state": "ready"})
    follower = Follower(clock, client)
    clock.advance(0)
    standin.write("servers", "e1", {"state": "draining"})
    clock.advance(0)
    standin.delete("servers", "e1")
    clock.advance(0)
    assert follower.names == {"e1": {"state": "draining"}}
    assert follower.deleted == ["e1"]


def test_a_forgotten_history_leads_to_a_listing(client, standin, clock):
    """
    Symptom: a deleted endpoint gets work for ever.
    Sequence: the watch breaks; the endpoint is deleted; the store forgets that it was.
    Cause: only a listing shows what is no more.
    """
    standin.write("servers", "e1", {})
    standin.write("servers", "e2", {})
    follower = Follower(clock, client)
    clock.advance(0)
    _, _, waiter = standin.waiting.pop()
    standin.delete("servers", "e1")
    standin.forget()
    waiter.errback(ConnectionError())
    for _ in range(4):
        clock.advance(1)
    assert follower.listings[-1] == {"e2"}


@pytest.mark.parametrize("fault", ["busy", "down", "silent", "garbled"])
def test_the_loop_outlives_any_fault_and_tells_it(client, standin, clock, fault):
    standin.fault = fault
    follower = Follower(clock, client)
    clock.advance(1)
    standin.fault = None
    standin.write("servers", "e1", {})
    for _ in range(5):
        clock.advance(1)
    assert follower.health[0] is False and follower.health[-1] is True
    assert follower.names == {"e1": {}}


def test_after_a_failure_the_loop_asks_with_short_waits_until_it_is_answered(
    client, standin, clock
):
    """
    Symptom: a configuration is not in force two seconds after the store took it.
    Sequence: the store is silent for eight seconds; a watch is sent just before its return and
    swallowed; it is given up only after its whole wait.
    Cause: while the store does not answer, a long wait only delays the notice of its return.
    """
    standin.write("servers", "e1", {})
    Follower(clock, client)
    clock.advance(0)
    standin.fault = "silent"
    standin.waiting.pop()[2].errback(ConnectionError())
    clock.advance(1)
    standin.fault = None
    clock.advance(1)
    waits = [int(url.rpartition("waitMs=")[2]) for _, url in standin.calls if "waitMs=" in url]
    assert (
        MIN_WAIT_FRACTION * WATCH_WAIT_SECONDS * 1000 - 1 <= waits[0] <= WATCH_WAIT_SECONDS * 1000
    )
    assert waits[1] == RECOVERY_WAIT_SECONDS * 1000
    standin.write("servers", "e2", {})
    clock.advance(0)
    last = int(standin.calls[-1][1].rpartition("waitMs=")[2])
    assert MIN_WAIT_FRACTION * WATCH_WAIT_SECONDS * 1000 - 1 <= last <= WATCH_WAIT_SECONDS * 1000


def test_an_answer_of_an_unknown_shape_does_not_end_the_loop(client, standin, clock):
    """
    Symptom: a gateway hears of no change any more, without a line in its log.
    Sequence: the store once answers a listing with JSON of another shape.
    Cause: the error ended the loop.
    """
    answer = standin.request
    standin.request = lambda *args, **kwargs: defer.succeed(standin._reply(200, {"odd": 1}))
    follower = Follower(clock, client)
    standin.request = answer
    standin.write("servers", "e1", {})
    for _ in range(3):
        clock.advance(1)
    assert follower.names == {"e1": {}}


@pytest.mark.parametrize("ending", ["breaks", "answers"])
def test_a_stopped_loop_tells_nothing_more(client, standin, clock, ending):
    """
    Symptom: the log says that the store was lost, after the line that the process has stopped.
    Sequence: a process stops while its watch waits; the call then breaks off, or is answered.
    Cause: what a call brought was told although the loop had been stopped.
    """
    standin.write("servers", "e1", {})
    follower = Follower(clock, client)
    clock.advance(0)
    told = list(follower.health)
    follower.loop.stop()
    if ending == "breaks":
        standin.waiting.pop()[2].errback(ConnectionError())
    else:
        standin.write("servers", "e2", {})
    clock.advance(5)
    assert follower.health == told and follower.names == {"e1": {}}


def test_objects_that_cannot_be_read_hide_no_others(clock, client, standin):
    """
    Symptom: a gateway hears of no endpoint that comes or leaves any more.
    Sequence: somebody writes an object whose form is not as described, or with bytes that are no
    text; every later watch brings it again.
    Cause: failing the whole answer for one object makes the loop ask for the same one for ever.
    """
    follower = Follower(clock, client)
    spoilt = {"object": {"metadata": {"name": "s0"}, "spec": {}}, "tombstone": False}
    standin.history.append((1, "servers", spoilt))
    standin.history.append((1, "servers", {"tombstone": False}))
    standin.write("servers", "s1", {"a": 1})
    assert follower.names == {"s1": {"a": 1}}
    assert follower.health[-1] is True


def test_bytes_that_are_no_text_spoil_only_what_holds_them(client, standin, monkeypatch):
    standin.write("servers", "s1", {"a": "BYTES"})
    standin.write("servers", "s2", {"a": 2})
    answer = standin.request

    def with_bytes(*args, **kwargs):
        return answer(*args, **kwargs).addCallback(_spoil)

    def _spoil(reply):
        reply.body = reply.body.replace(b"BYTES", b"\xff\xfe")
        return reply

    monkeypatch.setattr(standin, "request", with_bytes)
    listed = result_of(client.list_objects("servers")).objects
    assert [stored.name for stored in listed] == ["s1", "s2"]
    assert listed[1].value == {"a": 2}


def test_gateways_do_not_wait_in_step(clock, client, standin):
    """
    Symptom: no gateway notices for seconds that the store fell silent.
    Sequence: a change wakes all watches at once; all wait equally long for the next one.
    Cause: in step, their calls run out together, at the end of a whole wait.
    """
    Follower(clock, client)
    for number in range(20):
        standin.write("servers", "s1", {"a": number})
        clock.advance(0)
    waits = [int(url.rpartition("waitMs=")[2]) for _, url in standin.calls if "waitMs=" in url]
    assert len(set(waits)) > 10
    assert min(waits) >= MIN_WAIT_FRACTION * WATCH_WAIT_SECONDS * 1000 - 1
