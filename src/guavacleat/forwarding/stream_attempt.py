"""One attempt to stream from one endpoint: validates the response and emits complete events."""

import enum

from twisted.internet import defer

from guavacleat.forwarding.events import EventSplitter
from guavacleat.forwarding.memory import RunCopy
from guavacleat.forwarding.response import ResponseCheck, check_response, trusted_statements
from guavacleat.http1.client import ResponseFailure, ResponseListener
from guavacleat.http1.messages import ResponseHead
from guavacleat.membership.entries import EndpointEntry
from guavacleat.placement import Run
from guavacleat.placement.token_times import EventTimer
from guavacleat.quarantine import AnswerProgress

__all__ = ["NOT_RUN_OUTCOMES", "StreamAttempt", "StreamOutcome"]

SUCCESS = range(200, 300)
# Maximum size of the body of an endpoint's failure.
MAX_FAILURE_BYTES = 1 << 18
FRAMING_HEADERS = (b"content-length", b"transfer-encoding")


class StreamOutcome(enum.Enum):
    """Outcome of a streaming attempt on one endpoint; the value is logged."""

    COMPLETE = "complete"
    ENDPOINT_ERROR = "the endpoint's own failure"
    NOT_RUN = "not run"
    WRONG_INCARNATION = "another incarnation"
    BROKEN = "broken"
    STOPPED = "stopped by its engine on request"
    ABANDONED = "abandoned by this gateway"


NOT_RUN_OUTCOMES = (StreamOutcome.NOT_RUN, StreamOutcome.WRONG_INCARNATION)
REFUSAL_OUTCOMES = {
    ResponseCheck.NOT_RUN: StreamOutcome.NOT_RUN,
    ResponseCheck.WRONG_INCARNATION: StreamOutcome.WRONG_INCARNATION,
}


class StreamAttempt(ResponseListener):
    """Receives the response on ``connection``; ``done`` fires with a :class:`StreamOutcome`.

    A response that rejects the request ends the attempt with its head; the rest is skipped.

    :param clock: an ``IReactorTime``.
    :param observer: ``attempt_started(attempt)`` is called when a valid stream starts, and
        ``attempt_event(attempt, event)`` with each complete :class:`StreamEvent`.
    :param feedback: the :class:`~.feedback.EndpointFeedback`.
    :param progress: the :class:`~guavacleat.quarantine.AnswerProgress` of this run.
    """

    def __init__(
        self,
        clock,
        entry: EndpointEntry,
        request_id: str,
        wire,
        observer,
        feedback,
        progress: AnswerProgress,
    ):
        self.clock = clock
        self.entry = entry
        self.request_id = request_id
        self.wire = wire
        self.observer = observer
        self.feedback = feedback
        self.progress = progress
        self.done = defer.Deferred()
        self.connection = None
        # The run's entry in the load tracker, and the backup requested with it.
        self.run: Run | None = None
        self.backup: RunCopy | None = None
        # Records the engine's speed; None if the endpoint is not an engine.
        self.event_timer: EventTimer | None = None
        self.sent_at = float("-inf")
        self.head: ResponseHead | None = None
        self.check: ResponseCheck | None = None
        self.splitter = EventSplitter()
        self.failure_body = bytearray()
        self.ended = False
        # Whether the endpoint closed the connection before the response was complete.
        self.endpoint_disconnected = False
        # Whether the engine was asked to stop the run, and whether it went on nevertheless.
        self.stop_requested = False
        self.ignores_stop = False
        # Whether the run is known to have stopped, so that it can go on elsewhere.
        self.run_stopped = False
        self.last_data_at = float("-inf")
        # Called when the attempt ends, before ``done`` fires.
        self.on_end = lambda: None

    @property
    def streaming(self) -> bool:
        """Whether the endpoint has started a valid stream."""
        return self.check is ResponseCheck.VALID and self.head.status in SUCCESS

    @property
    def end_is_marked(self) -> bool:
        """Whether the end of the response can be told from a closed connection."""
        return any(name in FRAMING_HEADERS for name, _ in self.head.headers)

    def abandon(self) -> None:
        """Close the connection, at which most endpoints stop the run."""
        self._end(StreamOutcome.ABANDONED)
        self.connection.abandon()

    def pause(self) -> None:
        """Stop reading, because the caller is slow."""
        if self.event_timer is not None:
            self.event_timer.stop()
        self.connection.pause()

    def _reject(self) -> None:
        """Close the connection after an invalid response."""
        self._end(StreamOutcome.BROKEN)
        self.connection.abandon()

    def response_started(self, head):
        self.head = head
        metadata = self.wire.parse_response_metadata(head.status, head.headers)
        self.check = check_response(head, metadata, self.request_id)
        if metadata.request_id is None:
            self.connection.unidentified = True
        statements = trusted_statements(head, metadata, self.request_id)
        if statements is not None:
            self.feedback.observe(self.entry, self.sent_at, statements)
        if self.check is ResponseCheck.FOREIGN:
            self._reject()
        elif self.check in REFUSAL_OUTCOMES:
            self.connection.skip_rest(self.clock)
            self._end(REFUSAL_OUTCOMES[self.check])
        elif self.streaming and not self.ended:
            self.observer.attempt_started(self)

    def response_data_received(self, data):
        if self.ended:
            return
        if not self.streaming:
            self.failure_body += data
            if len(self.failure_body) > MAX_FAILURE_BYTES:
                self._reject()
            return
        try:
            events = self.splitter.feed(data)
        except ValueError:
            self._reject()
            return
        self.last_data_at = self.clock.seconds()
        if events:
            self.progress.record_output()
        if self.event_timer is not None:
            self.event_timer.events_received(sum(event.id is not None for event in events))
        for event in events:
            if not self.ended:
                self.observer.attempt_event(self, event)

    def response_completed(self):
        if not self.streaming:
            self._end(StreamOutcome.ENDPOINT_ERROR)
        else:
            # Remaining bytes are a truncated event, so the stream is incomplete.
            self._end(
                StreamOutcome.BROKEN if self.splitter.remainder.strip() else StreamOutcome.COMPLETE
            )

    def response_failed(self, reason: ResponseFailure):
        if self.stop_requested and reason.closed_by_endpoint:
            self.run_stopped = True
            self._end(StreamOutcome.STOPPED)
            return
        self.endpoint_disconnected = reason.closed_by_endpoint and not self.ended
        self._end(StreamOutcome.BROKEN)

    def _end(self, outcome: StreamOutcome) -> None:
        if not self.ended:
            self.ended = True
            self.on_end()
            self.done.callback(outcome)
