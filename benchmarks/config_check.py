"""CPU time to check a configuration with many client accounts.

Compares the daemons' check of stored plain JSON (``check_raw``) with parsing and checking the same
text as JSON5, as ``ctl apply`` does.

Usage: python benchmarks/config_check.py
"""

import json
import time
from pathlib import Path

import json5

import guavacleat
from guavacleat.config.loader import check_raw, check_settings

NILE = Path(guavacleat.__file__).parent / "examples" / "nile.json5"
ACCOUNT_COUNTS = (4_400, 44_000)


def cpu_ms(work) -> float:
    start = time.process_time()
    work()
    return (time.process_time() - start) * 1e3


def main():
    raw = json5.loads(NILE.read_text())
    for count in ACCOUNT_COUNTS:
        raw["client_accounts"] = [
            {"name": f"account-{n:05d}", "weight": 1 + n % 8} for n in range(count)
        ]
        text = json.dumps(raw)
        daemon = cpu_ms(lambda text=text: check_raw(json.loads(text)))
        ctl = cpu_ms(lambda text=text: check_settings(text))
        print(
            f"{count:6} accounts, {len(text) / 1e6:.2f} MB:"
            f" daemon check {daemon:8.0f} ms CPU, json5 parse and check {ctl:8.0f} ms CPU"
        )


if __name__ == "__main__":
    main()
