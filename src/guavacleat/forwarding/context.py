"""The gateway components that forwarding uses."""

import math

__all__ = ["ForwardingContext"]


class ForwardingContext:
    """Components shared by all forwarded requests.

    :param clock: an ``IReactorTime``.
    :param pool: :class:`~guavacleat.http1.pool.ConnectionPool`.
    :param wire: :class:`~guavacleat.forwarding.wire.Wire`.
    :param registry: :class:`~guavacleat.membership.registry.EndpointRegistry`.
    :param load: :class:`~guavacleat.placement.LoadTracker`.
    :param placement: :class:`~guavacleat.placement.Placement`.
    :param budget: :class:`~guavacleat.retries.RetryBudget`.
    :param queue: :class:`~guavacleat.admission.generations.GenerationQueue`.
    :param quarantine: :class:`~guavacleat.quarantine.QuarantineGuard`.
    :param feedback: :class:`~guavacleat.forwarding.feedback.EndpointFeedback`.
    :ivar stops_at: clock time at which this process ends; nothing is sent from then on.
    """

    __slots__ = (
        "clock",
        "pool",
        "wire",
        "registry",
        "load",
        "placement",
        "budget",
        "queue",
        "quarantine",
        "feedback",
        "stops_at",
    )

    def __init__(
        self,
        clock,
        pool,
        wire,
        registry,
        load,
        placement,
        budget,
        queue,
        quarantine,
        feedback,
    ):
        self.clock = clock
        self.pool = pool
        self.wire = wire
        self.registry = registry
        self.load = load
        self.placement = placement
        self.budget = budget
        self.queue = queue
        self.quarantine = quarantine
        self.feedback = feedback
        self.stops_at = math.inf

    @property
    def is_stopped(self) -> bool:
        """Whether nothing may be sent any more."""
        return self.clock.seconds() >= self.stops_at
