"""Limits of the requests to endpoints that are cold or name a rate, and this gateway's share."""

from guavacleat.throttling.limits import LimitRegister, LimitStatement
from guavacleat.throttling.shares import ShareRule
from guavacleat.throttling.throttle import EndpointThrottle

__all__ = ["EndpointThrottle", "LimitRegister", "LimitStatement", "ShareRule"]
