"""Pauses between endpoint watches, by the number of gateways."""

import pytest
from twisted.internet.task import Clock

from guavacleat.ingress.sources import (
    MAX_GATEWAYS_WITHOUT_PAUSE,
    MAX_WATCH_PAUSE_SECONDS,
    StoreSource,
)
from guavacleat.platform.adapter import PlatformAdapter
from guavacleat.platform.settings import parse_process_settings
from tests.platform.test_settings import SETTINGS_TEXT


@pytest.fixture
def source():
    return StoreSource(Clock(), parse_process_settings(SETTINGS_TEXT), PlatformAdapter())


def test_few_gateways_watch_without_a_pause(source, monkeypatch):
    monkeypatch.setattr(source, "gateway_count", lambda: MAX_GATEWAYS_WITHOUT_PAUSE)
    assert {source._endpoint_watch_pause() for _ in range(50)} == {0.0}


def test_many_gateways_pause_at_random(source, monkeypatch):
    """Without pauses, each change of an endpoint would cause a store call by every gateway."""
    monkeypatch.setattr(source, "gateway_count", lambda: 28)
    pauses = [source._endpoint_watch_pause() for _ in range(200)]
    assert max(pauses) <= MAX_WATCH_PAUSE_SECONDS
    assert min(pauses) < 0.1 < 0.4 < max(pauses)
