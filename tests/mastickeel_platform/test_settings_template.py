"""The platform's fields, rendered through the settings template, are valid settings."""

from __future__ import annotations

import json
import re
import unittest
from pathlib import Path
from typing import Any

from mastickeel_router.gateway import parse

TEMPLATE = Path(__file__).parents[2] / "deploy" / "settings.toml"
SECTION = re.compile(r"{{([#^])([\w.]+)}}(.*?){{/\2}}", re.DOTALL)
PLACEHOLDER = re.compile(r"{{([\w.]+)}}")
FIELDS: dict[str, Any] = {
    "node_name": "edge-a-1",
    "zone": "a",
    "region": "north",
    "ip": "10.1.0.40",
    "port_range": [7340, 7355],
    "listen": {"frontend": "10.1.0.40:8227", "ready": "10.1.0.40:8220"},
    "limits": {"link_mbps": 10.0, "memory_mb": 200, "max_fds": 4_100},
    "platform": {"address": "10.200.1.7:8223"},
    "bounds": {
        "grace_s": 8,
        "session_s": 5,
        "retry_ratio": 0.9,
        "retry_slack": 58,
        "retry_window_s": 10,
    },
}


def look_up(name: str, fields: dict[str, Any], entry: Any) -> Any:
    """Returns the value of a dotted name; None if there is none."""
    if name == ".":
        return entry
    value: Any = fields
    for part in name.split("."):
        if isinstance(value, list):
            value = value[int(part)]
        else:
            value = value.get(part) if isinstance(value, dict) else None
    return value


def render(template: str, fields: dict[str, Any], entry: Any = None) -> str:
    """Fills in a template as the platform does: placeholders, and sections of present values."""

    def render_section(match: re.Match[str]) -> str:
        kind, name, body = match.groups()
        value = look_up(name, fields, entry)
        is_present = value is not None and value is not False
        return render(body, fields, value) if is_present == (kind == "#") else ""

    def render_value(match: re.Match[str]) -> str:
        value = look_up(match[1], fields, entry)
        return value if isinstance(value, str) else json.dumps(value)

    text = SECTION.sub(render_section, template)
    return PLACEHOLDER.sub(render_value, text.replace("{{.}}", json.dumps(entry)))


class SettingsTemplateTest(unittest.TestCase):
    def render_bounds(self, **bounds: float) -> Any:
        fields = {**FIELDS, "bounds": {**FIELDS["bounds"], **bounds}}
        return parse(render(TEMPLATE.read_text(), fields))

    def test_whole_seconds_become_milliseconds(self) -> None:
        settings = self.render_bounds()
        self.assertEqual(settings.sessions.gap_ms, 5_000)
        self.assertEqual(settings.stop.grace_ms, 8_000)
        self.assertEqual(settings.repeats.window_ms, 10_000)
        self.assertEqual((settings.repeats.ratio, settings.repeats.slack), (0.9, 58.0))

    def test_gateway_starts_when_a_bound_is_a_fraction_of_a_second(self) -> None:
        self.assertEqual(self.render_bounds(session_s=8.5).sessions.gap_ms, 8_500)
        self.assertEqual(self.render_bounds(grace_s=7.25).stop.grace_ms, 7_250)
        self.assertEqual(self.render_bounds(retry_slack=156.5).repeats.slack, 156.5)

    def test_exposure_of_the_deployment_is_a_constant(self) -> None:
        self.assertEqual(self.render_bounds(exposure_share=0.0975).releases.exposure_share, 0.0975)
        self.assertEqual(self.render_bounds().releases.exposure_share, 0.15)
        self.assertEqual(self.render_bounds(retry_ratio=1).repeats.ratio, 1.0)

    def test_retry_window_is_the_one_that_the_platform_names(self) -> None:
        self.assertEqual(self.render_bounds(retry_window_s=7.5).repeats.window_ms, 7_500)
        self.assertEqual(self.render_bounds(retry_window_s=20).repeats.window_ms, 20_000)

    def test_absent_bounds_leave_the_defaults(self) -> None:
        settings = parse(render(TEMPLATE.read_text(), {**FIELDS, "bounds": {}}))
        self.assertEqual(settings.sessions.gap_ms, 5_000)
        self.assertEqual(settings.repeats.window_ms, 10_000)

    def test_bound_of_tunnels_follows_the_descriptors(self) -> None:
        self.assertEqual(self.render_bounds().tunnels.max_open, 205)
        without = {**FIELDS, "limits": {}}
        self.assertGreater(parse(render(TEMPLATE.read_text(), without)).tunnels.max_open, 0)


if __name__ == "__main__":
    unittest.main()
