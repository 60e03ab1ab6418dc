"""Runs the measurements: ``python -m bench --only all`` or the name of one."""

from __future__ import annotations

import argparse
import asyncio
import importlib
import os
import platform
import signal
import subprocess
import sys
from concurrent.futures import ThreadPoolExecutor
from typing import TYPE_CHECKING

import msgspec
import psutil
from tabulate import tabulate

from bench.measure.measurement import Measurement
from mastickeel.logs import configure

if TYPE_CHECKING:
    from collections.abc import Sequence

ALL = "all"
MODULES_BY_NAME = {
    "control": "bench.measure.control",
    "path": "bench.measure.path",
    "relay": "bench.measure.relay",
    "dispatch": "bench.measure.dispatch",
    "load": "bench.measure.load",
    "billing": "bench.measure.billing",
    "admission": "bench.measure.admission",
    "quality": "bench.measure.quality",
    "exposure": "bench.measure.exposure",
    "capacity": "bench.measure.capacity",
    "placing": "bench.measure.placing",
    "broadcast": "bench.measure.broadcast",
}
"""Every measurement, the longest first."""
QUICK_AT_ONCE = 3
QUICK_VARIABLE = "BENCH_QUICK"
BYTES_PER_GIGABYTE = 1024**3
QUICK_LIMIT_SECONDS = 120
LIMIT_SECONDS = 1_800
EXIT_FAILED = 1
EXIT_USAGE = 2


def main() -> int:
    """Runs what the arguments name.

    Returns:
        0 when every module ran, whether its targets were met or not; 1 when one failed.
    """
    parser = argparse.ArgumentParser(prog="python -m bench", description=__doc__)
    parser.add_argument("--only", default=ALL, help=f"{ALL} or {', '.join(MODULES_BY_NAME)}")
    options = parser.parse_args()
    if options.only == ALL:
        return run_all()
    if options.only not in MODULES_BY_NAME:
        print(f"There is no measurement {options.only!r}.", file=sys.stderr)
        return EXIT_USAGE
    return run_one(options.only)


def run_all() -> int:
    """Runs each measurement in a process of its own, so that none finds another's memory.

    A full run takes one after the other; a quick one, which is no more than an indication, a few
    at a time.
    """
    print(describe_machine(), file=sys.stderr)
    with ThreadPoolExecutor(QUICK_AT_ONCE if is_quick() else 1) as pool:
        ended_well = list(pool.map(run_in_process, MODULES_BY_NAME))
    return 0 if all(ended_well) else EXIT_FAILED


def run_in_process(name: str) -> bool:
    """Runs one measurement in a process of its own; one that does not end is a failure.

    Args:
        name: The measurement.

    Returns:
        Whether it ended well.
    """
    limit = QUICK_LIMIT_SECONDS if is_quick() else LIMIT_SECONDS
    command = [sys.executable, "-m", "bench", "--only", name]
    # A session of its own, so that the routers that it started can be ended with it.
    process = subprocess.Popen(command, start_new_session=True)
    try:
        return process.wait(limit) == 0
    except subprocess.TimeoutExpired:
        os.killpg(process.pid, signal.SIGKILL)
        process.wait()
        text = f"did not end within {limit} s"
        report(name, [Measurement(f"{name}.failed: {text}", 0.0, "", met=False, note=text)], "")
        return False


def is_quick() -> bool:
    """Says whether a quick run was asked for."""
    return os.environ.get(QUICK_VARIABLE, "") not in ("", "0")


def run_one(name: str) -> int:
    """Runs one measurement and prints its figures."""
    configure("error")
    try:
        module = importlib.import_module(MODULES_BY_NAME[name])
        figures: Sequence[Measurement] = asyncio.run(module.measure(is_quick()))
    except Exception as error:
        text = f"{type(error).__name__}: {error}".splitlines()[0]
        report(name, [Measurement(f"{name}.failed: {text}", 0.0, "", met=False, note=text)], "")
        return EXIT_FAILED
    report(name, figures, f"seed {getattr(module, 'SEED', 'none')}, {describe_machine()}")
    return 0


def report(name: str, figures: Sequence[Measurement], heading: str) -> None:
    """Prints one JSON object a figure, and a table for people on standard error."""
    for figure in figures:
        print(encode(figure), flush=True)
    rows = [
        [
            figure.name,
            figure.value,
            figure.unit,
            figure.baseline,
            figure.ratio,
            figure.target,
            {True: "yes", False: "NO", None: ""}[figure.met],
            figure.note,
        ]
        for figure in figures
    ]
    headers = ["name", "value", "unit", "baseline", "ratio", "target", "met", "note"]
    print(f"\n{name}: {heading}", file=sys.stderr)
    print(tabulate(rows, headers=headers, floatfmt=".4g", missingval=""), file=sys.stderr)


def encode(figure: Measurement) -> str:
    """Returns a figure as one line of JSON."""
    return msgspec.json.encode(
        {
            "name": figure.name,
            "value": figure.value,
            "unit": figure.unit,
            "baseline": figure.baseline,
            "ratio": figure.ratio,
            "target": figure.target,
            "met": figure.met,
        }
    ).decode()


def describe_machine() -> str:
    """Says what the figures were taken on."""
    memory = psutil.virtual_memory().total / BYTES_PER_GIGABYTE
    cores = psutil.cpu_count()
    return f"{cores} cores, {memory:.0f} GB, Python {platform.python_version()}"


if __name__ == "__main__":
    sys.exit(main())
