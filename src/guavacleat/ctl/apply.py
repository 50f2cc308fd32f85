"""``ctl apply``: validate a settings file, then store it by a conditional update.

The update expects the version that the change is based on (by default, the version read just
before writing). If another operator applied in between, it fails with a conflict that names the
version to rebase on. If the store's response is lost, the object is read back: if it equals this
file at the next version, the apply succeeded.
"""

import json

import json5
from twisted.internet import defer

from guavacleat.config.holder import CONFIG_KIND
from guavacleat.config.loader import parse_settings, read_settings
from guavacleat.store import StoreClient, StoreUnavailableError

__all__ = ["apply_settings", "AppliedSettings"]


class AppliedSettings:
    """The result of an apply: the deployment's name and the version now stored."""

    __slots__ = ("name", "version")

    def __init__(self, name: str, version: int):
        self.name = name
        self.version = version


@defer.inlineCallbacks
def apply_settings(store: StoreClient, path: str, base_version: int | None = None):
    """Apply the file at ``path``; fire with :class:`AppliedSettings`.

    Raises SettingsError if the file is invalid (nothing is written), ConflictError if another
    apply came first, StoreUnavailableError if the outcome is unknown.
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
        # The write may have succeeded with its response lost: read it back.
        current = yield store.get(CONFIG_KIND, deployment.name)
        if current is None or current.version != base_version + 1 or current.value != value:
            raise
        stored = current
    return AppliedSettings(deployment.name, stored.version)
