"""The HTTP ingress gateway: matches requests to routes, forwards or refuses them."""

from guavacleat.ingress.service import IngressService

__all__ = ["IngressService"]
