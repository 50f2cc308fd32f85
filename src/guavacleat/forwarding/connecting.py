"""Connects to an endpoint to send it a request, and records whether it was reached."""

from guavacleat.membership.registry import EndpointEntry

__all__ = ["connect"]


async def connect(context, entry: EndpointEntry):
    """Return a connection to ``entry``; raise the connection error if it can't be reached.

    The request counts as sent from now on, so that others see a cold endpoint's limit as used.

    :param context: the :class:`~.context.ForwardingContext`.
    """
    throttle = context.placement.throttle
    throttle.record_send(entry)
    context.feedback.limits.record_send(entry.id)
    try:
        connection = await context.pool.connect(entry.address)
    except Exception:
        context.load.record_failure(entry.id)
        throttle.record_unreachable(entry)
        raise
    throttle.record_reached(entry)
    return connection
