"""Admission of requests: per client account bounds, refusal as not run with a retry time."""

from guavacleat.admission.gate import Admission

__all__ = ["Admission"]
