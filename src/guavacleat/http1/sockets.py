"""Socket options for links that go silent without a reset."""

import socket

__all__ = ["enable_dead_peer_detection"]

# A peer that lost power or sits behind a partition answers nothing: without these a connection to
# it would hang for minutes. Together they end it within some 3 s, inside the 3 s after which a
# healed link counts as sound again.
IDLE_SECONDS = 1
PROBE_SECONDS = 1
PROBES = 2
UNACKNOWLEDGED_MS = 3000


def enable_dead_peer_detection(transport) -> None:
    """Let the kernel probe an idle connection and give up bytes that nobody acknowledges."""
    handle = getattr(transport, "getHandle", None)
    if handle is None:
        return
    transport.setTcpNoDelay(True)
    sock = handle()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, IDLE_SECONDS)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, PROBE_SECONDS)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, PROBES)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, UNACKNOWLEDGED_MS)
