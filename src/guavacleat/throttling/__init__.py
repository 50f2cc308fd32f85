"""Limits of the requests to endpoints that are cold or ask for fewer, and this gateway's share."""

from guavacleat.throttling.cold import ColdEndpoints
from guavacleat.throttling.limits import LimitRegister, LimitStatement
from guavacleat.throttling.pauses import PauseRegister
from guavacleat.throttling.shares import RateBound, ShareRule
from guavacleat.throttling.throttle import EndpointThrottle, ThrottleCause

__all__ = [
    "ColdEndpoints",
    "EndpointThrottle",
    "LimitRegister",
    "LimitStatement",
    "PauseRegister",
    "RateBound",
    "ShareRule",
    "ThrottleCause",
]
