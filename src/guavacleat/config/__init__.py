"""Deployment settings: one JSON-with-comments file per deployment, checked whole on load."""

from guavacleat.config.loader import load_settings, parse_settings, read_settings
from guavacleat.config.model import (
    ClientAccount,
    Deployment,
    Endpoint,
    Limits,
    PriorityClass,
    Service,
)

__all__ = [
    "ClientAccount",
    "Deployment",
    "Endpoint",
    "Limits",
    "PriorityClass",
    "Service",
    "load_settings",
    "parse_settings",
    "read_settings",
]
