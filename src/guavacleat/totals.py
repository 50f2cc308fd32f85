"""Counts that can be summed field by field."""

__all__ = ["Summable", "sum_by_key", "sum_of"]


class Summable:
    """Base class of counts; the fields are the ``__slots__`` of the subclass, 0 by default."""

    __slots__ = ()

    def add(self, other):
        """Add ``other``, of the same type, to this object and return this object."""
        for slot in self.__slots__:
            setattr(self, slot, getattr(self, slot) + getattr(other, slot))
        return self


def sum_of(type, items):
    """The sum of several objects of ``type``, a subclass of :class:`Summable`."""
    total = type()
    for item in items:
        total.add(item)
    return total


def sum_by_key(type, parts: list[dict]) -> dict:
    """The sums of the values of several dictionaries, by key."""
    keys = set().union(*parts)
    return {key: sum_of(type, (part[key] for part in parts if key in part)) for key in keys}
