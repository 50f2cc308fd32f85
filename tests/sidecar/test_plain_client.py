"""Calls to plain services through a sidecar, and their failures."""

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


def test_answer_is_one_batch_and_can_be_read_again(clock, store, service):
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


def test_refused_connection_is_reported_as_not_run(clock, store):
    """Guards against reporting an unknown outcome when the service refused the connection."""
    handler = SidecarHandler("e1", PlainClient("http://s", http=RefusingHttp()), store, clock)
    with pytest.raises(NotRun):
        result_of(handler.start(CALL))


def test_lost_response_is_not_reported_as_not_run(clock, store, service):
    """Guards against a NotRun for a call whose response was lost after it had run."""
    http = StubTreq(service.resource())
    handler = SidecarHandler("e1", PlainClient("http://service", http=http), store, clock)
    service.lose_answers = 1
    starting = handler.start(CALL)
    clock.advance(0.02)
    with pytest.raises(Exception) as caught:
        result_of(starting, http.flush)
    assert not isinstance(caught.value, NotRun) and service.runs_by_body["connect 022"] == 1
