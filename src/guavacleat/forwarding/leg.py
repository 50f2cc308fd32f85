"""One stream on one endpoint: checks its answer and hands whole events on."""

import enum

from twisted.internet import defer

from guavacleat.forwarding.answer import AnswerCheck, check_answer
from guavacleat.forwarding.events import EventSplitter
from guavacleat.forwarding.memory import HeldCopy
from guavacleat.http1.client import AnswerListener, BreakReason
from guavacleat.http1.messages import ResponseHead
from guavacleat.membership.registry import EndpointEntry
from guavacleat.placement import Run

__all__ = ["Leg", "LegEnd"]

SUCCESS = range(200, 300)


class LegEnd(enum.Enum):
    """How a stream on one endpoint ended."""

    COMPLETE = "complete"
    FAILED_WHOLE = "the endpoint's own failure"
    NOT_RUN = "not run"
    WRONG_INCARNATION = "another incarnation"
    BROKEN = "broken"
    ABANDONED = "abandoned by this gateway"


REFUSALS = {
    AnswerCheck.NOT_RUN: LegEnd.NOT_RUN,
    AnswerCheck.WRONG_INCARNATION: LegEnd.WRONG_INCARNATION,
}


class Leg(AnswerListener):
    """Listens to the answer on ``connection``; ``done`` fires with a :class:`LegEnd`.

    :param hearer: ``leg_began(leg)`` is called when a genuine stream begins, and
        ``leg_event(leg, event)`` with each whole :class:`StreamEvent`.
    """

    def __init__(self, entry: EndpointEntry, request_id: str, wire, hearer):
        self.entry = entry
        self.request_id = request_id
        self.wire = wire
        self.hearer = hearer
        self.done = defer.Deferred()
        self.connection = None
        # How the session counts its memory, and the backup that was asked for with it.
        self.run: Run | None = None
        self.backup: HeldCopy | None = None
        # Clock time at which the request was sent.
        self.began = float("-inf")
        self.head: ResponseHead | None = None
        self.check: AnswerCheck | None = None
        self.splitter = EventSplitter()
        self.failure_body: list[bytes] = []
        self.ended = False
        # Whether the endpoint ended the connection before its answer was whole.
        self.broke_off = False

    @property
    def streaming(self) -> bool:
        """Whether the endpoint has begun a genuine stream."""
        return self.check is AnswerCheck.GENUINE and self.head.status in SUCCESS

    def abandon(self) -> None:
        """Stop listening and close, so that the endpoint stops working."""
        self._end(LegEnd.ABANDONED)
        self.connection.abandon()

    def _reject(self) -> None:
        """What the endpoint sends is not this stream."""
        self._end(LegEnd.BROKEN)
        self.connection.abandon()

    def answer_began(self, head):
        self.head = head
        self.check = check_answer(
            head, self.wire.parse_response_metadata(head.headers), self.request_id
        )
        if self.check is AnswerCheck.FOREIGN:
            self._reject()
        elif self.streaming and not self.ended:
            self.hearer.leg_began(self)

    def answer_body(self, data):
        if self.ended:
            return
        if not self.streaming:
            self.failure_body.append(data)
            return
        try:
            events = self.splitter.feed(data)
        except ValueError:
            self._reject()
            return
        for event in events:
            if not self.ended:
                self.hearer.leg_event(self, event)

    def answer_ended(self):
        if self.check in REFUSALS:
            self._end(REFUSALS[self.check])
        elif not self.streaming:
            self._end(LegEnd.FAILED_WHOLE)
        else:
            # Bytes behind the last whole event would be half an event: not a whole stream.
            self._end(LegEnd.BROKEN if self.splitter.rest.strip() else LegEnd.COMPLETE)

    def answer_broken(self, reason: BreakReason):
        self.broke_off = reason.by_endpoint and not self.ended
        self._end(REFUSALS.get(self.check, LegEnd.BROKEN))

    def _end(self, end: LegEnd) -> None:
        if not self.ended:
            self.ended = True
            self.done.callback(end)
