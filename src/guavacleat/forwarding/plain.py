"""Forwards plain (non-streaming) requests, with retries.

A non-idempotent request is retried only if the endpoint states that it did not execute it, or if
the connection failed. An idempotent request is retried after any failure, within the route's
maximum attempts, the deadline and the shared retry budget.
"""

import functools

from eliot import log_message
from twisted.internet import task

from guavacleat.forwarding.connecting import connect
from guavacleat.forwarding.isolation import place_isolated, quarantine_refusal
from guavacleat.forwarding.messages import ForwardingMetadata
from guavacleat.forwarding.refusals import RefusalError, RefusalReason, no_endpoint, throttled
from guavacleat.forwarding.request import ForwardedRequest
from guavacleat.forwarding.response import AttemptOutcome, CheckedResponse, begin_response
from guavacleat.membership.entries import EndpointEntry
from guavacleat.placement import Run
from guavacleat.retries import RetryPurpose
from guavacleat.routes import RequestKind

__all__ = ["PlainForwarder"]

# Timeout of an attempt that can be retried elsewhere, as a multiple of the route's latency goal:
# longer than slow answers of a sound endpoint, with most of the route's timeout left for the second
# attempt.
ATTEMPT_TIMEOUT_GOALS = 3.0
# Maximum number of sends of one request, including those that an endpoint refused.
MAX_SENDS = 4
RETRY_AFTER_NO_ROOM_SECONDS = 0.5
# Maximum wait for an endpoint that takes only some requests, as a multiple of the route's latency
# goal.
THROTTLE_WAIT_GOALS = 0.5
MIN_THROTTLE_WAIT_SECONDS = 0.01
MAX_THROTTLE_WAIT_SECONDS = 0.5
SERVER_ERROR = 500
NOT_RUN_OUTCOMES = (
    AttemptOutcome.NOT_RUN,
    AttemptOutcome.WRONG_INCARNATION,
    AttemptOutcome.UNREACHABLE,
)


class PlainForwarder:
    """Forwards plain requests; ``context`` is the :class:`~.context.ForwardingContext`."""

    def __init__(self, context):
        self.context = context

    async def forward(self, request: ForwardedRequest) -> None:
        """Send the caller a response, or raise :class:`RefusalError`."""
        runs, tried = 0, set()
        for sends in range(MAX_SENDS):
            if sends and not self._may_retry(request, runs):
                break
            if runs and not self.context.quarantine.is_unrestricted(request):
                # A suspect request that was already executed is not retried.
                break
            entry = await self._choose_endpoint(request, tried)
            if entry is None and runs == 0 and not tried:
                raise no_endpoint(self.context, request)
            if entry is None:
                break
            tried.add(entry.id)
            last_attempt = self._is_last_attempt(request, runs, tried)
            outcome, response = await self._attempt(request, entry, last_attempt)
            if outcome in NOT_RUN_OUTCOMES:
                continue
            runs += 1
            if outcome is AttemptOutcome.STREAMED or request.exchange.disconnected:
                return
            if outcome is AttemptOutcome.ANSWERED and not self._should_retry_failure(
                request, response, runs
            ):
                self._deliver(request, response)
                return
        self._give_up(request, runs)

    async def _choose_endpoint(
        self, request: ForwardedRequest, tried: set[str]
    ) -> EndpointEntry | None:
        """The endpoint to send to; waits for a throttled one if there are no others."""
        if not self.context.quarantine.is_unrestricted(request):
            return place_isolated(self.context, request, tried)
        placement = self.context.placement
        entry = placement.choose_for_plain_request(request, tried)
        wait_until = self.context.clock.seconds() + THROTTLE_WAIT_GOALS * request.route.latency_goal
        while entry is None and not request.exchange.disconnected:
            wait = placement.seconds_until_available(request, tried)
            until = min(wait_until, self.context.stops_at)
            if wait is None or self.context.clock.seconds() + wait > until:
                return None
            # A stop may begin meanwhile.
            pause = min(max(wait, MIN_THROTTLE_WAIT_SECONDS), MAX_THROTTLE_WAIT_SECONDS)
            await task.deferLater(self.context.clock, pause)
            entry = placement.choose_for_plain_request(request, tried)
        return entry

    def _may_retry(self, request: ForwardedRequest, runs: int) -> bool:
        if runs and request.route.kind is not RequestKind.IDEMPOTENT:
            return False
        return (
            runs < request.route.max_attempts
            and not request.exchange.disconnected
            and self.context.clock.seconds() < request.deadline
            and self.context.budget.may_send(request, RetryPurpose.REPEAT)
        )

    def _is_last_attempt(self, request: ForwardedRequest, runs: int, tried: set[str]) -> bool:
        """Whether no retry is possible after this attempt, which may then use the full deadline."""
        return (
            request.route.kind is not RequestKind.IDEMPOTENT
            or runs + 1 >= request.route.max_attempts
            or not self.context.budget.may_retry(request.service, RetryPurpose.REPEAT)
            or self.context.placement.choose_for_plain_request(request, tried) is None
        )

    def _should_retry_failure(
        self, request: ForwardedRequest, response: CheckedResponse, runs: int
    ) -> bool:
        """Whether to retry after a server error."""
        if response.head.status < SERVER_ERROR:
            return False
        has_endpoint = self.context.placement.choose_for_plain_request(request, set()) is not None
        return has_endpoint and self._may_retry(request, runs)

    async def _attempt(self, request, entry, last_attempt):
        """Send to one endpoint; return the :class:`AttemptOutcome` and the response."""
        context = self.context
        started_at = context.clock.seconds()
        on_statements = functools.partial(context.feedback.observe, entry, started_at)
        response = CheckedResponse(
            context.clock, request.exchange, request.metadata.id, context.wire, on_statements
        )
        try:
            connection = await connect(
                context, entry, repeatable=request.route.kind is RequestKind.IDEMPOTENT
            )
        except Exception as exc:  # noqa: BLE001 - no connection: refused, timed out, unreachable
            self._log_attempt(request, entry, AttemptOutcome.UNREACHABLE, response, repr(exc))
            return AttemptOutcome.UNREACHABLE, response
        time_left = request.deadline - context.clock.seconds()
        if (
            time_left <= 0
            or context.is_stopped
            or request.exchange.disconnected
            or quarantine_refusal(context, request)
            or not context.budget.take(request, RetryPurpose.REPEAT)
        ):
            connection.abandon()
            return AttemptOutcome.UNREACHABLE, response
        attempt_timeout = time_left
        if not last_attempt:
            attempt_timeout = min(time_left, ATTEMPT_TIMEOUT_GOALS * request.route.latency_goal)
        context.quarantine.request_sent(request, entry.id)
        outcome = await self._exchange(
            request, entry, connection, response, time_left, attempt_timeout
        )
        latency = context.clock.seconds() - started_at
        self._record_health(entry, outcome, response, latency)
        self._report_to_quarantine(request, entry, outcome, response, started_at)
        self._log_attempt(request, entry, outcome, response)
        return outcome, response

    async def _exchange(self, request, entry, connection, response, time_left, attempt_timeout):
        context = self.context
        forwarding_metadata = ForwardingMetadata(entry.id, time_left, request.account_name)
        response.connection = connection
        timed_out = []

        def seconds_left():
            return max(0.0, request.deadline - context.clock.seconds())

        def expire():
            nonlocal timer
            # An endpoint that is still reading the request isn't given up for another attempt.
            if seconds_left() > 0 and connection.is_taking_request():
                timer = context.clock.callLater(min(seconds_left(), attempt_timeout), expire)
                return
            timed_out.append(True)
            connection.abandon()

        def progressed():
            # An answer that arrives isn't given up for another attempt, and one that the caller
            # has begun to get can't be.
            left = seconds_left()
            if timer.active():
                timer.reset(left if response.streaming else min(left, attempt_timeout))

        request.exchange.on_disconnect = connection.abandon
        timer = context.clock.callLater(attempt_timeout, expire)
        response.on_progress = progressed
        run = Run(request.metadata.id)
        context.load.begin(entry.id, run)
        try:
            head = request.exchange.head
            headers = context.wire.endpoint_headers(request.headers, forwarding_metadata)
            connection.send(head.method, head.target, headers, request.exchange.body, response)
            outcome = await response.done
        finally:
            context.load.end(entry.id, run)
            request.exchange.on_disconnect = None
            if timer.active():
                timer.cancel()
        return (
            AttemptOutcome.TIMED_OUT if timed_out and outcome is AttemptOutcome.BROKEN else outcome
        )

    def _record_health(self, entry, outcome, response, latency) -> None:
        if outcome is AttemptOutcome.WRONG_INCARNATION:
            self.context.registry.remove_stale(entry.id)
        elif outcome is AttemptOutcome.ANSWERED and response.head.status < SERVER_ERROR:
            self.context.load.record_success(entry.id, latency)
        elif outcome is not AttemptOutcome.STREAMED:
            self.context.load.record_failure(entry.id)

    def _report_to_quarantine(self, request, entry, outcome, response, started_at: float) -> None:
        """Report to the quarantine whether the endpoint survived the request."""
        quarantine = self.context.quarantine
        if response.endpoint_disconnected:
            quarantine.request_interrupted(request, entry.id, started_at)
        elif outcome is AttemptOutcome.ANSWERED or (
            outcome is AttemptOutcome.STREAMED and not request.exchange.aborted
        ):
            quarantine.request_completed(request)
            if response.head.status < SERVER_ERROR:
                # The endpoint began to answer at some time after this.
                quarantine.parts_proven(request, started_at)
        quarantine.run_finished(request)

    def _deliver(self, request: ForwardedRequest, response: CheckedResponse) -> None:
        if request.exchange.disconnected:
            return
        begin_response(request.exchange, response.head)
        if response.body:
            request.exchange.write(response.body)
        request.exchange.end()

    def _give_up(self, request: ForwardedRequest, runs: int) -> None:
        if runs == 0:
            no_room = RefusalError(RefusalReason.NO_ROOM, RETRY_AFTER_NO_ROOM_SECONDS)
            raise throttled(self.context.placement, request, set()) or no_room
        if self.context.clock.seconds() >= request.deadline:
            raise RefusalError(RefusalReason.EXPIRED)
        raise RefusalError(RefusalReason.BROKEN)

    def _log_attempt(self, request, entry, outcome: AttemptOutcome, response, detail=None) -> None:
        status = response.head.status if outcome is AttemptOutcome.ANSWERED else None
        if status is not None and status < SERVER_ERROR:
            return
        log_message(
            message_type="request:attempt",
            request=request.metadata.id,
            endpoint=entry.id,
            end=outcome.value,
            status=status,
            detail=detail,
            left=round(request.deadline - self.context.clock.seconds(), 3),
        )
