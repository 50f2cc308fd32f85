"""Moving running generations off engines that are leaving."""

from guavacleat.migration.evacuation import Evacuator

__all__ = ["Evacuator"]
