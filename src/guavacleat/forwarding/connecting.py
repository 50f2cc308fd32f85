"""Connects to an endpoint to send it a request, and records whether it was reached."""

from guavacleat.membership.entries import EndpointEntry
from guavacleat.throttling import ThrottleCause

__all__ = ["EndpointThrottledError", "connect"]


class EndpointThrottledError(Exception):
    """The endpoint may get no request now; another one has to be chosen."""


async def connect(context, entry: EndpointEntry, repeatable: bool = False):
    """Return a connection to ``entry``; raise the connection error if it can't be reached.

    The request counts as sent from now on, so that others see the endpoint's limit as used.

    :param context: the :class:`~.context.ForwardingContext`.
    :param repeatable: whether the request may run twice, so that it may be refused by mistake.
    :raises EndpointThrottledError: if the endpoint takes no more requests since it was chosen.
    """
    throttle = context.placement.throttle
    if not throttle.may_send(entry):
        raise EndpointThrottledError(f"{entry.id} {throttle.cause(entry).value}")
    throttle.record_send(entry)
    try:
        connection = await context.pool.connect(entry.address, identified=not repeatable)
    except Exception:
        context.load.record_failure(entry.id)
        throttle.cold.record_unreachable(entry)
        raise
    throttle.cold.record_reached(entry)
    if throttle.is_paused(entry):
        # It turned away another request meanwhile.
        connection.abandon()
        raise EndpointThrottledError(f"{entry.id} {ThrottleCause.PAUSE.value}")
    # The request arrives only now; the next one keeps its distance from this one.
    throttle.space_next(entry)
    return connection
