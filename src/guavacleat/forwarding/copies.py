"""Frees unused copies of a run's memory."""

from eliot import log_message

from guavacleat.http1.calls import CallBrokenError, call

__all__ = ["free_copy"]

FREE_TIMEOUT_SECONDS = 1.0


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
