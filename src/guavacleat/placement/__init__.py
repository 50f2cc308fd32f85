"""Where a request goes: what runs on each endpoint, and which endpoint has room."""

from guavacleat.placement.choice import Placement
from guavacleat.placement.load import LoadBook, Run

__all__ = ["LoadBook", "Placement", "Run"]
