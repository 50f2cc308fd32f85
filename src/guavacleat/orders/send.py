"""Sends an operator's order to the sidecar of one endpoint, with a new fencing number."""

from twisted.internet import defer
from twisted.internet.error import ConnectError

from guavacleat.errors import GuavacleatError, NotRunError
from guavacleat.membership.records import ENDPOINT_KIND
from guavacleat.orders.fencing import issue_fencing_number
from guavacleat.protocol.gen.sidecar.ttypes import NotRun, Order, StaleOrder
from guavacleat.store import StoreClient

__all__ = ["ORDER_KINDS", "OrderLostError", "OrderRefusedError", "send_order"]

ORDER_KINDS = ("model", "adapter", "version", "role")
ORDER_TIMEOUT_SECONDS = 10.0


class OrderRefusedError(GuavacleatError):
    """The order was not applied."""


class OrderLostError(GuavacleatError):
    """The sidecar's response was lost; the order may have been applied."""


@defer.inlineCallbacks
def send_order(clock, store: StoreClient, pool, endpoint: str, kind: str, target: str):
    """Order ``endpoint`` to load or become ``target``; fire with the fencing number used.

    Raises OrderRefusedError if it was not applied, OrderLostError if its outcome is unknown,
    ConflictError if another operator issued an order at the same time.
    """
    if kind not in ORDER_KINDS:
        raise OrderRefusedError(
            f"{kind!r} is not a kind of order.", f"use one of {', '.join(ORDER_KINDS)}."
        )
    stored = yield store.get(ENDPOINT_KIND, endpoint)
    if stored is None:
        raise OrderRefusedError(
            f"no sidecar has registered endpoint {endpoint!r}.",
            "look up the endpoint's name with `guavacleat ctl status`.",
        )
    fencing = yield issue_fencing_number(store, endpoint)
    try:
        client = yield pool.client(stored.value["address"])
        pending = client.order(Order(kind=kind, target=target, fencing=fencing))
        pending.addTimeout(ORDER_TIMEOUT_SECONDS, clock)
        yield pending
    except ConnectError as exc:
        raise OrderRefusedError(
            f"the sidecar of {endpoint} cannot be reached: {exc}.",
            "check its state with `guavacleat ctl status` and send the order again.",
        ) from exc
    except StaleOrder as exc:
        raise OrderRefusedError(
            f"order {fencing} to {endpoint} is older than order {exc.newest}.",
            "another operator sent a newer order; check the status and send yours again if needed.",
        ) from exc
    except NotRun as exc:
        raise NotRunError(
            f"the sidecar of {endpoint} refused the order: {exc.reason}.",
            "send the order again once the object API is available.",
            retry_after=exc.retry_after_ms / 1000,
        ) from exc
    except Exception as exc:  # noqa: BLE001 - any loss of the response
        raise OrderLostError(
            f"the sidecar of {endpoint} did not answer order {fencing}.",
            "send the order again; its higher fencing number invalidates the lost one.",
        ) from exc
    return fencing
