"""The command line of the router."""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path

import fire

from mastickeel import __version__
from mastickeel.errors import MastickeelError, SettingsError
from mastickeel.settings import load
from mastickeel_router.process import serve as serve_settings

EXIT_OK = 0
EXIT_FAILED = 1
EXIT_BAD_SETTINGS = 3
DEMO_PORT = 8080


def serve(settings: str) -> None:
    """Serves callers, operators and peers until SIGTERM.

    Args:
        settings: Path of the TOML settings.
    """
    asyncio.run(serve_settings(load(Path(settings))))


def check(settings: str, gateway: bool = False) -> None:
    """Checks settings and lists all their faults.

    Args:
        settings: Path of the TOML settings.
        gateway: Whether these are the settings of a gateway on a platform.
    """
    if gateway:
        from mastickeel_router.gateway.settings import load as load_gateway

        load_gateway(Path(settings))
    else:
        load(Path(settings))
    print(f"{settings}: no faults")


def demo(port: int = DEMO_PORT) -> None:
    """Runs one router with stand-ins for the store, engines and services, on 127.0.0.1.

    Args:
        port: Port for callers; operators get the next port.
    """
    from mastickeel_router.demo import run_demo

    asyncio.run(run_demo(port))


def version() -> None:
    """Prints the version."""
    print(__version__)


def main() -> None:
    """Runs the command line; exits with 0, 1 (failed), 2 (usage) or 3 (bad settings)."""
    # By default, fire shows help in a pager, which it starts as a child process.
    fire.core.Display = lambda lines, out: print("\n".join(lines), file=out)
    commands = {"serve": serve, "check": check, "demo": demo, "version": version}
    try:
        fire.Fire(commands, name="mastickeel-router")
    except SettingsError as error:
        print("\n".join(error.faults), file=sys.stderr)
        print(error.remedy, file=sys.stderr)
        sys.exit(EXIT_BAD_SETTINGS)
    except MastickeelError as error:
        print(str(error), file=sys.stderr)
        sys.exit(EXIT_FAILED)


if __name__ == "__main__":
    main()
