"""Cold endpoints: which are cold, and how many requests this gateway may send them."""

from guavacleat.throttling.shares import ShareRule
from guavacleat.throttling.throttle import EndpointThrottle

__all__ = ["ShareRule", "EndpointThrottle"]
