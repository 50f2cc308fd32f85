"""How often the store is asked for changes, by the number of gateways that share the news."""

import pytest
from twisted.internet.task import Clock

from guavacleat.ingress.sources import FEW_GATEWAYS, SHARED_PAUSE_SECONDS, StoreSource
from guavacleat.platform.adapter import PlatformAdapter
from guavacleat.platform.settings import parse_process_settings
from tests.platform.test_settings import TEXT


@pytest.fixture
def source():
    return StoreSource(Clock(), parse_process_settings(TEXT), PlatformAdapter())


def test_few_gateways_listen_without_a_pause(source, monkeypatch):
    monkeypatch.setattr(source, "gateway_count", lambda: FEW_GATEWAYS)
    assert {source._pause() for _ in range(50)} == {0.0}


def test_many_gateways_pause_in_turn(source, monkeypatch):
    """
    Symptom: calls to the store are the largest price of a deployment of 28 gateways.
    Sequence: each change of an endpoint wakes a watch of every gateway, which asks again at once.
    Cause: all listen at once, although each tells the others what it hears.
    """
    monkeypatch.setattr(source, "gateway_count", lambda: 28)
    pauses = [source._pause() for _ in range(200)]
    assert max(pauses) <= SHARED_PAUSE_SECONDS
    assert min(pauses) < 0.1 < 0.4 < max(pauses)
