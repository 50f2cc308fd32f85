"""The entry daemon: HTTP interface, admission, routing and stream relay."""

from guavacleat.gateway.service import GatewayService

__all__ = ["GatewayService"]
