"""The parts of the choice put together for one router."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from mastickeel.model import VersionState
from mastickeel.rendezvous import rank
from mastickeel_router.choice.chooser import Chooser
from mastickeel_router.choice.learning import Learner
from mastickeel_router.choice.ratings import RatingClient
from mastickeel_router.choice.sessions import Sessions
from mastickeel_router.choice.sharing import RatingReader, RatingSharing

if TYPE_CHECKING:
    import random
    from collections.abc import Callable, Coroutine

    from mastickeel.clock import Clock
    from mastickeel.httpclient import HttpClient
    from mastickeel.metrics import Metrics
    from mastickeel.peers import PeerLink
    from mastickeel.settings import Settings
    from mastickeel_router.choice.plan import RolloutRouting
    from mastickeel_router.configuration import ConfigurationState
    from mastickeel_router.membership import Members
    from mastickeel_router.tables import Catalogue

LOOPBACK_SECRET = "loopback"
"""Signs session tokens where the settings allow no key, which is on loopback only."""


class ChoiceService:
    """What one router chooses with."""

    def __init__(
        self,
        settings: Settings,
        *,
        clock: Clock,
        rng: random.Random,
        http: HttpClient,
        link: PeerLink,
        metrics: Metrics,
        configuration: ConfigurationState,
        members: Callable[[], Members],
        rollouts: RolloutRouting | None = None,
    ) -> None:
        """Makes the parts.

        Args:
            settings: The router's settings.
            clock: Times everything.
            rng: Picks peers.
            http: Calls the rating service.
            link: The peers.
            metrics: Counts.
            configuration: What is in force.
            members: Gives the fleet, once it is known.
            rollouts: Puts new versions in the place of old ones.
        """
        self._configuration = configuration
        self._members = members
        self.learner = Learner()
        """What is known of the ratings."""
        self.ratings = RatingClient(http, settings.platform.ratings, clock=clock, metrics=metrics)
        """The rating service."""
        secret = settings.peers.key.read() if settings.peers.key else LOOPBACK_SECRET
        self.sessions = Sessions(link, metrics, secret, self._ranked)
        """The versions of sessions."""
        self.chooser = Chooser(clock, self.learner, self.ratings, self.sessions, rollouts)
        """Plans requests."""
        self.sharing = RatingSharing(self.learner, link, clock, rng)
        """Takes over what peers know."""
        self.reader = RatingReader(
            self.learner, self.ratings, clock, lambda: configuration.view.committed
        )
        """Reads the log of ratings where this instance holds the duty of roll-outs."""

    def work_by_name(self) -> dict[str, Callable[[], Coroutine[Any, Any, None]]]:
        """Returns what is to run in the background."""
        return {
            "sharing of ratings": self.sharing.run,
            "answers for rating": self.ratings.run,
            "moves of sessions": self._follow_withdrawals,
        }

    def register_tables(self, catalogue: Catalogue) -> None:
        """Offers tables and explanations to the operators' language."""
        decisions = self.chooser.decisions
        catalogue.sources_by_name["choices"] = decisions.table
        catalogue.explainers_by_kind["request"] = decisions.explain_request
        catalogue.explainers_by_kind["account"] = decisions.explain_account
        catalogue.explainers_by_kind["version"] = decisions.explain_version

    def _ranked(self, key: str) -> list[str]:
        """Ranks the live instances of this region for a key."""
        members = self._members()
        myself = members.local_member
        own = [] if myself.leaving else [myself.id]
        others = [one.id for one in members.live() if one.region == myself.region]
        return rank(key, [*own, *others])

    async def _follow_withdrawals(self) -> None:
        """Tells the sessions of each withdrawal, also of one that is soon taken back."""
        seen = 0
        while True:
            await self._configuration.wait_for(seen + 1)
            for change in reversed(self._configuration.changes):
                if change.revision <= seen:
                    break
                withdrawn = {
                    version.id
                    for version in change.delta.versions
                    if version.state is VersionState.WITHDRAWN
                }
                self.sessions.forget(withdrawn)
            seen = self._configuration.revision
