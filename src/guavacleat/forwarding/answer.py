"""Receiving an endpoint's answer to a plain request and checking that it is that request's."""

import enum

from twisted.internet import defer

from guavacleat.forwarding.messages import ResponseMetadata
from guavacleat.http1.client import AnswerListener, BreakReason
from guavacleat.http1.messages import ResponseHead, end_to_end_headers
from guavacleat.http1.server import CallerExchange

__all__ = ["AnswerCheck", "AttemptEnd", "CheckedAnswer", "check_answer", "pass_head_on"]

# An answer up to this size is held until it is whole: if it breaks off, the caller gets an honest
# failure, and a request that may run again is sent elsewhere. A larger one is passed on as it
# comes.
HELD_BYTES = 1 << 18


class AnswerCheck(enum.Enum):
    """What the head of an answer says."""

    GENUINE = "genuine"
    NOT_RUN = "not run"
    WRONG_INCARNATION = "another incarnation"
    FOREIGN = "another request's or not the endpoint's own"


class AttemptEnd(enum.Enum):
    """How sending a request to one endpoint ended."""

    ANSWERED = "answered"
    PASSED_ON = "passed on"
    NOT_RUN = "not run"
    WRONG_INCARNATION = "another incarnation"
    BROKEN = "broken"
    TIMED_OUT = "timed out"
    UNREACHABLE = "unreachable"


MISDIRECTED = 421
CHECK_ENDS = {
    AnswerCheck.NOT_RUN: AttemptEnd.NOT_RUN,
    AnswerCheck.WRONG_INCARNATION: AttemptEnd.WRONG_INCARNATION,
    AnswerCheck.FOREIGN: AttemptEnd.BROKEN,
}


def check_answer(head: ResponseHead, metadata: ResponseMetadata, request_id: str) -> AnswerCheck:
    """Tell whether an answer may be passed on to the caller of ``request_id``.

    A second answer that an endpoint sent too many, or a late one, can stand where the next
    request's answer is due; its id gives it away. An answer without the endpoint's signature was
    not made by it.
    """
    if metadata.request_id is not None and metadata.request_id != request_id:
        return AnswerCheck.FOREIGN
    if head.status == MISDIRECTED:
        return AnswerCheck.WRONG_INCARNATION
    if metadata.not_run:
        return AnswerCheck.NOT_RUN
    if not metadata.signed or metadata.encoded or metadata.request_id is None:
        return AnswerCheck.FOREIGN
    return AnswerCheck.GENUINE


def pass_head_on(caller: CallerExchange, head: ResponseHead) -> None:
    """Begin the caller's answer with an endpoint's head."""
    caller.begin(head.status, head.reason, end_to_end_headers(head.headers))


class CheckedAnswer(AnswerListener):
    """Fires ``done`` with an :class:`AttemptEnd`; the answer is then in ``head`` and ``body``.

    ``broke_off`` tells whether the endpoint ended the connection before its answer was whole.
    ``source`` must be set to the connection before an answer can come, for backpressure.
    """

    def __init__(self, caller: CallerExchange, request_id: str, wire):
        self.caller = caller
        self.request_id = request_id
        self.wire = wire
        self.done = defer.Deferred()
        self.connection = None
        self.head: ResponseHead | None = None
        self.check: AnswerCheck | None = None
        self.pieces: list[bytes] = []
        self.size = 0
        self.passing = False
        self.broke_off = False

    @property
    def body(self) -> bytes:
        return b"".join(self.pieces)

    def answer_began(self, head):
        self.head = head
        self.check = check_answer(
            head, self.wire.parse_response_metadata(head.headers), self.request_id
        )
        if self.check is AnswerCheck.FOREIGN:
            self._finish(AttemptEnd.BROKEN)
            self.connection.abandon()

    def answer_body(self, data):
        if self.done.called or self.check is not AnswerCheck.GENUINE:
            return
        if self.passing:
            self.caller.write(data)
            return
        self.pieces.append(data)
        self.size += len(data)
        if self.size > HELD_BYTES:
            self._pass_on()

    def _pass_on(self) -> None:
        self.passing = True
        self.caller.source = self
        pass_head_on(self.caller, self.head)
        self.caller.write(self.body)
        self.pieces = []

    def pause(self) -> None:
        self.connection.transport.pauseProducing()

    def resume(self) -> None:
        self.connection.transport.resumeProducing()

    def answer_ended(self):
        if self.passing:
            self.caller.end()
            self._finish(AttemptEnd.PASSED_ON)
            return
        self._finish(CHECK_ENDS.get(self.check, AttemptEnd.ANSWERED))

    def answer_broken(self, reason: BreakReason):
        self.broke_off = reason.by_endpoint
        if self.passing:
            self.caller.cut()
        if self.check in (AnswerCheck.NOT_RUN, AnswerCheck.WRONG_INCARNATION):
            self._finish(CHECK_ENDS[self.check])
            return
        self._finish(AttemptEnd.PASSED_ON if self.passing else AttemptEnd.BROKEN)

    def _finish(self, end: AttemptEnd) -> None:
        if not self.done.called:
            self.done.callback(end)
