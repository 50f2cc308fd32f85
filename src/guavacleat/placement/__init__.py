"""Where a request goes: what runs on each endpoint, and which endpoint has room."""

from guavacleat.placement.choice import Placement
from guavacleat.placement.load import EndpointLoad, LoadTracker, Run, sum_loads

__all__ = ["EndpointLoad", "LoadTracker", "Placement", "Run", "sum_loads"]
