"""Fixtures that start processes: those of the product's own interface, and an ingress."""

import pytest

from tests.e2e.ingress_process import Ingress
from tests.e2e.platform_standins import (
    EngineHandler,
    EngineState,
    Server,
    StoreHandler,
    StoreState,
    configuration,
)
from tests.e2e.processes import Daemon


@pytest.fixture
def start():
    """A function that runs ``guavacleat`` with its arguments and returns the :class:`Daemon`."""
    started = []

    def start_daemon(*args):
        daemon = Daemon(*args)
        started.append(daemon)
        return daemon

    yield start_daemon
    codes = [daemon.stop() for daemon in reversed(started) if not daemon.killed]
    assert codes == [0] * len(codes), "SIGTERM must stop a process gracefully"


@pytest.fixture
def engine_state():
    return EngineState()


@pytest.fixture
def store_state():
    return StoreState()


@pytest.fixture
def ingress(tmp_path, store_state, engine_state):
    store, engine = Server(StoreHandler, store_state), Server(EngineHandler, engine_state)
    store_state.write("config", "main", configuration())
    entry = {"service": "svc", "address": engine.address, "zone": "dc", "state": "ready"}
    store_state.write("servers", "i-1", entry)
    started = Ingress(tmp_path, store)
    yield started
    engine_state.release.set()
    started.process.kill()
    started.process.wait()
    store.close()
    engine.close()
