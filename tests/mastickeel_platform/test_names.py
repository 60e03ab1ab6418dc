"""The platform's names stay in its adapter, whose folder shadows no standard module."""

from __future__ import annotations

import platform
import re
import tomllib
import unittest
from pathlib import Path

ROOT = Path(__file__).parents[2]
PLATFORM_NAMES = re.compile(
    "Attempt-Id|(?<!X-)Deadline-Ms|Prompt-Prefix|Server-Seal|Expect-Instance|Not-Executed|Token-Count"
    "|Request-Priority|Kv-From|Kv-Backup|Pin-Ms|Weight-Versions|kv-txn|kv-watch|kv-range|kv-keep"
    '|op/config|op/rollout|status/rollout|slo_ms|route_type|path_prefix"|api_keys|gap_target_ms'
    "|duration_s|after_revision|MASTICKEEL_CONFIG|readyz"
)
FORBIDDEN = re.compile(r"subprocess|os\.fork|multiprocessing|shared_memory|uvloop")


class NamesTest(unittest.TestCase):
    def test_platform_names_are_used_only_by_the_adapter(self) -> None:
        found = [
            f"{path.relative_to(ROOT)}: {match.group()}"
            for folder in ("packages", "bench", "tests")
            for path in sorted((ROOT / folder).rglob("*.py"))
            if "mastickeel_platform" not in path.parts
            for match in [PLATFORM_NAMES.search(path.read_text())]
            if match
        ]
        self.assertEqual(found, [])

    def test_adapter_uses_no_forbidden_modules(self) -> None:
        for path in (ROOT / "platform").rglob("*.py"):
            self.assertIsNone(FORBIDDEN.search(path.read_text()), path)

    def test_standard_platform_module_is_not_shadowed(self) -> None:
        self.assertTrue(hasattr(platform, "python_version"))
        self.assertFalse((ROOT / "platform" / "__init__.py").exists())

    def test_templates_of_the_deploy_file_exist(self) -> None:
        deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
        for role in deploy["roles"].values():
            self.assertTrue((ROOT / role["template"]).is_file())

    def test_deployed_versions_are_the_tested_versions(self) -> None:
        pins = (ROOT / "deploy" / "requirements.txt").read_text().split()
        tested = (ROOT / "constraints.txt").read_text().split()
        self.assertEqual([pin for pin in pins if pin not in tested], [])


if __name__ == "__main__":
    unittest.main()
