"""Demo: a router and stand-ins for store, engines and services, in one process on 127.0.0.1."""

from __future__ import annotations

from typing import TYPE_CHECKING

from mastickeel import settings as settings_module
from mastickeel.changes import hash_secret
from mastickeel.clock import Clock
from mastickeel.logs import configure
from mastickeel.model import (
    Account,
    CallRule,
    Delta,
    Endpoint,
    Pool,
    PoolKind,
    Service,
    Version,
)
from mastickeel_router.router import Router
from mastickeel_router.signals import install_stop_handlers

if TYPE_CHECKING:
    from mastickeel_standins.engine import EngineStandin
    from mastickeel_standins.keyvalue import KeyValueStandin
    from mastickeel_standins.plain import PlainStandin

ACCOUNT_KEY = "demo-key"
OPERATOR_TOKEN = "demo-operator"
ENGINE_COUNT = 2
ANSWER_TOKENS = 24
EVENT_INTERVAL_MS = 40.0
LEAVE_MS = 0
CHEAP_VERSION = "draft-small@1"
EXPENSIVE_VERSION = "draft-large@1"
SETTINGS = """
[instance]
id = "demo-1"
data_centre = "demo"
region = "demo"

[callers]
listen = "127.0.0.1:{callers}"

[admin]
listen = "127.0.0.1:{admin}"

[peers]
listen = "127.0.0.1:0"

[store]
urls = ["127.0.0.1:{store}"]

[shutdown]
leave_ms = {leave}

[pools.draft-models]
checks_fencing = true
checks_orderer = false

[[operators]]
id = "demo"
token_sha256 = "{token}"
"""


async def run_demo(port: int) -> None:
    """Serves the demo until SIGTERM or Ctrl-C.

    Args:
        port: Port for callers; operators get the next port.
    """
    from mastickeel_standins.engine import EngineStandin
    from mastickeel_standins.keyvalue import KeyValueStandin
    from mastickeel_standins.plain import PlainStandin

    configure("warning", "demo-1")
    stop = install_stop_handlers()
    versions = (CHEAP_VERSION, EXPENSIVE_VERSION)
    store = KeyValueStandin()
    engines = [
        EngineStandin(
            f"engine-{number}", models=versions, tokens=ANSWER_TOKENS, piece_ms=EVENT_INTERVAL_MS
        )
        for number in range(1, ENGINE_COUNT + 1)
    ]
    register = PlainStandin("order-register")
    standins: tuple[KeyValueStandin | EngineStandin | PlainStandin, ...] = (
        store,
        *engines,
        register,
    )
    for standin in standins:
        await standin.start()
    router = Router(_settings(port, store.port), Clock())
    await router.start()
    await _configure(router, engines, register)
    print(_instructions(port), flush=True)
    await stop.wait()
    await router.drain()
    await router.stop()
    for standin in reversed(standins):
        await standin.stop()


def _settings(port: int, store_port: int) -> settings_module.Settings:
    """Returns the demo's settings, parsed and checked like any other."""
    return settings_module.parse(
        SETTINGS.format(
            callers=port,
            admin=port + 1,
            store=store_port,
            leave=LEAVE_MS,
            token=hash_secret(OPERATOR_TOKEN),
        )
    )


async def _configure(router: Router, engines: list[EngineStandin], register: PlainStandin) -> None:
    """Creates the demo's account, versions, pools and service in one change."""
    delta = demo_delta(
        {engine.endpoint_id: f"127.0.0.1:{engine.port}" for engine in engines},
        f"127.0.0.1:{register.port}",
    )
    change = await router.writer.commit(delta, base=0, author="demo", text="the demo's objects")
    await router.configuration.wait_for_revision(change.revision)


def demo_delta(engine_addresses_by_id: dict[str, str], service_address: str) -> Delta:
    """Returns the change that creates the demo's objects.

    Args:
        engine_addresses_by_id: Address of each engine.
        service_address: Address of the plain service.

    Returns:
        The change.
    """
    endpoints = tuple(
        Endpoint(endpoint_id, address, "demo")
        for endpoint_id, address in engine_addresses_by_id.items()
    )
    service_endpoint = Endpoint("register-1", service_address, "demo")
    account = Account(
        "demo",
        key_hashes=(hash_secret(ACCOUNT_KEY),),
        allowed=("draft-small", "draft-large"),
        services=("order-register",),
        quality_target=0.0,
    )
    return Delta(
        accounts=(account,),
        versions=(
            Version(CHEAP_VERSION, "draft-small", "draft-models", price_in=100, price_out=400),
            Version(
                EXPENSIVE_VERSION, "draft-large", "draft-models", price_in=900, price_out=3_600
            ),
        ),
        pools=(
            Pool("draft-models", PoolKind.ENGINE, endpoints),
            Pool("order-register", PoolKind.SERVICE, (service_endpoint,)),
        ),
        services=(Service("order-register", "order-register", (CallRule("GET", "*", True),)),),
    )


def _instructions(port: int) -> str:
    """Returns the text that the demo prints, with two commands to try."""
    callers, admin = f"http://127.0.0.1:{port}", f"http://127.0.0.1:{port + 1}"
    message = '{"role": "user", "content": "Close Long Street"}'
    body = f'{{"model": "auto", "stream": true, "messages": [{message}]}}'
    ask = f"curl -sN {callers}/v1/chat/completions -H 'Authorization: Bearer {ACCOUNT_KEY}' "
    apply = f".venv/bin/mastickeelctl apply --url {admin} --token {OPERATOR_TOKEN}"
    return (
        f"mastickeel demo on {callers} (operators on {admin}). Ctrl-C stops it.\n\n"
        f"Ask for a streamed answer:\n  {ask}-d '{body}'\n\n"
        "Withdraw the version that answered, then ask again:\n"
        f"  echo 'withdraw version {CHEAP_VERSION}' | {apply}\n"
    )
