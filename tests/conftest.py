"""Shared fixtures: a paused clock, a stand-in store and an in-memory HTTP client for it."""

import pytest
from treq.testing import StubTreq
from twisted.internet.task import Clock

from guavacleat.standin.store import StoreApp, StoreState
from guavacleat.store import StoreClient


@pytest.fixture
def clock():
    return Clock()


@pytest.fixture
def store_app(clock):
    return StoreApp(StoreState(clock))


@pytest.fixture
def stub_http(store_app):
    return StubTreq(store_app.resource())


@pytest.fixture
def store(stub_http):
    return StoreClient("http://store", http=stub_http)


def result_of(deferred, flush=None):
    """Return a Deferred's result, or raise its failure; ``flush`` is called first if given."""
    if flush is not None:
        flush()
    outcome = []
    deferred.addBoth(outcome.append)
    assert outcome, "the Deferred has not fired"
    if hasattr(outcome[0], "raiseException"):
        outcome[0].raiseException()
    return outcome[0]
