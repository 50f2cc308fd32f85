"""Operator commands: apply a settings file and read status."""

from guavacleat.ctl.apply import apply_settings
from guavacleat.ctl.status import read_status

__all__ = ["apply_settings", "read_status"]
