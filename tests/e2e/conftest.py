"""Processes of one test: each is stopped at its end, and must stop gracefully."""

import pytest

from tests.e2e.processes import Daemon


@pytest.fixture
def start():
    """Start ``guavacleat`` with the given arguments; returns the :class:`Daemon`."""
    started = []

    def start_one(*args):
        daemon = Daemon(*args)
        started.append(daemon)
        return daemon

    yield start_one
    codes = [daemon.stop() for daemon in reversed(started) if not daemon.killed]
    assert codes == [0] * len(codes), "a planned stop must be graceful"
