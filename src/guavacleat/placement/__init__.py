"""Where a request goes: what runs on each endpoint, and which endpoint has room."""

from guavacleat.placement.choice import Placement
from guavacleat.placement.load import EndpointLoad, LoadBook, Run, sum_loads

__all__ = ["EndpointLoad", "LoadBook", "Placement", "Run", "sum_loads"]
