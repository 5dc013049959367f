"""Replays deliberate defects and shows that the tests catch each.

Usage: python -m features.mutants [NAME ...]

Each defect replaces one piece of source in a temporary copy of the tree; the
copy's checks must then fail within the same budget as in CI. The defects stand
in lists `features/mutant_list_*.py`, each with `MUTANTS`.
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
    """Describes one deliberate defect.

    Attributes:
        name: Short name of the defect.
        file: Source file, from the root.
        before: Text to replace; must occur exactly once.
        after: The defect.
        check: Arguments for Python whose run must fail.
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
    """Puts a defect into a copy of the tree."""
    path = root / mutant.file
    source = path.read_text("utf-8")
    if source.count(mutant.before) != 1:
        raise ValueError(
            f"{mutant.name}: text occurs {source.count(mutant.before)} times"
        )
    path.write_text(source.replace(mutant.before, mutant.after), "utf-8")


def run_check(check: tuple[str, ...], mutant: Mutant | None) -> tuple[bool, float, str]:
    """Runs a check in a copy of the tree.

    Args:
        check: Arguments for Python.
        mutant: The defect to put in, if any.

    Returns:
        Whether the check failed, its duration in seconds, and what it said.
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
    """Replays the defects and prints a table.

    Args:
        arguments: Names of defects; all without any.

    Returns:
        The process's exit code: 1 if a defect survived.
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
