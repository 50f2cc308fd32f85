"""Detection of unreachable peers, among peers that are slow."""

import pytest
from twisted.internet.address import IPv4Address
from twisted.internet.testing import StringTransport

from guavacleat.http1.sockets import (
    POLL_SECONDS,
    UNREACHABLE_AFTER_SECONDS,
    SendState,
    UnreachablePeerDetector,
)

ADDRESS = IPv4Address("TCP", "10.1.0.1", 80)
# A poll at the start and one at the end.
DETECTED_AFTER_SECONDS = UNREACHABLE_AFTER_SECONDS + 2 * POLL_SECONDS
LONG_SECONDS = 10 * UNREACHABLE_AFTER_SECONDS


class Connection(StringTransport):
    """A transport whose send state is ``state``; None for a closed one."""

    def __init__(self, state):
        super().__init__(peerAddress=ADDRESS)
        self.state = state
        self.abortConnection = self.loseConnection


@pytest.fixture
def detector(clock):
    return UnreachablePeerDetector(clock, lambda transport: transport.state)


def pass_time(clock, seconds):
    for _ in range(round(seconds / POLL_SECONDS)):
        clock.advance(POLL_SECONDS)


def unacknowledged(silent_for=None, acknowledged_bytes=100):
    return SendState(True, True, acknowledged_bytes, silent_for)


def zero_window(unanswered, silent_for):
    """The peer has no room; ``unanswered`` tells whether it owes the answer to a probe."""
    return SendState(True, unanswered, 100, silent_for)


@pytest.mark.parametrize(
    "state", [unacknowledged(LONG_SECONDS), unacknowledged(), zero_window(True, LONG_SECONDS)]
)
def test_a_peer_that_acknowledges_nothing_is_unreachable(clock, detector, logged, state):
    """Guards against waiting for the kernel's limit, which is minutes."""
    connection = Connection(state)
    detector.data_sent(connection)
    pass_time(clock, UNREACHABLE_AFTER_SECONDS - POLL_SECONDS)
    assert not connection.disconnecting
    pass_time(clock, DETECTED_AFTER_SECONDS - UNREACHABLE_AFTER_SECONDS + POLL_SECONDS)
    assert connection.disconnecting and not clock.getDelayedCalls()
    assert [line["message_type"] for line in logged] == ["connection:unreachable"]


@pytest.mark.parametrize(
    "states",
    [
        # Probes are answered, and no other is due; an answer is due at times, or for long.
        [zero_window(False, 0.3), zero_window(False, LONG_SECONDS)],
        [zero_window(True, 0.3), zero_window(True, 0.8), zero_window(True, 1.3)],
        # Progress that only the number of bytes shows.
        [unacknowledged(None, 100), unacknowledged(None, 200)],
        # No progress, but acknowledgements.
        [unacknowledged(0.1), unacknowledged(0.2)],
    ],
)
def test_a_peer_that_acknowledges_something_is_only_slow(clock, detector, states):
    """Guards against cutting the responses of callers that have no room for more data."""
    connection = Connection(None)
    detector.data_sent(connection)
    for number in range(round(LONG_SECONDS / POLL_SECONDS)):
        connection.state = states[number % len(states)]
        clock.advance(POLL_SECONDS)
    assert not connection.disconnecting


def test_a_suspended_process_does_not_take_its_peers_for_unreachable(clock, detector):
    """Guards against cutting all connections after a pause of the process itself."""
    connection = Connection(unacknowledged(0.1))
    detector.data_sent(connection)
    pass_time(clock, 1.0)
    connection.state = unacknowledged(LONG_SECONDS)
    clock.advance(LONG_SECONDS)
    assert not connection.disconnecting


@pytest.mark.parametrize("state", [SendState(False, False, 100, 0.1), None])
def test_connections_without_data_are_not_polled(clock, detector, state):
    connection = Connection(state)
    detector.data_sent(connection)
    pass_time(clock, 2 * POLL_SECONDS)
    assert not clock.getDelayedCalls() and not connection.disconnecting
