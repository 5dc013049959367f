"""Generates the tables of docs/SETTINGS.md from the types of the settings.

Run this module with the page's path to update its tables.
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

UNIT_BY_SUFFIX = {
    "_s": "seconds",
    "_ms": "milliseconds",
    "bytes": "bytes",
    "_share": "share, 0 to 1",
    "_per_s": "per second",
    "per_minute": "per minute",
    "per_second": "per second",
}
MARKED_TABLE = re.compile(r"<!-- (\w+) -->\n.*?<!-- end -->", re.DOTALL)


def settings_table(group: str) -> str:
    """Returns the table of one group of inherited settings.

    Args:
        group: Name of the group, such as `limits`.

    Returns:
        The table in Markdown.
    """
    group_type = get_type_hints(Effective)[group]
    field_types = get_type_hints(group_type, include_extras=True)
    descriptions = _attribute_descriptions(group_type.__doc__ or "")
    lines = [
        "| setting | unit | default | allowed | meaning |",
        "|---|---|---|---|---|",
    ]
    for item in fields(group_type):
        default = str(item.default).lower()
        cells = (
            f"`{group}.{item.name}`",
            _unit(item.name),
            default,
            _bounds(field_types[item.name]),
            descriptions[item.name],
        )
        lines.append(f"| {' | '.join(cells)} |")
    return "\n".join(lines)


def update_tables(page: str) -> str:
    """Returns a page with all its marked tables regenerated."""

    def replacement(match: re.Match[str]) -> str:
        group = match.group(1)
        return f"<!-- {group} -->\n\n{settings_table(group)}\n\n<!-- end -->"

    return MARKED_TABLE.sub(replacement, page)


def _unit(name: str) -> str:
    """Returns the unit for the suffix of a setting's name."""
    units = [unit for suffix, unit in UNIT_BY_SUFFIX.items() if name.endswith(suffix)]
    return units[-1] if units else ""


def _bounds(field_type: Any) -> str:
    """Returns the allowed range of a setting as text."""
    if get_origin(field_type) is not Annotated:
        return "true, false" if field_type is bool else ""
    metas = [meta for meta in get_args(field_type) if isinstance(meta, Meta)]
    texts = []
    for meta in metas:
        bounds = (("at least", meta.ge), ("over", meta.gt))
        texts += [f"{word} {bound:g}" for word, bound in bounds if bound is not None]
        bounds = (("at most", meta.le), ("under", meta.lt))
        texts += [f"{word} {bound:,}" for word, bound in bounds if bound is not None]
    return ", ".join(texts)


def _attribute_descriptions(docstring: str) -> dict[str, str]:
    """Parses the attribute section of a docstring."""
    lines = [
        line.strip() for line in docstring.partition("Attributes:")[2].splitlines()
    ]
    parts = (line.partition(": ") for line in lines)
    return {name: description for name, colon, description in parts if colon}


def main() -> None:
    """Updates the tables of the page whose path is the first argument."""
    page = Path(sys.argv[1])
    page.write_text(update_tables(page.read_text("utf-8")), "utf-8")


if __name__ == "__main__":
    main()
