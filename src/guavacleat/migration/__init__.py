"""Migration of running generations from engines that are leaving."""

from guavacleat.migration.evacuation import Evacuator

__all__ = ["Evacuator"]
