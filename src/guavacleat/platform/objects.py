"""The platform's form of the object API, as a dialect of the product's store client."""

from urllib.parse import quote

from eliot import log_message

from guavacleat.store.messages import MUST_NOT_EXIST, StoredObject, WatchBatch

__all__ = ["CONFIG_KIND", "CONFIG_NAME", "ENDPOINT_KIND", "PlatformDialect"]

CONFIG_KIND = "config"
CONFIG_NAME = "main"
ENDPOINT_KIND = "servers"
MS = 1000


class PlatformDialect:
    """Objects are ``{metadata, spec, status}``; versions are the store's revisions."""

    era_header = "store-era"

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
        items = body["items"]
        objects = self._readable(kind, ((item, False) for item in items))
        more = body.get("hasMore") and items
        return WatchBatch(body["storeRevision"], objects), _last_name(items) if more else None

    def decode_changes(self, kind: str, body: dict) -> WatchBatch:
        events = ((event.get("object"), bool(event.get("tombstone"))) for event in body["events"])
        return WatchBatch(body["storeRevision"], self._readable(kind, events))

    def _readable(self, kind: str, items) -> list[StoredObject]:
        """Decode ``(object, deleted)`` pairs, leaving out what is not as described.

        Let through as an error, one such object would fail each later call that brings it again:
        a watch would never hear of any change after it.
        """
        decoded = (self._try_decode(kind, item, deleted) for item, deleted in items)
        return [stored for stored in decoded if stored is not None]

    def _try_decode(self, kind: str, item, deleted: bool) -> StoredObject | None:
        try:
            return self.decode_object(kind, item, deleted)
        except (KeyError, TypeError, AttributeError) as exc:
            log_message(message_type="store:object-unreadable", kind=kind, error=repr(exc))
            return None


def _last_name(items: list[dict]) -> str:
    """The name after which a listing goes on."""
    return items[-1]["metadata"]["name"]
