"""Fixture that starts processes and requires each to stop gracefully at the end of the test."""

import pytest

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
