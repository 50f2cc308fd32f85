"""The HTTP site of the completions interface, for callers that read slowly or are gone."""

from twisted.web.http import HTTPChannel
from twisted.web.server import Site

from guavacleat.http1.sockets import (
    UnreachablePeerDetector,
    configure_socket,
    prepare_close,
)

__all__ = ["CallerChannel", "CompletionsSite"]


class CallerChannel(HTTPChannel):
    """A caller's connection; ``site`` is its :class:`CompletionsSite`."""

    def __init__(self):
        super().__init__()
        self._acknowledged_bytes = 0

    def connectionMade(self):  # noqa: N802 - Twisted's name
        super().connectionMade()
        configure_socket(self.transport)
        self.site.channels.add(self)

    def connectionLost(self, reason):  # noqa: N802 - Twisted's name
        self.site.channels.discard(self)
        super().connectionLost(reason)

    def write(self, data):
        super().write(data)
        self.site.detector.data_sent(self.transport)

    def writeSequence(self, iovec):  # noqa: N802 - Twisted's name
        super().writeSequence(iovec)
        self.site.detector.data_sent(self.transport)

    def is_sending(self) -> bool:
        """Whether the caller has not acknowledged all data that was sent."""
        state = self.site.detector.read_state(self.transport)
        return state is not None and state.pending

    def timeoutConnection(self):  # noqa: N802 - Twisted's name
        """Close an idle connection, unless the caller is still taking a response."""
        state = self.site.detector.read_state(self.transport)
        if (
            state is None
            or not state.pending
            or self._acknowledged_bytes == state.acknowledged_bytes
        ):
            super().timeoutConnection()
            return
        self._acknowledged_bytes = state.acknowledged_bytes
        self.setTimeout(self.timeOut)

    def loseConnection(self):  # noqa: N802 - Twisted's name
        prepare_close(self.transport)
        super().loseConnection()


class CompletionsSite(Site):
    """A site that detects unreachable callers and knows which responses are still being sent."""

    protocol = CallerChannel

    def __init__(self, resource, reactor):
        super().__init__(resource, reactor=reactor)
        self.detector = UnreachablePeerDetector(reactor)
        self.channels: set[CallerChannel] = set()

    def is_sending(self) -> bool:
        """Whether callers have yet to receive a part of a response."""
        return any(channel.is_sending() for channel in self.channels)
