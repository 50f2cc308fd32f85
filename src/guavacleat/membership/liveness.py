"""Probes whether an endpoint's process is still running."""

from eliot import log_message
from twisted.internet.error import ConnectionRefusedError

from guavacleat.membership.entries import EndpointState
from guavacleat.membership.registry import EndpointRegistry
from guavacleat.quarantine import Liveness

__all__ = ["EndpointProbe"]


class EndpointProbe:
    """Connects to an endpoint's address; a refused connection means that its process has ended."""

    def __init__(self, pool, registry: EndpointRegistry):
        self.pool = pool
        self.registry = registry

    async def __call__(self, endpoint: str) -> Liveness:
        entry = self.registry.entries_by_id.get(endpoint)
        if entry is None or entry.state is EndpointState.DRAINING:
            # An announced departure is not a crash.
            return Liveness.ALIVE
        try:
            connection = await self.pool.connect_new(entry.address)
        except ConnectionRefusedError:
            return Liveness.ENDED
        except Exception as exc:  # noqa: BLE001 - unreachable: neither refused nor alive
            log_message(message_type="endpoint:unknown", endpoint=endpoint, error=repr(exc))
            return Liveness.UNKNOWN
        connection.abandon()
        # The address may have been reused by another process.
        return Liveness.ALIVE if self.registry.is_current(entry) else Liveness.UNKNOWN
