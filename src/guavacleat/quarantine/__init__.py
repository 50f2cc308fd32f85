"""Recognising requests that crash the endpoints that run them, and keeping them from more."""

from guavacleat.quarantine.fingerprint import fingerprint, format_fingerprint

__all__ = ["fingerprint", "format_fingerprint"]
