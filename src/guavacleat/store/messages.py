"""Messages and error kinds of the object API, shared by its client and its stand-in."""

from guavacleat.errors import StoreError

__all__ = [
    "ChangesTooLargeError",
    "ConflictError",
    "FormerEraError",
    "HistoryLostError",
    "Listing",
    "Revision",
    "StoreUnavailableError",
    "StoredObject",
    "WatchBatch",
]

# ``expected_version`` that asks for the object not to exist yet.
MUST_NOT_EXIST = 0
# What the store takes as one object.
LARGEST_OBJECT_BYTES = 1 << 20


class Revision(int):
    """A number that a store gives to a change, with the store's era; the later era is the higher.

    A store that comes back from an older copy counts its numbers on from the copy's and raises its
    era. Both are packed into one integer, so that revisions compare, sort and travel as before; a
    store without eras is in era 0, where a revision is the store's own number.
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
        """The store's own number, unique within the era."""
        return self - (self.era << self.NUMBER_BITS)

    @classmethod
    def parse(cls, text: str) -> "Revision":
        """The reverse of ``str``; raise ValueError if ``text`` is none."""
        era, dot, number = text.rpartition(".")
        return cls.of(int(era) if dot else 0, int(number))

    def __str__(self):
        return f"{self.era}.{self.number}" if self.era else str(int(self))

    def __format__(self, spec):
        return format(str(self) if not spec else int(self), spec)


class StoredObject:
    """One object as the store holds it.

    :param version: per-object version, 1 on creation, +1 on each update.
    :param revision: store-wide sequence number of the write that made this version. Both are
        plain numbers on the wire and a :class:`Revision` where the client hands them out.
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
        self.begin_anew()

    def begin_anew(self) -> None:
        """Forget what was read: the store came back from a copy meanwhile."""
        self.objects: list[StoredObject] = []
        self.after: str | None = None
        self.revision: int | None = None

    def add(self, page: WatchBatch, after: str | None) -> None:
        """Take in the next page, unless a page of another era was read before."""
        if self.revision is not None and self.revision.era != page.revision.era:
            self.begin_anew()
            return
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


class FormerEraError(StoreUnavailableError):
    """The store came back from a copy: what the call builds on, or its answer, is from before."""


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
