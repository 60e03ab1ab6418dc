"""Assembles the choice of versions for one router."""

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
"""Signs session tokens when no key is configured, which the settings allow on loopback only."""


class ChoiceService:
    """The chooser of one router with its ratings, sessions and background tasks."""

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
        """Creates the components.

        Args:
            settings: The router's settings.
            clock: Clock of all components.
            rng: Selects the peers to exchange ratings with.
            http: Calls the rating service.
            link: Connection to the peers.
            metrics: Metrics of all components.
            configuration: Configuration in force.
            members: Returns the members of the fleet; called only after construction.
            rollouts: Substitutes versions that are being rolled out.
        """
        self._configuration = configuration
        self._members = members
        self.learner = Learner()
        """Estimates pass rates from the ratings."""
        self.ratings = RatingClient(http, settings.platform.ratings, clock=clock, metrics=metrics)
        """Client of the rating service."""
        secret = settings.peers.key.read() if settings.peers.key else LOOPBACK_SECRET
        self.sessions = Sessions(link, metrics, secret, self._rank_instances)
        """Pins sessions to versions."""
        self.chooser = Chooser(clock, self.learner, self.ratings, self.sessions, rollouts)
        """Plans requests."""
        self.sharing = RatingSharing(self.learner, link, clock, rng)
        """Exchanges tallies of ratings with peers."""
        self.reader = RatingReader(
            self.learner, self.ratings, clock, lambda: configuration.view.committed
        )
        """Reads the ratings log while this instance holds the rollout duty."""

    def work_by_name(self) -> dict[str, Callable[[], Coroutine[Any, Any, None]]]:
        """Returns the background tasks by name."""
        return {
            "sharing of ratings": self.sharing.run,
            "answers for rating": self.ratings.run,
            "moves of sessions": self._follow_withdrawals,
        }

    def register_tables(self, catalogue: Catalogue) -> None:
        """Registers the tables and explanations of decisions for operator queries."""
        decisions = self.chooser.decisions
        catalogue.sources_by_name["choices"] = decisions.table
        catalogue.explainers_by_kind["request"] = decisions.explain_request
        catalogue.explainers_by_kind["account"] = decisions.explain_account
        catalogue.explainers_by_kind["version"] = decisions.explain_version

    def _rank_instances(self, key: str) -> list[str]:
        """Ranks this region's live instances for a key, this one included unless it is leaving."""
        members = self._members()
        local_member = members.local_member
        own = [] if local_member.leaving else [local_member.id]
        others = [member.id for member in members.live() if member.region == local_member.region]
        return rank(key, [*own, *others])

    async def _follow_withdrawals(self) -> None:
        """Drops session records on every withdrawn version, even if it is soon restored."""
        seen_revision = 0
        while True:
            await self._configuration.wait_for_revision(seen_revision + 1)
            for change in reversed(self._configuration.changes):
                if change.revision <= seen_revision:
                    break
                withdrawn = {
                    version.id
                    for version in change.delta.versions
                    if version.state is VersionState.WITHDRAWN
                }
                self.sessions.drop_records(withdrawn)
            seen_revision = self._configuration.revision
