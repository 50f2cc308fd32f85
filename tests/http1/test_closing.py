"""How callers' connections are closed."""

import pytest
from twisted.internet.testing import StringTransport

from guavacleat.http1.closing import LINGER_SECONDS, POLL_SECONDS, ConnectionCloser
from guavacleat.http1.sockets import SendState

PATIENCE_SECONDS = 15.0
SENT = SendState(False, False, 1000, 0.1)


class Connection(StringTransport):
    """A transport that records how it is closed; its caller takes ``rate`` bytes a second.

    :ivar unsent: bytes that the caller has not taken.
    """

    def __init__(self, clock, unsent, rate):
        super().__init__()
        self.clock, self.unsent, self.rate = clock, unsent, rate
        self.began_at = clock.seconds()
        self.calls = []
        self.registerProducer(object(), True)
        self.calls = []
        for name in ("loseConnection", "loseWriteConnection", "abortConnection"):
            setattr(self, name, lambda name=name: self.calls.append(name))

    def state(self):
        taken = int((self.clock.seconds() - self.began_at) * self.rate)
        return SendState(taken < self.unsent, False, taken, 0.1) if self.unsent else SENT


def close(clock, linger, unsent=0, rate=0):
    connection = Connection(clock, unsent, rate)
    closer = ConnectionCloser(clock, connection, Connection.state, PATIENCE_SECONDS, linger)
    return connection, closer


def pass_time(clock, seconds, action=lambda: None):
    for _ in range(round(seconds / POLL_SECONDS)):
        action()
        clock.advance(POLL_SECONDS)


def test_a_lingering_connection_is_closed_once_the_caller_is_silent(clock):
    connection, closer = close(clock, linger=True)
    pass_time(clock, 2 * LINGER_SECONDS, closer.data_discarded)
    assert connection.calls == ["loseWriteConnection"]
    pass_time(clock, LINGER_SECONDS - POLL_SECONDS)
    assert connection.calls == ["loseWriteConnection", "loseConnection"]


def test_a_caller_that_never_stops_sending_is_cut(clock):
    """Guards against connections that a caller keeps open for ever."""
    connection, closer = close(clock, linger=True)
    pass_time(clock, PATIENCE_SECONDS, closer.data_discarded)
    assert connection.calls == ["loseWriteConnection", "loseConnection"]


@pytest.mark.parametrize("linger", [True, False])
def test_a_caller_that_takes_its_response_slowly_is_not_cut(clock, linger):
    """Guards against a limit on the total time of a response that is being taken."""
    connection, _ = close(clock, linger, unsent=1000, rate=10)
    first = ["loseWriteConnection" if linger else "loseConnection"]
    pass_time(clock, 1000 / 10 - POLL_SECONDS)
    assert connection.calls == first


@pytest.mark.parametrize("linger", [True, False])
def test_a_caller_that_takes_nothing_is_cut(clock, linger):
    """Guards against responses that stay in memory for callers that never read them."""
    connection, _ = close(clock, linger, unsent=1000)
    pass_time(clock, PATIENCE_SECONDS - POLL_SECONDS)
    assert "abortConnection" not in connection.calls
    pass_time(clock, POLL_SECONDS)
    assert connection.calls[-1] == "abortConnection" and not clock.getDelayedCalls()


def test_nothing_is_left_of_a_connection_that_is_lost(clock):
    _, closer = close(clock, linger=True)
    closer.connection_lost()
    assert not clock.getDelayedCalls()
