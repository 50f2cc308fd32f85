"""Detects requests that crash the endpoints that run them, and quarantines them."""

from guavacleat.quarantine.fingerprint import fingerprint, format_fingerprint, part_fingerprints
from guavacleat.quarantine.guard import Liveness, QuarantineGuard
from guavacleat.quarantine.messages import QuarantineState, QuarantineStatus
from guavacleat.quarantine.proofs import AnswerProgress
from guavacleat.quarantine.tracker import CrashTracker

__all__ = [
    "AnswerProgress",
    "CrashTracker",
    "Liveness",
    "QuarantineGuard",
    "QuarantineStatus",
    "QuarantineState",
    "fingerprint",
    "format_fingerprint",
    "part_fingerprints",
]
