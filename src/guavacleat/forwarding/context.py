"""The gateway components that forwarding uses."""

import math

__all__ = ["ForwardingContext"]

# Part of the time in which a draining endpoint accepts requests; its notice came some time before
# it was learned here.
DRAIN_SHARE = 0.5


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

    def may_resume_on(self, entry) -> bool:
        """Whether a stream may go on at ``entry``, which may have begun to leave meanwhile."""
        return self.registry.is_ready(entry) and self.placement.is_allowed(entry)

    def may_return_to(self, entry) -> bool:
        """Whether a run may go on at the draining engine that has stopped it."""
        since = self.registry.drains_since(entry)
        if since is None:
            return self.may_resume_on(entry)
        return self.clock.seconds() - since < DRAIN_SHARE * self.budget.bounds.drain

    @property
    def is_stopped(self) -> bool:
        """Whether nothing may be sent any more."""
        return self.clock.seconds() >= self.stops_at
