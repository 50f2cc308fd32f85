"""Responses of the object API that stall, read through treq."""

import pytest
from treq.client import HTTPClient
from twisted.internet.endpoints import TCP4ClientEndpoint
from twisted.web.client import Agent

from guavacleat.platform.objects import PlatformDialect
from guavacleat.store import StoreClient, StoreUnavailableError
from guavacleat.store.client import CALL_TIMEOUT_SECONDS
from guavacleat.treq_http import TreqHttp
from tests.conftest import result_of
from tests.ingress.slow_link import LinkReactor
from tests.platform.store_standin import StoreStandin

BYTES_PER_SECOND = 625_000
LARGE = {"text": "x" * 5 * BYTES_PER_SECOND}


class Endpoints:
    """An endpoint factory that connects through the link, whatever the address."""

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


def test_a_slow_response_is_read_to_its_end(client, link):
    """Guards against a call that times out while a large response is still arriving."""
    link.store.write("config", "main", LARGE)
    reading = client.get("config", "main")
    link.run(CALL_TIMEOUT_SECONDS + 1)
    assert result_of(reading).value == LARGE


def test_a_stalled_response_times_out(client, link):
    """Guards against waiting forever for the rest of a response.

    treq's timeout covers only the response headers.
    """
    link.store.write("config", "main", LARGE)
    link.stall_after_bytes = 100_000
    reading = client.get("config", "main")
    link.run(2 * CALL_TIMEOUT_SECONDS)
    with pytest.raises(StoreUnavailableError, match="99[0-9]{3} bytes"):
        result_of(reading)
