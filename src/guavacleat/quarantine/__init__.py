"""Recognising requests that crash the endpoints that run them, and keeping them from more."""

from guavacleat.quarantine.book import CrashBook
from guavacleat.quarantine.fingerprint import fingerprint, format_fingerprint
from guavacleat.quarantine.guard import Liveness, QuarantineGuard
from guavacleat.quarantine.messages import Standing, StandingKind

__all__ = [
    "CrashBook",
    "Liveness",
    "QuarantineGuard",
    "Standing",
    "StandingKind",
    "fingerprint",
    "format_fingerprint",
]
