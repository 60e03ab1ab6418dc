"""Handles GET /v1/models."""

from __future__ import annotations

from mastickeel_router.callers.base import CallerHandler
from mastickeel_router.requests import AUTO_MODEL


class ModelsHandler(CallerHandler):
    """Lists the models and versions that an account may use."""

    async def get(self) -> None:
        """Answers with ``auto``, the allowed models and their allowed versions."""
        account = self.account()
        versions = [
            version
            for version in self.view.committed.versions_by_id.values()
            if self.view.allows(account.id, version.id)
        ]
        names = {version.model for version in versions} | {version.id for version in versions}
        model_ids = [AUTO_MODEL, *sorted(names)] if names else []
        entries = [
            {"id": name, "object": "model", "created": 0, "owned_by": "mastickeel"}
            for name in model_ids
        ]
        self.write_json({"object": "list", "data": entries})
