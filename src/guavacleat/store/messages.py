"""Messages and errors of the object API, shared by its client and its stand-in."""

from guavacleat.errors import StoreError

__all__ = [
    "ChangesTooLargeError",
    "ConflictError",
    "StaleEraError",
    "HistoryLostError",
    "Listing",
    "Revision",
    "StoreUnavailableError",
    "StoredObject",
    "WatchBatch",
]

# The ``expected_version`` of an object that must not exist yet.
MUST_NOT_EXIST = 0
# The store's size limit for one object.
MAX_OBJECT_BYTES = 1 << 20


class Revision(int):
    """A store's sequence number of a change, combined with the store's era in the high bits.

    A store that is restored from a backup continues from the backup's number and increments its
    era. Both are packed into one integer, so that revisions compare and sort correctly. In era 0,
    and for a store without eras, a revision equals the store's number.
    """

    NUMBER_BITS = 47

    @classmethod
    def of(cls, era: int, number: int) -> "Revision":
        return cls((era << cls.NUMBER_BITS) + number)

    @property
    def era(self) -> int:
        return self >> self.NUMBER_BITS

    @property
    def number(self) -> int:
        """The store's number, unique within the era."""
        return self - (self.era << self.NUMBER_BITS)

    @classmethod
    def parse(cls, text: str) -> "Revision":
        """Parse the result of ``str``; raise ValueError if ``text`` is invalid."""
        era, dot, number = text.rpartition(".")
        return cls.of(int(era) if dot else 0, int(number))

    def __str__(self):
        return f"{self.era}.{self.number}" if self.era else str(int(self))

    def __format__(self, spec):
        return format(str(self) if not spec else int(self), spec)


class StoredObject:
    """One object as the store holds it.

    :param version: per-object version, 1 on creation, +1 on each update.
    :param revision: store-wide sequence number of the write that created this version. Both are
        plain numbers on the wire and a :class:`Revision` in what the client returns.
    :param value: a JSON value, at most a megabyte encoded.
    :param deleted: true in the response of a watch if the object was deleted.
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

    :ivar after: the name after which the next page starts.
    :ivar revision: the revision of the first page. A watch from there also returns the changes
        made while the later pages were read.
    """

    __slots__ = ("objects", "after", "revision")

    def __init__(self):
        self.reset()

    def reset(self) -> None:
        """Discard the pages: the store was restored from a backup meanwhile."""
        self.objects: list[StoredObject] = []
        self.after: str | None = None
        self.revision: int | None = None

    def add(self, page: WatchBatch, after: str | None) -> None:
        """Add the next page; start again if the pages before it are of another era."""
        if self.revision is not None and self.revision.era != page.revision.era:
            self.reset()
            return
        self.objects += page.objects
        self.after = after
        if self.revision is None:
            self.revision = page.revision


class ConflictError(StoreError):
    """A conditional update failed: the object is at ``current_version``, not the expected one."""

    def __init__(self, kind: str, name: str, expected: int, current_version: int):
        super().__init__(
            f"{kind}/{name} is at version {current_version}, not {expected}.",
            f"read version {current_version}, apply the change to it and write again.",
        )
        self.current_version = current_version


class StoreUnavailableError(StoreError):
    """The store did not respond in time or reported an error; a write may have been applied."""

    def __init__(self, detail: str):
        super().__init__(
            f"the object API is unavailable: {detail}.",
            "retry later; a write may have been applied, so read the object before writing again.",
        )


class StaleEraError(StoreUnavailableError):
    """The store was restored from a backup: the request or the response is of an earlier era."""


class HistoryLostError(StoreError):
    """The store no longer holds the writes that a watch requested."""

    def __init__(self, kind: str, since: int):
        super().__init__(
            f"the object API no longer holds the changes to {kind} after revision {since}.",
            "list the objects again and watch from the revision of the listing.",
        )


class ChangesTooLargeError(StoreError):
    """The writes that a watch requested exceed its size limit."""

    def __init__(self, kind: str, since: int):
        super().__init__(
            f"the changes to {kind} after revision {since} exceed the size limit of a watch.",
            "list the objects again: a listing contains only the latest version of each.",
        )
