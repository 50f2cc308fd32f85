"""Limits of the requests to endpoints that are cold or ask for fewer, and this gateway's share."""

from guavacleat.throttling.cold import ColdEndpoints
from guavacleat.throttling.demand import DemandMeter, ServiceDemand
from guavacleat.throttling.limits import LimitRegister, LimitStatement
from guavacleat.throttling.pauses import PauseRegister
from guavacleat.throttling.shares import RateBound, ShareRule
from guavacleat.throttling.throttle import EndpointThrottle, ThrottleCause

__all__ = [
    "ColdEndpoints",
    "DemandMeter",
    "EndpointThrottle",
    "LimitRegister",
    "LimitStatement",
    "PauseRegister",
    "RateBound",
    "ServiceDemand",
    "ShareRule",
    "ThrottleCause",
]
