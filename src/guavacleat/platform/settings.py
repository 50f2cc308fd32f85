"""Reads the settings file that the platform writes for each process: ``dotted.key=value`` lines."""

import os

from guavacleat.errors import SettingsError
from guavacleat.settings import Bounds, ProcessSettings, ResourceLimits

__all__ = ["SETTINGS_VARIABLE", "load_process_settings", "parse_process_settings", "settings_path"]

SETTINGS_VARIABLE = "GUAVACLEAT_BOOT"
DEFAULT_PATH = "/etc/guavacleat/node.conf"


def settings_path() -> str:
    """Path of this process's settings file."""
    return os.environ.get(SETTINGS_VARIABLE, DEFAULT_PATH)


def load_process_settings(path: str) -> ProcessSettings:
    """Read and validate the file; raise SettingsError if it is invalid."""
    try:
        with open(path, encoding="utf-8") as file:
            return parse_process_settings(file.read())
    except (OSError, UnicodeDecodeError) as exc:
        raise SettingsError(
            f"cannot read the platform's settings file {path}: {exc}.",
            f"set {SETTINGS_VARIABLE} to the path of a readable file.",
        ) from exc


def parse_process_settings(text: str) -> ProcessSettings:
    """Parse the text; unknown keys are ignored."""
    values = _Values(text)
    return ProcessSettings(
        instance=values.text("nodeName"),
        ip=values.text("ip"),
        data_centre=values.text("zone"),
        caller_address=values.address("listen.front"),
        readiness_address=values.address("listen.ready"),
        peer_ports=values.port_range("internalPorts"),
        store_address=values.address("platform.address"),
        limits=ResourceLimits(
            memory_bytes=int(values.number("limits.memoryMb", 150) * (1 << 20)),
            descriptors=int(values.number("limits.maxFds", 1024)),
            link_bytes_per_second=values.number("limits.linkMbps", 0) * 1e6 / 8 or None,
        ),
        bounds=Bounds(
            drain=values.number("bounds.drainMs", 2000) / 1000,
            stop_grace=values.number("bounds.graceS", 8),
            config_apply=values.number("bounds.configApplyMs", 2000) / 1000,
            retry_ratio=values.number("bounds.retryBudgetRatio", 0.2),
            retry_extra=values.number("bounds.budgetExtra", 0),
            retry_window=values.number("bounds.budgetWindowS", 10),
            prefix_reuse=values.number("bounds.reuseWindowS", 4),
            cold_overshoot=values.number("bounds.coldOvershoot", 1.5),
            cold_slack=values.number("bounds.coldSlack", 5),
            heartbeat=values.number("heartbeatMs", 1200) / 1000,
        ),
        regions_by_data_centre=values.table("zones"),
    )


class _Values:
    """The file's values by dotted key, with a method for each type of value."""

    def __init__(self, text: str):
        pairs = (line.partition("=") for line in text.splitlines() if "=" in line)
        self.text_by_key = {key.strip(): value.strip() for key, _, value in pairs}

    def text(self, key: str) -> str:
        value = self.text_by_key.get(key, "")
        if not value:
            raise SettingsError(
                f"the platform's settings have no {key}.", f"add a line {key}=VALUE."
            )
        return value

    def address(self, key: str) -> tuple[str, int]:
        host, _, port = self.text(key).rpartition(":")
        if not host or not port.isdigit():
            raise SettingsError(
                f"{key}={self.text(key)!r} is not IP:PORT.", f"write it like {key}=10.0.0.1:8740."
            )
        return host, int(port)

    def number(self, key: str, default: float) -> float:
        value = self.text_by_key.get(key, "")
        return self._to_number(key, value) if value else default

    def port_range(self, key: str) -> range:
        """Parse ``FIRST,LAST`` as an inclusive range of ports."""
        ports = [int(self._to_number(key, value)) for value in self.text(key).split(",")]
        return range(ports[0], ports[-1] + 1)

    def table(self, prefix: str) -> dict[str, str]:
        """The values of the keys ``PREFIX.NAME``, by name."""
        start = prefix + "."
        return {
            key.removeprefix(start): value
            for key, value in self.text_by_key.items()
            if key.startswith(start)
        }

    def _to_number(self, key: str, value: str) -> float:
        try:
            return float(value)
        except ValueError as exc:
            raise SettingsError(f"{key}={value!r} is not a number.", f"correct {key}.") from exc
