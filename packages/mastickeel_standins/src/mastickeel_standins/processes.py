"""Command line that runs a stand-in as a process.

Example: ``python -m mastickeel_standins.processes keyvalue --port 2379``.
"""

from __future__ import annotations

import asyncio
import importlib
import inspect
import signal
import sys
from typing import TYPE_CHECKING, Any

import fire
import fire.core

if TYPE_CHECKING:
    from collections.abc import Callable

CLASSES_BY_NAME = {
    "keyvalue": "KeyValueStandin",
    "instances": "InstanceListStandin",
    "weights": "WeightStoreStandin",
    "engine": "EngineStandin",
    "plain": "PlainStandin",
    "ratings": "RatingStandin",
}


async def serve(name: str, port: int, settings: dict[str, Any]) -> None:
    """Runs a stand-in until the process receives SIGINT or SIGTERM.

    Args:
        name: The name of the stand-in's module.
        port: The port; 0 chooses a free port.
        settings: Arguments of the stand-in's class.

    Raises:
        SystemExit: If the class does not accept one of the arguments.
    """
    module = importlib.import_module(f"mastickeel_standins.{name}")
    standin_class = getattr(module, CLASSES_BY_NAME[name])
    known = set(inspect.signature(standin_class).parameters) - {"clock"}
    unknown = sorted(settings.keys() - known)
    if unknown:
        raise SystemExit(
            f"{name} has no {', '.join(unknown)}; its settings are {', '.join(sorted(known))}."
        )
    standin = standin_class(**settings)
    stop_requested = asyncio.Event()
    loop = asyncio.get_running_loop()
    for signal_number in (signal.SIGINT, signal.SIGTERM):
        loop.add_signal_handler(signal_number, stop_requested.set)
    await standin.start(port)
    print(f"{name} listens on {standin.url}", flush=True)
    await stop_requested.wait()
    await standin.stop()


def make_command(name: str) -> Callable[..., None]:
    """Returns the command that runs a stand-in.

    Args:
        name: The name of the stand-in's module, which is imported only when the command runs.
    """

    def run(port: int = 0, **settings: Any) -> None:
        asyncio.run(serve(name, port, settings))

    run.__doc__ = f"""Runs the {name} stand-in.

    Args:
        port: The port; 0 chooses a free port.
        settings: Arguments of {CLASSES_BY_NAME[name]}.
    """
    return run


def build_fire_arguments(given: list[str]) -> list[str]:
    """Returns the arguments for fire, with --help as fire's own flag rather than a setting.

    Args:
        given: The command-line arguments.
    """
    if "--help" not in given or "--" in given:
        return given
    return [*(argument for argument in given if argument != "--help"), "--", "--help"]


def main() -> None:
    """Runs the command named on the command line."""
    fire.core.Display = lambda lines, out: print("\n".join(lines), file=out)
    commands = {name: make_command(name) for name in CLASSES_BY_NAME}
    fire.Fire(commands, command=build_fire_arguments(sys.argv[1:]), name="mastickeel-standins")


if __name__ == "__main__":
    main()
