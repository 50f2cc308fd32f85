"""The gateway in front of HTTP routes: accepts callers, finds their route, forwards, refuses."""

from guavacleat.ingress.service import IngressService

__all__ = ["IngressService"]
