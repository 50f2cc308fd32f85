"""Routes, client accounts' keys and caller limits: what may be asked for, by whom, and where to."""

from guavacleat.routes.model import (
    Account,
    Backend,
    CallerLimits,
    EngineTraits,
    RequestKind,
    Route,
    RouteTable,
    ServiceTraits,
)

__all__ = [
    "Account",
    "Backend",
    "CallerLimits",
    "EngineTraits",
    "RequestKind",
    "Route",
    "RouteTable",
    "ServiceTraits",
]
