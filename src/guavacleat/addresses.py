"""Addresses as text."""

__all__ = ["format_address"]


def format_address(address: tuple[str, int]) -> str:
    """``ip:port`` of an ``(ip, port)`` pair."""
    host, port = address
    return f"{host}:{port}"
