"""Detects unreachable peers, without closing connections to peers that only read slowly.

TCP keepalive finds an unreachable peer of an idle connection. While data is unacknowledged the
kernel sends no keepalive probes, and its own limit (``TCP_USER_TIMEOUT``) also closes connections
whose peer acknowledges all it gets but has no room for more. :class:`UnreachablePeerDetector`
therefore asks the kernel whether the peer acknowledges anything at all.
"""

import contextlib
import socket
import struct

from eliot import log_message

from guavacleat.addresses import format_address

__all__ = [
    "SendState",
    "UnreachablePeerDetector",
    "configure_socket",
    "prepare_close",
    "read_send_state",
]

# Together these close an idle connection to an unreachable peer after about 3 s, instead of hours
# with the kernel's defaults. A link that has healed counts as sound again after 3 s.
KEEPALIVE_IDLE_SECONDS = 1
KEEPALIVE_INTERVAL_SECONDS = 1
KEEPALIVE_PROBES = 2
UNREACHABLE_AFTER_SECONDS = 3.0
POLL_SECONDS = 0.5
MAX_IDLE_POLLS = 2
# Maximum interval between retransmissions, and between the probes to a peer without room for more
# data: by default it grows to 2 min, and so would the time to detect that such a peer is gone.
MAX_PROBE_INTERVAL_MS = 1000
# Socket option of Linux 6.15 and later, which the socket module does not name yet.
TCP_RTO_MAX_MS = 44
DEFAULT_PROBE_INTERVAL_MS = 120000
# Fields of the kernel's struct tcp_info: tcpi_probes, tcpi_unacked, tcpi_last_ack_recv (ms),
# tcpi_bytes_acked, tcpi_notsent_bytes.
TCP_INFO_FIELDS = struct.Struct("=3xB 20xI 28xI 60xQ 16xI")


class SendState:
    """What the kernel knows of the data sent on a connection.

    :ivar pending: whether data is unsent or unacknowledged.
    :ivar unanswered: whether data or a probe was sent that the peer has not acknowledged.
    :ivar acknowledged_bytes: bytes that the peer has acknowledged since the connection was opened.
    :ivar silent_for: seconds since the last acknowledgement of any kind; None if the kernel does
        not say.
    """

    __slots__ = ("pending", "unanswered", "acknowledged_bytes", "silent_for")

    def __init__(self, pending, unanswered, acknowledged_bytes, silent_for):
        self.pending = pending
        self.unanswered = unanswered
        self.acknowledged_bytes = acknowledged_bytes
        self.silent_for = silent_for


def configure_socket(transport) -> None:
    """Enable keepalive probes, bound the retransmission interval and disable Nagle's algorithm."""
    get_handle = getattr(transport, "getHandle", None)
    if get_handle is None:
        return
    transport.setTcpNoDelay(True)
    sock = get_handle()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_SECONDS)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_SECONDS)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES)
    _set_probe_interval(sock, MAX_PROBE_INTERVAL_MS)


def prepare_close(transport) -> None:
    """Let the kernel send the rest of the data after the close, however slow the peer is.

    The kernel drops a closed connection without room for data once its probes reach their maximum
    interval.
    """
    get_handle = getattr(transport, "getHandle", None)
    if get_handle is not None:
        _set_probe_interval(get_handle(), DEFAULT_PROBE_INTERVAL_MS)


def _set_probe_interval(sock, milliseconds: int) -> None:
    with contextlib.suppress(OSError):  # Older kernels.
        sock.setsockopt(socket.IPPROTO_TCP, TCP_RTO_MAX_MS, milliseconds)


def read_send_state(transport) -> SendState | None:
    """The state of an open TCP transport; None if it is closed, no socket, or not known."""
    get_handle = getattr(transport, "getHandle", None)
    if get_handle is None or not transport.connected:
        return None
    try:
        info = get_handle().getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, TCP_INFO_FIELDS.size)
    except OSError as exc:
        log_message(message_type="connection:state-unknown", error=str(exc))
        return None
    if len(info) < TCP_INFO_FIELDS.size:
        log_message(message_type="connection:state-unknown", error="the kernel is too old")
        return None
    probes, unacked, silent_ms, acknowledged_bytes, unsent = TCP_INFO_FIELDS.unpack(info)
    return SendState(
        pending=bool(unacked or unsent),
        unanswered=bool(unacked or probes),
        acknowledged_bytes=acknowledged_bytes,
        # Emulated kernels leave it at 0.
        silent_for=silent_ms / 1000 if silent_ms else None,
    )


class _Watched:
    """What the last polls of a connection found.

    :ivar acknowledged_bytes: acknowledged bytes at the last poll; None if nothing was unanswered.
    :ivar silent_polls: polls in a row without an answer.
    :ivar idle_polls: polls in a row without data.
    """

    __slots__ = ("acknowledged_bytes", "silent_polls", "idle_polls")

    def __init__(self):
        self.acknowledged_bytes: int | None = None
        self.silent_polls = 0
        self.idle_polls = 0

    def record(self, state: SendState, seconds: float) -> None:
        """Count a poll, ``seconds`` after the one before."""
        self.idle_polls = 0 if state.pending else self.idle_polls + 1
        if not state.unanswered:
            self.acknowledged_bytes = None
            self.silent_polls = 0
            return
        progressed = state.acknowledged_bytes != self.acknowledged_bytes
        acknowledged = state.silent_for is not None and state.silent_for <= seconds
        self.acknowledged_bytes = state.acknowledged_bytes
        self.silent_polls = 0 if progressed or acknowledged else self.silent_polls + 1


class UnreachablePeerDetector:
    """Aborts connections whose peer acknowledges nothing for ``UNREACHABLE_AFTER_SECONDS``.

    Only connections with data to send are polled, and no timer runs without any. Polls are counted
    in place of seconds, so that a process that was suspended doesn't take its own silence for its
    peers'.

    :param read_state: returns a transport's :class:`SendState`, or None if it has none.
    """

    def __init__(self, reactor, read_state=read_send_state):
        self.reactor = reactor
        self.read_state = read_state
        self.watched_by_transport: dict[object, _Watched] = {}
        self._polled_at = 0.0

    def data_sent(self, transport) -> None:
        """Watch a connection until all of its data is acknowledged."""
        watched = self.watched_by_transport.get(transport)
        if watched is not None:
            watched.idle_polls = 0
            return
        if not self.watched_by_transport:
            self._schedule()
        self.watched_by_transport[transport] = _Watched()

    def _schedule(self) -> None:
        self._polled_at = self.reactor.seconds()
        self.reactor.callLater(POLL_SECONDS, self._poll)

    def _poll(self) -> None:
        elapsed = self.reactor.seconds() - self._polled_at
        try:
            for transport, watched in list(self.watched_by_transport.items()):
                if not self._check(transport, watched, elapsed):
                    del self.watched_by_transport[transport]
        finally:
            if self.watched_by_transport:
                self._schedule()

    def _check(self, transport, watched: _Watched, elapsed: float) -> bool:
        """Check a connection's peer; return whether to check it again."""
        state = self.read_state(transport)
        if state is None:
            return False
        watched.record(state, elapsed)
        if watched.silent_polls * POLL_SECONDS < UNREACHABLE_AFTER_SECONDS:
            # The transport may have more data, which the kernel gets before the next poll.
            return watched.idle_polls < MAX_IDLE_POLLS
        peer = transport.getPeer()
        log_message(
            message_type="connection:unreachable", peer=format_address((peer.host, peer.port))
        )
        transport.abortConnection()
        return False
