"""Deployment settings: one JSON5 file per deployment, validated as a whole on load."""

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
