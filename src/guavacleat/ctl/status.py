"""``ctl status``: the stored configurations and endpoints."""

from twisted.internet import defer

from guavacleat.config.holder import CONFIG_KIND
from guavacleat.evacuations.objects import EVACUATION_KIND, decode_evacuation
from guavacleat.membership.records import ENDPOINT_KIND
from guavacleat.store import StoreClient

__all__ = ["read_status"]


@defer.inlineCallbacks
def read_status(store: StoreClient):
    """Fire with lines of text that describe configurations and endpoints."""
    configs = yield store.list_objects(CONFIG_KIND)
    endpoints = yield store.list_objects(ENDPOINT_KIND)
    evacuations = yield store.list_objects(EVACUATION_KIND)
    if not configs.objects and not endpoints.objects:
        return ["nothing applied yet; run `guavacleat ctl apply FILE`."]
    lines = [f"store: era {store.era or 0} (number of restores from a backup)"] if store.era else []
    lines += [f"configuration {obj.name}: version {obj.version}" for obj in configs.objects]
    lines += [
        f"endpoint {obj.name}: service {obj.value['service']},"
        f" {'draining' if obj.value['draining'] else 'serving'} at {obj.value['address']},"
        f" heartbeat {obj.value['beat']}"
        for obj in endpoints.objects
    ]
    changes = map(decode_evacuation, evacuations.objects)
    lines += [
        f"data centre {change.data_centre}: evacuated since revision {change.revision}"
        for change in changes
        if change.evacuated
    ]
    return lines
