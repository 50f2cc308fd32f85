"""The platform interface that the ingress uses."""

from guavacleat.platform.decode import decode_configuration, decode_endpoint
from guavacleat.platform.objects import (
    CONFIG_KIND,
    CONFIG_NAME,
    ENDPOINT_KIND,
    EVACUATION_KIND,
    PlatformDialect,
)
from guavacleat.platform.wire import PlatformWire

__all__ = ["PlatformAdapter"]


class PlatformAdapter:
    """The attributes are described where they are used.

    See :class:`~guavacleat.ingress.sources.StoreSource` and
    :class:`~guavacleat.ingress.service.IngressService`.
    """

    config_kind = CONFIG_KIND
    config_name = CONFIG_NAME
    endpoint_kind = ENDPOINT_KIND
    evacuation_kind = EVACUATION_KIND
    readiness_path = "/-/readyz"
    decode_configuration = staticmethod(decode_configuration)
    decode_endpoint = staticmethod(decode_endpoint)

    def __init__(self):
        self.wire = PlatformWire()
        self.dialect = PlatformDialect()
