"""Calls that copy a run's memory to another engine, and free unused copies."""

from eliot import log_message

from guavacleat.forwarding.messages import MoveResponse
from guavacleat.http1.calls import CallBrokenError, call
from guavacleat.membership.entries import EndpointEntry

__all__ = ["copy_run", "free_copy"]

# A copy takes less even when others are queued before it; a later one is not worth waiting for.
COPY_TIMEOUT_SECONDS = 3.0
FREE_TIMEOUT_SECONDS = 1.0


async def copy_run(
    context,
    request_id: str,
    source: EndpointEntry,
    target: EndpointEntry,
    stop: bool = False,
    timeout: float = COPY_TIMEOUT_SECONDS,
) -> MoveResponse:
    """Copy the memory of a run from ``source`` to ``target``; a later call copies what is new.

    :param stop: whether the run stops before it is copied; its stream then ends incomplete.
    :param timeout: seconds for the response.
    :raises CallBrokenError: without a response; the run may have been stopped.
    """
    method, path, headers, body = context.wire.encode_move(request_id, target.address, stop)
    response = await call(
        context.clock,
        context.pool,
        source.address,
        method,
        path,
        headers,
        body,
        timeout,
        identified=True,
    )
    return context.wire.decode_move(response.code, response.body)


async def free_copy(context, source_address: tuple[str, int], handle: str) -> None:
    """Free the copy ``handle`` at its source.

    Otherwise the engine keeps the memory and the slot until the copy expires after about five
    seconds.
    """
    target = context.wire.free_copy_path(handle)
    try:
        await call(
            context.clock,
            context.pool,
            source_address,
            b"DELETE",
            target,
            [],
            b"",
            FREE_TIMEOUT_SECONDS,
        )
    except CallBrokenError as exc:
        log_message(message_type="move:not-freed", handle=handle, error=repr(exc))
