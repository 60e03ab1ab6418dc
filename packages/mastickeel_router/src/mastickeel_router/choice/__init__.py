"""Choice of the model versions that a request runs on."""

from __future__ import annotations

from mastickeel_router.choice.cascade import run_cascade
from mastickeel_router.choice.chooser import Chooser
from mastickeel_router.choice.learning import Learner
from mastickeel_router.choice.plan import Plan
from mastickeel_router.choice.ratings import RatingClient
from mastickeel_router.choice.service import ChoiceService
from mastickeel_router.choice.sessions import Sessions
from mastickeel_router.choice.sharing import RatingReader, RatingSharing

__all__ = [
    "ChoiceService",
    "Chooser",
    "Learner",
    "Plan",
    "RatingClient",
    "RatingReader",
    "RatingSharing",
    "Sessions",
    "run_cascade",
]
