"""Stops a run on its engine before the stream resumes on another one.

Some engines continue a run whose connection was closed. A run is therefore stopped by the call that
copies its memory, with which the engine stops it first and closes its stream. The response follows
once the copy is complete, which may be queued behind others.
"""

from eliot import log_message
from twisted.internet import defer, task

from guavacleat.forwarding.copies import copy_run
from guavacleat.forwarding.messages import MoveResponse
from guavacleat.forwarding.stream_attempt import StreamAttempt
from guavacleat.http1.calls import CallBrokenError, NotConnectedError
from guavacleat.membership.entries import EndpointEntry

__all__ = ["StreamStop", "stop_detached_run"]

# Time in which a run stops or its engine responds.
STOP_TIMEOUT_SECONDS = 0.5
# Time between the end of the stream and the engine's response, while what is new is copied.
RESPONSE_TIMEOUT_SECONDS = 2.0
# Time between the engine's response and the end of the stream.
CLOSE_TIMEOUT_SECONDS = 0.2
# A stream that is silent for longer, several times the usual pause between events, was stopped.
SILENCE_SECONDS = 0.15
# An engine that accepts no connection for this long is taken to have ended: the caller is waiting.
DETACHED_CONNECT_SECONDS = 0.15
DETACHED_STOP_SECONDS = 1.0
DETACHED_RETRY_SECONDS = 0.03

NO_RESPONSE = MoveResponse(0, None)


class StreamStop:
    """Stops the run of ``attempt``, whose events still arrive.

    :param target: the engine that has a copy of the run's memory.
    """

    def __init__(self, context, attempt: StreamAttempt, target: EndpointEntry):
        self.context = context
        self.attempt = attempt
        self.target = target
        self.response: MoveResponse | None = None
        self._changed = defer.Deferred()

    async def run(self) -> bool:
        """Return whether the run has stopped; False if it completed or may still execute."""
        attempt = self.attempt
        if attempt.ended or not attempt.end_is_marked:
            return False
        attempt.stop_requested = True
        attempt.on_end = self._notify
        defer.Deferred.fromCoroutine(self._call())
        if self.response is None and not attempt.ended:
            await self._next_change(STOP_TIMEOUT_SECONDS)
        if not attempt.ended and self.response is not None:
            await self._next_change(CLOSE_TIMEOUT_SECONDS)
        if not attempt.ended:
            self._end_silent_stream()
        return attempt.run_stopped

    async def wait_for_response(self) -> MoveResponse:
        """Return the engine's response, which comes after the end of the stream."""
        if self.response is None:
            await self._next_change(RESPONSE_TIMEOUT_SECONDS)
        return self.response or NO_RESPONSE

    async def _call(self) -> None:
        run = (self.context, self.attempt.request_id, self.attempt.entry, self.target)
        try:
            self.response = await copy_run(*run, stop=True)
        except CallBrokenError as exc:
            log_message(
                message_type="move:stop-failed", endpoint=self.attempt.entry.id, error=repr(exc)
            )
            # The stream may have ended with its connection before the engine got the call.
            lost = self.attempt.run_stopped
            self.response = await stop_detached_run(*run) if lost else NO_RESPONSE
        self._notify()

    def _end_silent_stream(self) -> None:
        """Decide by its events whether a run has stopped whose stream is still open."""
        attempt = self.attempt
        response = self.response or NO_RESPONSE
        silent = self.context.clock.seconds() - attempt.last_data_at >= SILENCE_SECONDS
        if silent and response.is_stopped:
            attempt.run_stopped = True
            attempt.abandon()
            return
        attempt.stop_requested = False
        # Only a response that claims the stop shows that asking again is of no use.
        attempt.ignores_stop = response.is_stopped
        log_message(
            message_type="move:not-stopped",
            request=attempt.request_id,
            endpoint=attempt.entry.id,
            status=response.status,
        )

    def _notify(self) -> None:
        changed, self._changed = self._changed, defer.Deferred()
        changed.callback(None)

    async def _next_change(self, timeout: float) -> None:
        """Wait until the response arrives or the attempt ends, at most ``timeout`` seconds."""
        timer = self.context.clock.callLater(timeout, self._notify)
        await self._changed
        if timer.active():
            timer.cancel()


async def stop_detached_run(
    context, request_id: str, source: EndpointEntry, target: EndpointEntry
) -> MoveResponse:
    """Stop a run whose connection is lost, and which its engine may continue.

    Returns the last response of the engine, with the status 0 if it couldn't be reached.
    """
    clock = context.clock
    give_up_at = clock.seconds() + DETACHED_STOP_SECONDS
    response = NO_RESPONSE
    if not await _reconnect(context, source.address):
        return response
    while (time_left := give_up_at - clock.seconds()) > 0:
        try:
            response = await copy_run(context, request_id, source, target, True, time_left)
        except NotConnectedError:
            return NO_RESPONSE
        except CallBrokenError as exc:
            log_message(message_type="move:stop-failed", endpoint=source.id, error=repr(exc))
        if response.is_stopped:
            break
        if clock.seconds() < give_up_at:
            await task.deferLater(clock, DETACHED_RETRY_SECONDS)
    return response


def _reconnect(context, address) -> defer.Deferred:
    """Open a connection for the next call; fire with whether the endpoint accepted it in time.

    Idle connections are closed, as they may be lost like the one of the run.
    """
    context.pool.drop(address)
    reachable = defer.Deferred()
    timer = context.clock.callLater(DETACHED_CONNECT_SECONDS, reachable.callback, False)

    def connected(connection):
        context.pool.release(address, connection)
        decide(True)

    def decide(result):
        if timer.active():
            timer.cancel()
            reachable.callback(result)

    connecting = context.pool.connect_new(address)
    connecting.addCallbacks(connected, lambda failure: decide(False))
    return reachable
