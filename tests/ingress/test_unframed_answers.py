"""Answers with neither a length nor chunks, which end with their connection."""

import pytest
from twisted.internet import protocol

from tests.quarantine.crashing_fleet import CrashingFleet

EVENT = b"id: %d\ndata: token\n\n"
WHOLE_EVENTS = [EVENT % 1, EVENT % 2]
PART_OF_EVENT = [EVENT % 1, b"id: 2\nda"]


class UnframedEndpoint(protocol.Protocol):
    """Answers each request with ``pieces``, then ends the connection, ``reset`` or not."""

    def __init__(self, pieces, reset):
        self.pieces, self.reset = pieces, reset

    def dataReceived(self, data):  # noqa: N802 - Twisted's name
        request_id = next(
            line for line in data.split(b"\r\n") if line.lower().startswith(b"x-request-id")
        )
        self.transport.write(b"HTTP/1.1 200 OK\r\n%s\r\nx-endpoint: e0\r\n\r\n" % request_id)
        for piece in self.pieces:
            self.transport.write(piece)
        if self.reset:
            self.transport.abortConnection()
        else:
            self.transport.loseConnection()


class UnframedFactory(protocol.Factory):
    def __init__(self, *behaviour):
        self.behaviour = behaviour

    def buildProtocol(self, addr):  # noqa: N802 - Twisted's name
        del addr
        return UnframedEndpoint(*self.behaviour)


# (path, pieces of the body, whether the connection is reset, outcomes at the caller)
CASES = [
    ("/page/1", [b"one", b"two"], False, {200}),
    ("/page/1", [], False, {200}),
    ("/record/1", [b"one", b"two"], False, {200}),
    ("/record/1", [b"one"], True, {502}),
    ("/page/1", [b"one"], True, {502}),
    ("/listing/1", WHOLE_EVENTS, False, {200}),
    ("/listing/1", PART_OF_EVENT, False, {"broken"}),
    ("/listing/1", WHOLE_EVENTS, True, {"broken"}),
    ("/listing/1", PART_OF_EVENT, True, {"broken"}),
    ("/page/1", [b"x" * 200_000] * 3, False, {200}),
    ("/page/1", [b"x" * 200_000] * 3, True, {"broken"}),
    ("/record/1", [b"x" * 200_000] * 3, True, {"broken"}),
]


@pytest.mark.parametrize("path,pieces,reset,outcomes", CASES)
def test_an_answer_is_whole_only_if_its_connection_ends_cleanly(path, pieces, reset, outcomes):
    """Guards against a cut answer that looks whole, and a whole one that is taken for cut."""
    fleet = CrashingFleet(endpoints=1)
    for listening in fleet.network.listening.values():
        if listening.address == ("10.9.0.0", 80):
            listening.factory = UnframedFactory(pieces, reset)
    for _ in range(2):
        fleet.send_harmless(path)
        fleet.network.pass_time(0.5)
    assert set(fleet.harmless_outcomes) == outcomes
