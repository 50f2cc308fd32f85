"""The platform's object API, as a dialect of the store client."""

from urllib.parse import quote

from eliot import log_message

from guavacleat.store.messages import MUST_NOT_EXIST, StoredObject, WatchBatch

__all__ = ["CONFIG_KIND", "CONFIG_NAME", "ENDPOINT_KIND", "EVACUATION_KIND", "PlatformDialect"]

CONFIG_KIND = "config"
CONFIG_NAME = "main"
ENDPOINT_KIND = "servers"
# Objects of this kind have the names of the evacuated data centres.
EVACUATION_KIND = "evacuations"
MS_PER_SECOND = 1000


class PlatformDialect:
    """Objects are ``{metadata, spec, status}``; an object's version is its store revision."""

    era_header = "store-era"

    def object_path(self, kind: str, name: str) -> str:
        return f"/-/objects/{quote(kind)}/{quote(name)}"

    def list_path(self, kind: str, after: str | None) -> str:
        query = f"?after={quote(after)}" if after else ""
        return f"/-/objects/{quote(kind)}{query}"

    def watch_path(self, kind: str, since: int, wait: float) -> str:
        return f"/-/objects/{quote(kind)}?watch={since}&waitMs={int(wait * MS_PER_SECOND)}"

    def encode_put(self, kind: str, name: str, value, expected_version: int):
        """Return method, path and body of a conditional write."""
        metadata = {"name": name, "finalizers": []}
        if expected_version == MUST_NOT_EXIST:
            return "POST", f"/-/objects/{quote(kind)}", {"metadata": metadata, "spec": value}
        metadata["revision"] = expected_version
        return "PUT", self.object_path(kind, name), {"metadata": metadata, "spec": value}

    def decode_object(self, kind: str, body: dict, deleted: bool = False) -> StoredObject:
        metadata = body["metadata"]
        name, revision = metadata["name"], metadata["revision"]
        if not isinstance(name, str) or not isinstance(revision, int):
            raise TypeError(f"{name!r} is not a name, or {revision!r} not a revision")
        return StoredObject(kind, name, revision, revision, body.get("spec"), deleted=deleted)

    def conflicting_version(self, body: dict) -> int:
        """The stored object's version, from the response to a conflicting write."""
        body = body.get("object", body)
        return (body.get("metadata") or {}).get("revision", MUST_NOT_EXIST)

    def decode_listing(self, kind: str, body: dict):
        """Return a :class:`WatchBatch` and the name to list after next, None at the end."""
        items = body["items"]
        objects = self._decode_all(kind, ((item, False) for item in items))
        more = body.get("hasMore") and objects
        return WatchBatch(body["storeRevision"], objects), objects[-1].name if more else None

    def decode_changes(self, kind: str, body: dict) -> WatchBatch:
        events = ((event.get("object"), bool(event.get("tombstone"))) for event in body["events"])
        return WatchBatch(body["storeRevision"], self._decode_all(kind, events))

    def _decode_all(self, kind: str, items) -> list[StoredObject]:
        """Decode ``(object, deleted)`` pairs, skipping invalid objects.

        Raising an exception would fail every later response that contains the object again, and
        the watch would receive no more changes.
        """
        decoded = (self._try_decode(kind, item, deleted) for item, deleted in items)
        return [stored for stored in decoded if stored is not None]

    def _try_decode(self, kind: str, item, deleted: bool) -> StoredObject | None:
        try:
            return self.decode_object(kind, item, deleted)
        except (KeyError, TypeError, AttributeError) as exc:
            log_message(message_type="store:object-unreadable", kind=kind, error=repr(exc))
            return None
