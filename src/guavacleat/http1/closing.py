"""Closes callers' connections without cutting responses that are still being sent."""

from guavacleat.http1.sockets import SendState, prepare_close

__all__ = ["ConnectionCloser"]

POLL_SECONDS = 0.5
# How long a caller that sends nothing more may keep a connection open after the response.
LINGER_SECONDS = 2.0


class ConnectionCloser:
    """Closes one connection once its caller has all data, or has taken none for a while.

    With ``linger``, the connection is closed for sending first, and what the caller still sends is
    discarded: closing a connection with unread data resets it, and a reset that overtakes the
    response hides from the caller that its request was refused.

    :param read_state: returns the transport's :class:`~.sockets.SendState`, None for none.
    :param patience: seconds after which a caller that takes no data is cut, and for which one that
        has all data may go on sending.
    """

    __slots__ = (
        "reactor",
        "transport",
        "read_state",
        "patience",
        "acknowledged_bytes",
        "progressed_at",
        "sent_at",
        "received_at",
        "timer",
    )

    def __init__(self, reactor, transport, read_state, patience: float, linger: bool):
        self.reactor = reactor
        self.transport = transport
        self.read_state = read_state
        self.patience = patience
        self.acknowledged_bytes = 0
        # When the caller last took data, was last owed data, and last sent data.
        self.progressed_at = self.sent_at = self.received_at = reactor.seconds()
        prepare_close(transport)
        transport.unregisterProducer()
        if linger:
            # Reading may be paused because of pipelined data.
            transport.resumeProducing()
            transport.loseWriteConnection()
        else:
            transport.loseConnection()
        self.timer = reactor.callLater(POLL_SECONDS, self._check)

    def data_discarded(self) -> None:
        """Record that the caller still sends."""
        self.received_at = self.reactor.seconds()

    def connection_lost(self) -> None:
        if self.timer.active():
            self.timer.cancel()

    def _check(self) -> None:
        now = self.reactor.seconds()
        state = self.read_state(self.transport)
        if state is not None and state.pending:
            self._record_pending(state, now)
            if now - self.progressed_at >= self.patience:
                self.transport.abortConnection()
                return
        elif self._has_lingered(now):
            self.transport.loseConnection()
        self.timer = self.reactor.callLater(POLL_SECONDS, self._check)

    def _record_pending(self, state: SendState, now: float) -> None:
        self.sent_at = now
        if state.acknowledged_bytes != self.acknowledged_bytes:
            self.acknowledged_bytes = state.acknowledged_bytes
            self.progressed_at = now

    def _has_lingered(self, now: float) -> bool:
        silent_since = max(self.sent_at, self.received_at)
        return now - silent_since >= LINGER_SECONDS or now - self.sent_at >= self.patience
