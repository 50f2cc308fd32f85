"""Choosing an endpoint for a request."""

from guavacleat.routing.router import Router

__all__ = ["Router"]
