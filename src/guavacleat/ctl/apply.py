"""``ctl apply``: check a settings file, then write it whole by a conditional update.

The write expects the version the operator based the change on (by default, the version read
just before writing). If another operator applied in between, the write loses and the error
names the version to rebase on. If the store's answer is lost, the object is read back: if it
holds exactly this file at the next version, the apply took effect.
"""

import json

import json5
from twisted.internet import defer

from guavacleat.config.holder import CONFIG_KIND
from guavacleat.config.loader import parse_settings, read_settings
from guavacleat.store import StoreClient, StoreUnavailableError

__all__ = ["apply_settings", "AppliedSettings"]


class AppliedSettings:
    """The outcome of an apply: the deployment's name and the version now stored."""

    __slots__ = ("name", "version")

    def __init__(self, name: str, version: int):
        self.name = name
        self.version = version


@defer.inlineCallbacks
def apply_settings(store: StoreClient, path: str, base_version: int | None = None):
    """Apply the file at ``path``; fire with :class:`AppliedSettings`.

    Raises SettingsError if the file is refused (nothing written), ConflictError if another
    apply won, StoreUnavailableError if the store could not confirm either way.
    """
    text = read_settings(path)
    deployment = parse_settings(text, source=path)
    value = {"settings": json.loads(json.dumps(json5.loads(text)))}
    if base_version is None:
        current = yield store.get(CONFIG_KIND, deployment.name)
        base_version = current.version if current else 0
    try:
        stored = yield store.put(CONFIG_KIND, deployment.name, value, base_version)
    except StoreUnavailableError:
        # The write may have applied with its answer lost: read back before reporting.
        current = yield store.get(CONFIG_KIND, deployment.name)
        if current is None or current.version != base_version + 1 or current.value != value:
            raise
        stored = current
    return AppliedSettings(deployment.name, stored.version)
