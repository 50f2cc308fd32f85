"""Routing configuration: routes, services, client accounts and caller limits."""

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
