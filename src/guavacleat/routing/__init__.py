"""Routing: the choice of an endpoint for a request."""

from guavacleat.routing.router import ROUTERS_BY_NAME, Router, get_router_by_name

__all__ = ["ROUTERS_BY_NAME", "Router", "get_router_by_name"]
