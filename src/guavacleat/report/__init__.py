"""Reports a run's failed and late requests by cause, from the gateways' logs."""

from guavacleat.report.engines import EngineHistory, engine_histories
from guavacleat.report.ledger import Ledger, Outcome, Result, Worth, make_ledger

__all__ = [
    "EngineHistory",
    "Ledger",
    "Outcome",
    "Result",
    "Worth",
    "engine_histories",
    "make_ledger",
]
