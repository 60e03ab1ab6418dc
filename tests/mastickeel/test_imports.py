"""The modules of the workspace have no circular imports, including imports for type hints."""

from __future__ import annotations

import ast
import unittest
from graphlib import CycleError, TopologicalSorter
from pathlib import Path

ROOT = Path(__file__).parents[2]
SOURCES = (*sorted(ROOT.glob("packages/*/src")), ROOT / "platform" / "src")


def modules() -> dict[str, Path]:
    """Returns the files of the workspace's modules by module name."""
    files_by_name = {}
    for source in SOURCES:
        for file in source.rglob("*.py"):
            parts = file.relative_to(source).with_suffix("").parts
            name = ".".join(parts[:-1] if parts[-1] == "__init__" else parts)
            files_by_name[name] = file
    return files_by_name


def imported(file: Path, known: dict[str, Path]) -> set[str]:
    """Returns the workspace modules that a file imports, including imports inside functions."""
    found = set()
    for node in ast.walk(ast.parse(file.read_text())):
        if isinstance(node, ast.Import):
            found |= {alias.name for alias in node.names}
        elif isinstance(node, ast.ImportFrom) and node.module:
            for alias in node.names:
                inner = f"{node.module}.{alias.name}"
                found.add(inner if inner in known else node.module)
    return found & set(known)


class ImportsTest(unittest.TestCase):
    """Guards against circular imports."""

    def test_imports_have_no_cycle(self) -> None:
        known = modules()
        self.assertGreater(len(known), 100)
        graph = {name: imported(file, known) - {name} for name, file in known.items()}
        try:
            TopologicalSorter(graph).prepare()
        except CycleError as error:
            self.fail(f"modules import each other: {error.args[1]}")


if __name__ == "__main__":
    unittest.main()
