"""Evacuated data centres: whose endpoints must get no new requests."""

from guavacleat.evacuations.register import EvacuationChange, EvacuationRegister

__all__ = ["EvacuationChange", "EvacuationRegister"]
