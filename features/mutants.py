"""Mutation testing: applies deliberate defects and checks that the tests fail.

Usage: python -m features.mutants [NAME ...]

Each defect replaces one piece of source in a temporary copy of the tree; its
check must then fail there, with the same budget as in CI. The defects are
listed as `MUTANTS` in the files `features/mutant_list_*.py`.
"""

from __future__ import annotations

import importlib
import shutil
import subprocess
import sys
import tempfile
import time
from dataclasses import dataclass
from pathlib import Path

__all__ = ["Mutant", "load_mutants", "main"]

CHECK_TIMEOUT_S = 120.0
IGNORED_PATHS = shutil.ignore_patterns(".git", ".venv", "build", "__pycache__")


@dataclass(frozen=True)
class Mutant:
    """One deliberate defect.

    Attributes:
        name: Short name of the defect.
        file: Source file, relative to the root.
        before: Text to replace; must occur exactly once.
        after: Replacement text.
        check: Arguments for the Python interpreter; this run must fail.
    """

    name: str
    file: str
    before: str
    after: str
    check: tuple[str, ...]


def load_mutants() -> list[Mutant]:
    """Returns the defects of all lists."""
    names = sorted(path.stem for path in Path("features").glob("mutant_list_*.py"))
    mutant_lists = [
        importlib.import_module(f"features.{name}").MUTANTS for name in names
    ]
    return [mutant for entries in mutant_lists for mutant in entries]


def apply_mutant(mutant: Mutant, root: Path) -> None:
    """Applies a defect to a copy of the tree."""
    path = root / mutant.file
    source = path.read_text("utf-8")
    if source.count(mutant.before) != 1:
        raise ValueError(
            f"{mutant.name}: text occurs {source.count(mutant.before)} times, not once"
        )
    path.write_text(source.replace(mutant.before, mutant.after), "utf-8")


def run_check(check: tuple[str, ...], mutant: Mutant | None) -> tuple[bool, float, str]:
    """Runs a check in a copy of the tree.

    Args:
        check: Arguments for the Python interpreter.
        mutant: The defect to apply, if any.

    Returns:
        Whether the check failed, its duration in seconds, and its error line.
    """
    with tempfile.TemporaryDirectory(prefix="mutant-") as directory:
        root = Path(directory) / "tree"
        shutil.copytree(".", root, ignore=IGNORED_PATHS)
        if mutant is not None:
            apply_mutant(mutant, root)
        started_at = time.monotonic()
        try:
            run = subprocess.run(
                [sys.executable, *check],
                cwd=root,
                capture_output=True,
                text=True,
                timeout=CHECK_TIMEOUT_S,
            )
        except subprocess.TimeoutExpired:
            return False, time.monotonic() - started_at, "timed out"
        lines = (run.stdout + run.stderr).strip().splitlines()
        errors = [line for line in lines if "Error" in line] or lines[-1:]
        return run.returncode != 0, time.monotonic() - started_at, (errors or [""])[-1]


def main(arguments: list[str]) -> int:
    """Checks the defects and prints a table.

    Args:
        arguments: Names of defects; checks all if empty.

    Returns:
        Exit code: 1 if a defect survived or a check fails without any defect.
    """
    selected = [m for m in load_mutants() if not arguments or m.name in arguments]
    for check in dict.fromkeys(mutant.check for mutant in selected):
        failed, _, line = run_check(check, None)
        if failed:
            print(f"fails without any defect: {' '.join(check)}: {line}")
            return 1
    survived = 0
    for mutant in selected:
        caught, duration, line = run_check(mutant.check, mutant)
        survived += not caught
        verdict = "caught" if caught else "SURVIVED"
        print(
            f"{mutant.name:<36} {verdict:<9} {duration:6.1f} s  {line[:90]}", flush=True
        )
    print(f"{survived} survived")
    return 1 if survived else 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
