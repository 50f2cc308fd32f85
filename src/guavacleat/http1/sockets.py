"""Socket options that detect unreachable peers."""

import socket

__all__ = ["enable_dead_peer_detection"]

# Together these close a connection to an unreachable peer after about 3 s, instead of minutes with
# the kernel's defaults. A link that has healed counts as sound again after 3 s.
KEEPALIVE_IDLE_SECONDS = 1
KEEPALIVE_INTERVAL_SECONDS = 1
KEEPALIVE_PROBES = 2
USER_TIMEOUT_MS = 3000


def enable_dead_peer_detection(transport) -> None:
    """Enable TCP keepalive probes and a timeout for unacknowledged data, and disable Nagle."""
    get_handle = getattr(transport, "getHandle", None)
    if get_handle is None:
        return
    transport.setTcpNoDelay(True)
    sock = get_handle()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_SECONDS)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_SECONDS)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS)
