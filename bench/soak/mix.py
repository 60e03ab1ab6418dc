"""What the callers of both users send."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from bench.fleets.callers import Account, ChatSend, ServiceSend
from mastickeel.changes import hash_secret
from mastickeel.model import Account as ConfiguredAccount
from mastickeel.model import CallRule, Delta, Endpoint, Pool, PoolKind, Service, Version
from mastickeel_router.demo import CHEAP_VERSION, EXPENSIVE_VERSION
from mastickeel_router.requests import AUTO_MODEL

if TYPE_CHECKING:
    import random

WOLANSKI = Account("wolanski", "wolanski-key")
FREMANTLE = Account("fremantle", "fremantle-key")
POOL = "draft-models"
SERVICES = ("order-register", "berth-control")
LONG_PROMPT = 200
LONG_TOKENS = 60
SHORT_TOKENS = 8
KEYED_SHARE = 0.7
READ_SHARE = 0.3
SESSION_SHARE = 0.4


@dataclass(frozen=True)
class Kind:
    """One sort of chat request of a user."""

    account: Account
    name: str
    prompt: str


KINDS = (
    Kind(WOLANSKI, "draft", "draft the order that closes the road " * 8),
    Kind(WOLANSKI, "review", "review these consultation responses " * 8),
    Kind(WOLANSKI, "summary", "summarise the objections"),
    Kind(FREMANTLE, "incident-summary", "summarise the trip at berth 4"),
    Kind(FREMANTLE, "notice", "draft the notice to the master"),
)


def tokens_of(version_id: str, prompt_length: int) -> int:
    """Returns how many pieces an answer has: long drafts, short summaries."""
    return LONG_TOKENS if prompt_length > LONG_PROMPT else SHORT_TOKENS


def draw_chat(draw: random.Random, operation: str, session: str) -> ChatSend:
    """Draws a chat request of one of the users, in the session or outside of any."""
    kind = draw.choice(KINDS)
    in_session = draw.random() < SESSION_SHARE
    return ChatSend(
        operation,
        kind.account,
        stream=draw.random() < 0.7,
        session=session if in_session else "",
        # A session whose caller names versions would move by itself.
        model=AUTO_MODEL if in_session else draw.choice((AUTO_MODEL, "draft-small")),
        text=kind.prompt,
        kind=kind.name,
    )


def draw_service(draw: random.Random, operation: str) -> ServiceSend:
    """Draws a filing or a switching request, or a read."""
    account, service_id = draw.choice(((WOLANSKI, SERVICES[0]), (FREMANTLE, SERVICES[1])))
    if draw.random() < READ_SHARE:
        return ServiceSend(operation, account, service_id, method="GET", repeatable=True)
    key = f"key-{operation}" if draw.random() < KEYED_SHARE else ""
    return ServiceSend(operation, account, service_id, idempotency_key=key)


def make_delta(engine_addresses_by_id: dict[str, str], service_address: str) -> Delta:
    """Returns the change that makes the objects of both users.

    Args:
        engine_addresses_by_id: Where each engine listens.
        service_address: Where the plain service listens.

    Returns:
        The change.
    """
    endpoints = tuple(
        Endpoint(endpoint_id, address, "dc-1")
        for endpoint_id, address in engine_addresses_by_id.items()
    )
    service = (Endpoint("register-1", service_address, "dc-1"),)
    rules = (CallRule("GET", "*", True),)
    return Delta(
        accounts=tuple(
            ConfiguredAccount(
                account.id,
                key_hashes=(hash_secret(account.key),),
                allowed=("draft-small", "draft-large"),
                services=SERVICES,
            )
            for account in (WOLANSKI, FREMANTLE)
        ),
        versions=(
            Version(CHEAP_VERSION, "draft-small", POOL, price_in=100, price_out=400),
            Version(EXPENSIVE_VERSION, "draft-large", POOL, price_in=900, price_out=3_600),
        ),
        pools=(
            Pool(POOL, PoolKind.ENGINE, endpoints, capacity=32),
            Pool("services", PoolKind.SERVICE, service),
        ),
        services=tuple(Service(one, "services", rules) for one in SERVICES),
    )
