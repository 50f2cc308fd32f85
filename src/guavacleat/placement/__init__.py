"""Endpoint selection: the load of each endpoint, and the choice among them."""

from guavacleat.placement.choice import Placement
from guavacleat.placement.load import EndpointLoad, LoadTracker, Run

__all__ = ["EndpointLoad", "LoadTracker", "Placement", "Run"]
