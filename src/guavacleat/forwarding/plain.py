"""Forwarding a plain request: one endpoint after the other as far as its kind allows.

A request that is not idempotent is sent again only if the endpoint states that it did not run
it, or if no connection came about. Idempotent ones are sent again after any failure, while the
route's attempts, the deadline and the shared budget allow it.
"""

from eliot import log_message

from guavacleat.forwarding.answer import AttemptEnd, CheckedAnswer, pass_head_on
from guavacleat.forwarding.isolation import place_isolated
from guavacleat.forwarding.messages import ForwardingMetadata
from guavacleat.forwarding.refusals import RefusalError, RefusalReason
from guavacleat.forwarding.request import ForwardedRequest
from guavacleat.membership.registry import EndpointEntry
from guavacleat.placement import Run
from guavacleat.routes import RequestKind

__all__ = ["PlainForwarder"]

# An idempotent request that has no answer after this many times its latency goal is abandoned
# and sent elsewhere. Three goals is above the slowest in a hundred of a sound endpoint, which
# takes about twice the goal, and leaves a second attempt most of the time-out.
ATTEMPT_TIMEOUT_GOALS = 3.0
# Sends of one request at most, those included that an endpoint refused to run.
MAX_SENDS = 4
RETRY_AFTER_NO_ENDPOINT = 1.0
RETRY_AFTER_NO_ROOM = 0.5
SERVER_ERROR = 500
NEVER_RUN = (AttemptEnd.NOT_RUN, AttemptEnd.WRONG_INCARNATION, AttemptEnd.UNREACHABLE)


class PlainForwarder:
    """Forwards plain requests; ``context`` is the :class:`~.context.ForwardingContext` in use."""

    def __init__(self, context):
        self.context = context

    async def forward(self, request: ForwardedRequest) -> None:
        """Answer the caller, or raise :class:`RefusalError`."""
        runs, tried = 0, set()
        for sends in range(MAX_SENDS):
            if sends and not self._may_send_again(request, runs):
                break
            if runs and not self.context.quarantine.is_unrestricted(request):
                # It has run: a suspect is not repeated, and can no longer be refused as not run.
                break
            entry = self._place(request, tried)
            if entry is None and runs == 0 and not tried:
                raise RefusalError(RefusalReason.NO_ENDPOINT, RETRY_AFTER_NO_ENDPOINT)
            if entry is None:
                break
            tried.add(entry.id)
            if sends:
                self.context.budget.record_retry(request.service)
            last = self._is_last(request, runs, tried)
            end, answer = await self._attempt(request, entry, last)
            if end in NEVER_RUN:
                continue
            runs += 1
            if end is AttemptEnd.PASSED_ON or request.exchange.gone:
                return
            if end is AttemptEnd.ANSWERED and not self._repeat_failure(request, answer, runs):
                self._deliver(request, answer)
                return
        self._give_up(request, runs)

    def _place(self, request: ForwardedRequest, tried: set[str]) -> EndpointEntry | None:
        if self.context.quarantine.is_unrestricted(request):
            return self.context.placement.choose_for_call(request.service, tried)
        return place_isolated(self.context, request, tried)

    def _may_send_again(self, request: ForwardedRequest, runs: int) -> bool:
        if runs and request.route.kind is not RequestKind.IDEMPOTENT:
            return False
        return (
            runs < request.route.max_attempts
            and not request.exchange.gone
            and self.context.clock.seconds() < request.deadline
            and self.context.budget.may_retry(request.service)
        )

    def _is_last(self, request: ForwardedRequest, runs: int, tried: set[str]) -> bool:
        """Whether there is nowhere to go after this send: then its answer is worth waiting for."""
        return (
            request.route.kind is not RequestKind.IDEMPOTENT
            or runs + 1 >= request.route.max_attempts
            or not self.context.budget.may_retry(request.service)
            or self.context.placement.choose_for_call(request.service, tried) is None
        )

    def _repeat_failure(self, request: ForwardedRequest, answer: CheckedAnswer, runs: int) -> bool:
        """Whether an endpoint's own failure is worth another try elsewhere."""
        if answer.head.status < SERVER_ERROR:
            return False
        others = self.context.placement.choose_for_call(request.service, set()) is not None
        return others and self._may_send_again(request, runs)

    async def _attempt(self, request, entry, last):
        """Send to one endpoint; return its :class:`AttemptEnd` and the answer."""
        context = self.context
        began = context.clock.seconds()
        answer = CheckedAnswer(request.exchange, request.metadata.id, context.wire)
        try:
            connection = await context.pool.connect(entry.address)
        except Exception as exc:  # noqa: BLE001 - no connection: refused, timed out, unreachable
            context.load.record_failure(entry.id)
            self._log_attempt(request, entry, AttemptEnd.UNREACHABLE, answer, repr(exc))
            return AttemptEnd.UNREACHABLE, answer
        time_left = request.deadline - context.clock.seconds()
        if time_left <= 0 or request.exchange.gone:
            connection.abandon()
            return AttemptEnd.UNREACHABLE, answer
        attempt_timeout = time_left
        if not last:
            attempt_timeout = min(time_left, ATTEMPT_TIMEOUT_GOALS * request.route.latency_goal)
        context.quarantine.request_sent(request, entry.id)
        end = await self._exchange(request, entry, connection, answer, time_left, attempt_timeout)
        latency = context.clock.seconds() - began
        self._note_health(entry, end, answer, latency)
        self._note_run(request, entry, end, answer, began)
        self._log_attempt(request, entry, end, answer)
        return end, answer

    async def _exchange(self, request, entry, connection, answer, time_left, attempt_timeout):
        context = self.context
        forwarding_metadata = ForwardingMetadata(entry.id, time_left, request.account_name)
        answer.connection = connection
        timed_out = []

        def time_up():
            timed_out.append(True)
            connection.abandon()

        request.exchange.on_gone = connection.abandon
        timer = context.clock.callLater(attempt_timeout, time_up)
        run = Run(request.metadata.id)
        context.load.begin(entry.id, run)
        try:
            head = request.exchange.head
            headers = context.wire.endpoint_headers(request.headers, forwarding_metadata)
            connection.send(head.method, head.target, headers, request.exchange.body, answer)
            end = await answer.done
        finally:
            context.load.end(entry.id, run)
            request.exchange.on_gone = None
            if timer.active():
                timer.cancel()
        return AttemptEnd.TIMED_OUT if timed_out and end is AttemptEnd.BROKEN else end

    def _note_health(self, entry, end, answer, latency) -> None:
        if end is AttemptEnd.WRONG_INCARNATION:
            self.context.registry.remove_stale(entry.id)
        elif end is AttemptEnd.ANSWERED and answer.head.status < SERVER_ERROR:
            self.context.load.record_success(entry.id, latency)
        elif end is not AttemptEnd.PASSED_ON:
            self.context.load.record_failure(entry.id)

    def _note_run(self, request, entry, end, answer, began: float) -> None:
        """Tell whether the endpoint survived the request."""
        quarantine = self.context.quarantine
        if answer.broke_off:
            quarantine.request_interrupted(request, entry.id, began)
        elif end is AttemptEnd.ANSWERED or (
            end is AttemptEnd.PASSED_ON and not request.exchange.was_cut
        ):
            quarantine.request_completed(request)
        quarantine.run_finished(request)

    def _deliver(self, request: ForwardedRequest, answer: CheckedAnswer) -> None:
        if request.exchange.gone:
            return
        pass_head_on(request.exchange, answer.head)
        if answer.body:
            request.exchange.write(answer.body)
        request.exchange.end()

    def _give_up(self, request: ForwardedRequest, runs: int) -> None:
        if runs == 0:
            raise RefusalError(RefusalReason.NO_ROOM, RETRY_AFTER_NO_ROOM)
        if self.context.clock.seconds() >= request.deadline:
            raise RefusalError(RefusalReason.EXPIRED)
        raise RefusalError(RefusalReason.BROKEN)

    def _log_attempt(self, request, entry, end: AttemptEnd, answer, detail=None) -> None:
        status = answer.head.status if end is AttemptEnd.ANSWERED else None
        if status is not None and status < SERVER_ERROR:
            return
        log_message(
            message_type="request:attempt",
            request=request.metadata.id,
            endpoint=entry.id,
            end=end.value,
            status=status,
            detail=detail,
            left=round(request.deadline - self.context.clock.seconds(), 3),
        )
