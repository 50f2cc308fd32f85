"""The platform's form of the object API, as a dialect of the product's store client."""

from urllib.parse import quote

from guavacleat.store.messages import MUST_NOT_EXIST, StoredObject, WatchBatch

__all__ = ["CONFIG_KIND", "CONFIG_NAME", "ENDPOINT_KIND", "PlatformDialect"]

CONFIG_KIND = "config"
CONFIG_NAME = "main"
ENDPOINT_KIND = "servers"
MS = 1000


class PlatformDialect:
    """Objects are ``{metadata, spec, status}``; versions are the store's revisions."""

    def object_path(self, kind: str, name: str) -> str:
        return f"/-/objects/{quote(kind)}/{quote(name)}"

    def list_path(self, kind: str, after: str | None) -> str:
        query = f"?after={quote(after)}" if after else ""
        return f"/-/objects/{quote(kind)}{query}"

    def watch_path(self, kind: str, since: int, wait: float) -> str:
        return f"/-/objects/{quote(kind)}?watch={since}&waitMs={int(wait * MS)}"

    def encode_put(self, kind: str, name: str, value, expected_version: int):
        """Return method, path and body of a conditional write."""
        metadata = {"name": name, "finalizers": []}
        if expected_version == MUST_NOT_EXIST:
            return "POST", f"/-/objects/{quote(kind)}", {"metadata": metadata, "spec": value}
        metadata["revision"] = expected_version
        return "PUT", self.object_path(kind, name), {"metadata": metadata, "spec": value}

    def decode_object(self, kind: str, body: dict, deleted: bool = False) -> StoredObject:
        metadata = body["metadata"]
        revision = metadata["revision"]
        return StoredObject(
            kind, metadata["name"], revision, revision, body.get("spec"), deleted=deleted
        )

    def conflicting_version(self, body: dict) -> int:
        """A conflict is answered with the object as it is."""
        body = body.get("object", body)
        return (body.get("metadata") or {}).get("revision", MUST_NOT_EXIST)

    def decode_listing(self, kind: str, body: dict):
        """Return a :class:`WatchBatch` and the name to go on after, None at the end."""
        objects = [self.decode_object(kind, item) for item in body["items"]]
        more = body.get("hasMore") and objects
        return WatchBatch(body["storeRevision"], objects), objects[-1].name if more else None

    def decode_changes(self, kind: str, body: dict) -> WatchBatch:
        objects = [
            self.decode_object(kind, event["object"], deleted=bool(event.get("tombstone")))
            for event in body["events"]
        ]
        return WatchBatch(body["storeRevision"], objects)
