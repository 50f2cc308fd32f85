"""Cold endpoints: which are cold, and how many requests this gateway may send them."""

from guavacleat.warmup.limiter import WarmupLimiter
from guavacleat.warmup.shares import ShareRule

__all__ = ["ShareRule", "WarmupLimiter"]
