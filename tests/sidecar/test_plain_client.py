"""Contract of plain services behind a sidecar, with their faults in a table."""

import pytest
from treq.testing import StubTreq
from twisted.internet import defer
from twisted.internet.error import ConnectionRefusedError

from guavacleat.protocol.gen.sidecar.ttypes import NotRun, StartRequest
from guavacleat.sidecar.handler import SidecarHandler
from guavacleat.sidecar.plain_client import PlainClient
from guavacleat.standin.services import ServiceApp
from tests.conftest import result_of

CALL = StartRequest("r1", "switchboard", "acc", 0, "connect 022", 5, [])


class RefusingHttp:
    def request(self, *args, **kwargs):
        return defer.fail(ConnectionRefusedError())


@pytest.fixture
def service(clock):
    return ServiceApp(clock, work_seconds=0.02)


def test_call_is_answered_whole_and_its_answer_can_be_read_again(clock, store, service):
    http = StubTreq(service.resource())
    handler = SidecarHandler("e1", PlainClient("http://service", http=http), store, clock)
    starting = handler.start(CALL)
    clock.advance(0.02)
    reply = result_of(starting, http.flush)
    for _ in range(2):
        batch = result_of(handler.pull(reply.stream_id, 0, 1000))
        assert (batch.tokens, batch.finished) == (["done: connect 022"], True)
        assert batch.generation == reply.generation
    assert service.runs_by_body == {"connect 022": 1}


def test_unreachable_service_is_not_run(clock, store):
    """
    Symptom: a connection record that never ran is reported as perhaps run.
    Sequence: the service's process is down; the connection is refused.
    Cause: only a refused connection proves that the service read nothing.
    """
    handler = SidecarHandler("e1", PlainClient("http://s", http=RefusingHttp()), store, clock)
    with pytest.raises(NotRun):
        result_of(handler.start(CALL))


def test_lost_answer_is_not_reported_as_not_run(clock, store, service):
    """
    Symptom: a call is made again by a caller who was told it did not run.
    Sequence: the service runs the call and its answer is lost.
    Cause: a lost answer says nothing about whether the call ran.
    """
    http = StubTreq(service.resource())
    handler = SidecarHandler("e1", PlainClient("http://service", http=http), store, clock)
    service.lose_answers = 1
    starting = handler.start(CALL)
    clock.advance(0.02)
    with pytest.raises(Exception) as caught:
        result_of(starting, http.flush)
    assert not isinstance(caught.value, NotRun) and service.runs_by_body["connect 022"] == 1
