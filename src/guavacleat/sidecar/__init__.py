"""The process beside one endpoint: forwards generations, holds the endpoint's lease, drains."""

from guavacleat.sidecar.service import SidecarService

__all__ = ["SidecarService"]
