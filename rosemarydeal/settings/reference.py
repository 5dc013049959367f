"""Writes the tables of docs/SETTINGS.md from the types of the settings.

Run this module with the page's path to renew the tables in it.
"""

from __future__ import annotations

import re
import sys
from dataclasses import fields
from pathlib import Path
from typing import Annotated, Any, get_args, get_origin, get_type_hints

from msgspec import Meta

from .leaves import Effective

__all__ = ["settings_table", "update_tables"]

UNITS = {
    "_s": "seconds",
    "_ms": "milliseconds",
    "bytes": "bytes",
    "_share": "share, 0 to 1",
    "_per_s": "per second",
    "per_minute": "per minute",
    "per_second": "per second",
}
MARKED = re.compile(r"<!-- (\w+) -->\n.*?<!-- end -->", re.DOTALL)


def settings_table(group: str) -> str:
    """Returns the table of one group of inherited settings.

    Args:
        group: Name of the group, such as `limits`.

    Returns:
        The table in Markdown.
    """
    kind = get_type_hints(Effective)[group]
    hints = get_type_hints(kind, include_extras=True)
    meanings = _meanings(kind.__doc__ or "")
    lines = [
        "| setting | unit | default | allowed | meaning |",
        "|---|---|---|---|---|",
    ]
    for item in fields(kind):
        default = str(item.default).lower()
        cells = (
            f"`{group}.{item.name}`",
            _unit(item.name),
            default,
            _bounds(hints[item.name]),
            meanings[item.name],
        )
        lines.append(f"| {' | '.join(cells)} |")
    return "\n".join(lines)


def update_tables(page: str) -> str:
    """Returns a page with all its marked tables renewed."""

    def table(mark: re.Match[str]) -> str:
        group = mark.group(1)
        return f"<!-- {group} -->\n\n{settings_table(group)}\n\n<!-- end -->"

    return MARKED.sub(table, page)


def _unit(name: str) -> str:
    """Returns the unit that a setting's name ends with."""
    matching = [unit for end, unit in UNITS.items() if name.endswith(end)]
    return matching[-1] if matching else ""


def _bounds(hint: Any) -> str:
    """Returns the range of a setting."""
    if get_origin(hint) is not Annotated:
        return "true, false" if hint is bool else ""
    notes = [note for note in get_args(hint) if isinstance(note, Meta)]
    texts = []
    for note in notes:
        bounds = (("at least", note.ge), ("over", note.gt))
        texts += [f"{word} {bound:g}" for word, bound in bounds if bound is not None]
        bounds = (("at most", note.le), ("under", note.lt))
        texts += [f"{word} {bound:,}" for word, bound in bounds if bound is not None]
    return ", ".join(texts)


def _meanings(text: str) -> dict[str, str]:
    """Parses the attribute section of a docstring."""
    lines = [line.strip() for line in text.partition("Attributes:")[2].splitlines()]
    parts = (line.partition(": ") for line in lines)
    return {name: meaning for name, colon, meaning in parts if colon}


def main() -> None:
    """Renews the tables of the page whose path is given."""
    page = Path(sys.argv[1])
    page.write_text(update_tables(page.read_text("utf-8")), "utf-8")


if __name__ == "__main__":
    main()
