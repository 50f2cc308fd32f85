"""Freeing copies of a run's memory that nobody will go on from."""

from eliot import log_message

from guavacleat.http1.calls import CallBrokenError, call

__all__ = ["free_copy"]

FREE_SECONDS = 1.0


async def free_copy(context, source_address: tuple[str, int], handle: str) -> None:
    """Free the copy ``handle`` at its source.

    An engine keeps an unused copy's memory and slot for some five seconds; a caller that leaves
    would hold the memory of two generations for that long.
    """
    target = context.wire.free_copy_target(handle)
    try:
        await call(
            context.clock, context.pool, source_address, b"DELETE", target, [], b"", FREE_SECONDS
        )
    except CallBrokenError as exc:
        log_message(message_type="move:not-freed", handle=handle, error=repr(exc))
