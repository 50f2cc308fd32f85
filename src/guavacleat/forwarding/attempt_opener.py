"""Opens streaming attempts: connects, selects a backup target and sends the request."""

import functools

from guavacleat.forwarding.connecting import connect
from guavacleat.forwarding.isolation import quarantine_refusal
from guavacleat.forwarding.memory import RunCopy, StreamMemory
from guavacleat.forwarding.messages import ForwardingMetadata, ResumePoint
from guavacleat.forwarding.request import ForwardedRequest
from guavacleat.forwarding.stream_attempt import StreamAttempt, StreamOutcome
from guavacleat.membership.entries import EndpointEntry
from guavacleat.placement.token_times import EventTimer
from guavacleat.quarantine import AnswerProgress
from guavacleat.retries import RetryPurpose

__all__ = ["AttemptOpener"]


class AttemptOpener:
    """Opens the attempts of one stream.

    :param session: the :class:`~.session.StreamSession`, which observes the attempts.
    :param log: logs a message with the request's id and the given fields.
    """

    def __init__(self, session, request: ForwardedRequest, context, memory: StreamMemory, log):
        self.session = session
        self.request = request
        self.context = context
        self.memory = memory
        self.log = log

    async def open(
        self, entry: EndpointEntry, purpose: RetryPurpose, resume: ResumePoint | None = None
    ) -> StreamAttempt | None:
        """Send the request to ``entry``, resuming at ``resume`` if given.

        Returns None if the connection failed or the retry budget is exhausted, or if the stream
        ended, was quarantined, or this process stopped meanwhile.

        :param purpose: why it is sent, unless this is the first time.
        """
        run = self.memory.begin_run(entry, resumed=resume is not None)
        connection = await self._connect(entry)
        if connection is None or not self._take_budget(purpose):
            self._give_up(entry, run, connection)
            return None
        return self._start(entry, run, connection, resume, self._place_backup(entry))

    async def open_after(
        self, entry: EndpointEntry, purpose: RetryPurpose, stop_run
    ) -> StreamAttempt | None:
        """Resume the stream on ``entry`` once ``stop_run`` has stopped it on its current engine.

        The connection and the retry budget come first: a stopped run could not go on without them.

        :param stop_run: coroutine function that returns the :class:`ResumePoint`, or None if the
            run was not stopped.
        """
        run = self.memory.begin_run(entry, resumed=True)
        connection = await self._connect(entry)
        if connection is None or not self._take_budget(purpose):
            self._give_up(entry, run, connection)
            return None
        resume = await stop_run()
        if resume is not None and not connection.open:
            connection = await self._connect(entry)
        if resume is None or connection is None or not self._may_send():
            self._give_up(entry, run, connection)
            return None
        return self._start(entry, run, connection, resume, None)

    async def _connect(self, entry: EndpointEntry):
        """Return a connection to ``entry``; None if there is none."""
        try:
            return await connect(self.context, entry)
        except Exception as exc:  # noqa: BLE001 - no connection: refused, timed out, unreachable
            self.log("stream:unreachable", endpoint=entry.id, error=repr(exc))
            return None

    def _may_send(self) -> bool:
        return not (
            self.session.finished or self.session.time_left() <= 0 or self.context.is_stopped
        )

    def _take_budget(self, purpose: RetryPurpose) -> bool:
        """Whether the request may be sent, which the retry budget then counts."""
        return (
            self._may_send()
            and not quarantine_refusal(self.context, self.request)
            and self.context.budget.take(self.request, purpose)
        )

    def _give_up(self, entry: EndpointEntry, run, connection) -> None:
        self.context.load.end(entry.id, run)
        if connection is not None:
            connection.abandon()

    def _start(
        self, entry: EndpointEntry, run, connection, resume: ResumePoint | None, backup
    ) -> StreamAttempt:
        """Send the request on ``connection``."""
        self._log_placed(entry, backup, resume)
        self.context.quarantine.request_sent(self.request, entry.id)
        attempt = StreamAttempt(
            self.context.clock,
            entry,
            self.request.metadata.id,
            self.context.wire,
            self.session,
            self.context.feedback,
            AnswerProgress(
                self.context.clock,
                functools.partial(self.context.quarantine.parts_proven, self.request),
            ),
        )
        attempt.connection, attempt.run, attempt.backup = connection, run, backup
        engine = self.request.traits.engine
        if engine is not None:
            times = self.context.load.token_times
            attempt.event_timer = EventTimer(times, entry, engine.tokens_per_event)
        attempt.sent_at = self.context.clock.seconds()
        attempt.done.addBoth(self._attempt_finished, attempt)
        self._send(attempt, resume)
        return attempt

    def _send(self, attempt: StreamAttempt, resume: ResumePoint | None) -> None:
        request = self.request
        forwarding_metadata = ForwardingMetadata(
            attempt.entry.id,
            self.session.time_left(),
            request.account_name,
            request.priority,
            resume,
            attempt.backup.entry.address if attempt.backup else None,
        )
        head = request.exchange.head
        headers = self.context.wire.endpoint_headers(request.headers, forwarding_metadata)
        attempt.connection.send(head.method, head.target, headers, request.exchange.body, attempt)

    def _attempt_finished(self, outcome: StreamOutcome, attempt: StreamAttempt) -> StreamOutcome:
        self.context.load.end(attempt.entry.id, attempt.run)
        if outcome is StreamOutcome.BROKEN:
            # It may have crashed, so placement avoids it for a few seconds.
            self.context.load.record_failure(attempt.entry.id)
        if attempt.endpoint_disconnected:
            self.context.quarantine.request_interrupted(
                self.request, attempt.entry.id, attempt.sent_at, attempt.progress.proven
            )
        elif outcome is StreamOutcome.COMPLETE:
            attempt.progress.record_completion()
            self.context.quarantine.request_completed(self.request)
        self.context.quarantine.run_finished(self.request)
        return outcome

    def _place_backup(self, entry: EndpointEntry) -> RunCopy | None:
        """Choose an engine for the run's backup; None if none has enough free memory."""
        engine = self.request.traits.engine
        if engine is None or not engine.backups or not self.memory.worth_moving():
            return None
        if not self.context.quarantine.is_unrestricted(self.request):
            return None
        expected = self.memory.expected_tokens()
        target = self.context.placement.choose_backup_target(self.request, entry, expected)
        if target is None:
            return None
        return RunCopy(target, target, self.request.metadata.id, backup=True)

    def _log_placed(self, entry, backup: RunCopy | None, resume: ResumePoint | None) -> None:
        """Log the chosen endpoint's load, including this run, as this gateway knows it.

        ``speed`` is that of the engine over the median of its service, 1 while that is even.
        """
        is_engine = self.request.traits.engine is not None
        slowness = self.context.placement.engine_speeds.slowness(entry) if is_engine else 1.0
        load = self.context.load.total(entry.id)
        self.log(
            "stream:placed",
            endpoint=entry.id,
            resumed=resume is not None,
            backup=backup.entry.id if backup else None,
            runs=load.runs,
            expected=load.peak_tokens,
            unread=load.pending_prefill_tokens,
            speed=round(1 / slowness, 2),
        )
