"""Formatting of network addresses."""

__all__ = ["format_address"]


def format_address(address: tuple[str, int]) -> str:
    """Format an ``(ip, port)`` pair as ``ip:port``."""
    host, port = address
    return f"{host}:{port}"
