"""Sidecar process of one endpoint: proxies generations, renews the endpoint's lease and drains."""

from guavacleat.sidecar.service import SidecarService

__all__ = ["SidecarService"]
