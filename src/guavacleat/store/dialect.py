"""The native wire format of the object API: paths, requests and responses."""

from guavacleat.store.messages import StoredObject, WatchBatch

__all__ = ["NativeDialect"]


class NativeDialect:
    """Paths under ``/v1``; an object is a JSON map of :class:`StoredObject`'s fields."""

    era_header = "store-era"

    def object_path(self, kind: str, name: str) -> str:
        return f"/v1/objects/{kind}/{name}"

    def list_path(self, kind: str, after: str | None) -> str:
        """The path of a listing; it has no paging, so ``after`` is always None."""
        del after
        return f"/v1/objects/{kind}"

    def watch_path(self, kind: str, since: int, wait: float) -> str:
        return f"/v1/watch/{kind}?since={since}&wait={wait}"

    def encode_put(self, kind: str, name: str, value, expected_version: int):
        """Return method, path and body of a conditional write."""
        body = {"value": value, "expected_version": expected_version}
        return "PUT", self.object_path(kind, name), body

    def decode_object(self, kind: str, body: dict) -> StoredObject:
        del kind
        return StoredObject.from_json(body)

    def conflicting_version(self, body: dict) -> int:
        """The object's current version, from the response to a failed conditional write."""
        return body["current_version"]

    def decode_listing(self, kind: str, body: dict):
        """Return a :class:`WatchBatch` and the name after which the next page starts, or None."""
        return self.decode_changes(kind, body), None

    def decode_changes(self, kind: str, body: dict) -> WatchBatch:
        objects = [self.decode_object(kind, item) for item in body["objects"]]
        return WatchBatch(body["revision"], objects)
