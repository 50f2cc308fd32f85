"""Where a run's gateways lost what their callers asked for, from their logs."""

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
