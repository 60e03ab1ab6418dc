"""Turns the output of unittest and the statuses of the steps into one closing line."""

from __future__ import annotations

import re
import sys
from collections import Counter
from pathlib import Path

KNOWN_RED = Path(__file__).parent.parent / "KNOWN-RED.txt"


def known_failures(text: str) -> list[str]:
    """Returns the failed tests that KNOWN-RED.txt lists, by their ids."""
    failed = re.findall(r"^(?:FAIL|ERROR): \S+ \((\S+)\)", text, re.MULTILINE)
    listed = KNOWN_RED.read_text().split() if KNOWN_RED.exists() else []
    ids = {word.rstrip(";:,") for word in listed}
    return [one for one in failed if one in ids]


def unended_files(text: str) -> int:
    """Returns how many test files started and never printed a closing line."""
    started = len(re.findall(r"^== tests\.", text, re.MULTILINE))
    return max(0, started - len(re.findall(r"^(?:OK|FAILED)\b", text, re.MULTILINE)))


def main() -> int:
    """Prints ``N passed, N failed`` and returns the exit status of the whole run."""
    log, test_status, check_status = Path(sys.argv[1]), int(sys.argv[2]), int(sys.argv[3])
    text = log.read_text(errors="replace")
    ran = sum(int(count) for count in re.findall(r"^Ran (\d+) tests?", text, re.MULTILINE))
    counts: Counter[str] = Counter()
    for closing in re.findall(r"^(?:OK|FAILED) \((.*)\)$", text, re.MULTILINE):
        for part in closing.split(", "):
            name, _, value = part.partition("=")
            counts[name] += int(value)
    bad = sum(counts[name] for name in ("failures", "errors", "unexpected successes"))
    passed = ran - bad - counts["skipped"] - counts["expected failures"]
    passed_over = known_failures(text)
    for one in passed_over:
        print(f"known to be red, passed over: {one}")
    bad -= len(passed_over)
    # A file that did not end or could not be loaded has no closing line of its own.
    bad += unended_files(text)
    if test_status and not bad and not passed_over:
        bad += 1
    if check_status:
        bad += 1
        print("make check failed")
    print(f"{passed} passed, {bad} failed")
    return 1 if bad or not ran else 0


if __name__ == "__main__":
    raise SystemExit(main())
