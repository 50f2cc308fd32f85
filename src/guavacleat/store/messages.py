"""Messages and error kinds of the object API, shared by its client and its stand-in."""

from guavacleat.errors import StoreError

__all__ = [
    "ChangesTooLargeError",
    "ConflictError",
    "HistoryLostError",
    "Listing",
    "StoreUnavailableError",
    "StoredObject",
    "WatchBatch",
]

# ``expected_version`` that asks for the object not to exist yet.
MUST_NOT_EXIST = 0
# What the store takes as one object.
LARGEST_OBJECT_BYTES = 1 << 20


class StoredObject:
    """One object as the store holds it.

    :param version: per-object version, 1 on creation, +1 on each update.
    :param revision: store-wide sequence number of the write that made this version.
    :param value: a JSON value, at most a megabyte encoded.
    :param deleted: true in a watch's answer if the object is no more.
    """

    __slots__ = ("kind", "name", "version", "revision", "value", "deleted")

    def __init__(
        self, kind: str, name: str, version: int, revision: int, value, deleted: bool = False
    ):
        self.deleted = deleted
        self.kind = kind
        self.name = name
        self.version = version
        self.revision = revision
        self.value = value

    def to_json(self) -> dict:
        return {slot: getattr(self, slot) for slot in self.__slots__}

    @classmethod
    def from_json(cls, body: dict) -> "StoredObject":
        return cls(**{slot: body[slot] for slot in cls.__slots__ if slot in body})


class WatchBatch:
    """Changes to one kind after a revision: ``objects`` in revision order, up to ``revision``."""

    __slots__ = ("revision", "objects")

    def __init__(self, revision: int, objects: list[StoredObject]):
        self.revision = revision
        self.objects = objects


class Listing:
    """The pages of a listing that were read so far.

    :param after: the name after which it goes on.
    :param revision: the first page's: what changes while the later ones are read is then watched
        for, where the last page's would skip it.
    """

    __slots__ = ("objects", "after", "revision")

    def __init__(self):
        self.objects: list[StoredObject] = []
        self.after: str | None = None
        self.revision: int | None = None

    def add(self, page: WatchBatch, after: str | None) -> None:
        self.objects += page.objects
        self.after = after
        if self.revision is None:
            self.revision = page.revision


class ConflictError(StoreError):
    """A conditional update lost: the object is at ``current_version``, not the one expected."""

    def __init__(self, kind: str, name: str, expected: int, current_version: int):
        super().__init__(
            f"{kind}/{name} is at version {current_version}, not {expected}.",
            f"read version {current_version}, rebase the change on it and write again.",
        )
        self.current_version = current_version


class StoreUnavailableError(StoreError):
    """The store did not answer in time or answered with an outage; the write may have happened."""

    def __init__(self, detail: str):
        super().__init__(
            f"the object API did not answer: {detail}.",
            "retry later; a write may have taken effect, so read before writing again.",
        )


class HistoryLostError(StoreError):
    """The store forgot the writes a watch asked for."""

    def __init__(self, kind: str, since: int):
        super().__init__(
            f"the object API no longer holds the changes to {kind} after revision {since}.",
            "list the objects afresh and watch from the listing's revision.",
        )


class ChangesTooLargeError(StoreError):
    """The writes that a watch asked for are more than it wanted to read."""

    def __init__(self, kind: str, since: int):
        super().__init__(
            f"the changes to {kind} after revision {since} are too large to be read one by one.",
            "list the objects afresh: a listing holds each of them once.",
        )
