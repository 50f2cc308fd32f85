"""Answers of the object API that stop in the middle, as treq meets them."""

import pytest
from treq.client import HTTPClient
from twisted.internet.endpoints import TCP4ClientEndpoint
from twisted.web.client import Agent

from guavacleat.platform.objects import PlatformDialect
from guavacleat.store import StoreClient, StoreUnavailableError
from guavacleat.store.client import CALL_TIMEOUT
from guavacleat.treq_http import TreqHttp
from tests.conftest import result_of
from tests.ingress.slow_link import LinkReactor
from tests.platform.store_standin import StoreStandin

BYTES_PER_SECOND = 625_000
LARGE = {"text": "x" * 5 * BYTES_PER_SECOND}


class Endpoints:
    """Connects through the link, whatever the address."""

    def __init__(self, reactor):
        self.reactor = reactor

    def endpointForURI(self, uri):  # noqa: N802 - Twisted's name
        return TCP4ClientEndpoint(self.reactor, "store", 80)


@pytest.fixture
def link():
    return LinkReactor(StoreStandin(), BYTES_PER_SECOND)


@pytest.fixture
def client(link):
    agent = Agent.usingEndpointFactory(link, Endpoints(link))
    http = TreqHttp(link, HTTPClient(agent))
    return StoreClient("http://store", http=http, dialect=PlatformDialect())


def test_an_answer_that_takes_long_but_arrives_is_waited_for(client, link):
    """
    Symptom: a large object is never read over a thin link.
    Sequence: its answer takes longer than a call's time-out; bytes arrive all the while.
    Cause: a call's time must not end while its answer arrives.
    """
    link.store.write("config", "main", LARGE)
    found = client.get("config", "main")
    link.run(CALL_TIMEOUT + 1)
    assert result_of(found).value == LARGE


def test_an_answer_that_stops_in_the_middle_is_given_up(client, link):
    """
    Symptom: a gateway hears of no change any more, without a line in its log, until it is started
    again.
    Sequence: the store is cut off in the middle of an answer; no byte and no close ever comes.
    Cause: treq's time-out ends with the answer's head, and nothing bounded the wait for its body.
    """
    link.store.write("config", "main", LARGE)
    link.stall_after_bytes = 100_000
    found = client.get("config", "main")
    link.run(2 * CALL_TIMEOUT)
    with pytest.raises(StoreUnavailableError, match="99[0-9]{3} bytes"):
        result_of(found)
