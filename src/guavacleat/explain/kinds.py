"""The kinds of causes of requests' outcomes."""

import enum

__all__ = ["Cause", "CauseKind"]


class CauseKind(enum.Enum):
    """What determined a request's outcome; the report prints the values."""

    ON_TIME = "on time"
    LATE_QUEUED = "waited for room"
    LATE_FIRST_EVENT = "first event late"
    LATE_MIGRATION = "pause of a move"
    LATE_PAUSE = "other pause"
    LATE_ANSWER = "late answer"
    ENGINE_TERMINATED = "engine left"
    ENGINE_CRASHED = "engine crashed"
    BEFORE_FIRST_EVENT = "engine gone before first event"
    GATEWAY_STOPPED = "gateway stopped"
    GATEWAY_DIED = "gateway gone"
    NOT_ALLOWED = "not allowed"
    NO_ROOM = "refused: no room"
    QUARANTINED = "refused: crashes endpoints"
    EVACUATED = "refused: data centre evacuated"
    COLD = "refused: endpoint cold"
    LIMITED = "refused: endpoint limits its rate"
    PAUSED = "refused: endpoint asked for a pause"
    REFUSED = "refused: other"
    EXPIRED = "time up"
    INCOMPLETE_ANSWER = "no whole answer"
    CALLER_DISCONNECTED = "caller left"
    ENDPOINT_FAILED = "endpoint failed"
    UNKNOWN = "unknown"


class Cause:
    """A :class:`CauseKind`, and one sentence that explains it."""

    __slots__ = ("kind", "sentence")

    def __init__(self, kind: CauseKind, sentence: str):
        self.kind = kind
        self.sentence = sentence
