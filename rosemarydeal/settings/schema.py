"""Generates the JSON schemas of settings files for editors.

The schemas are derived from the types that the checks use. They are committed,
so that an editor needs only the files. Run this module to regenerate them.
"""

from __future__ import annotations

import json
from pathlib import Path
from typing import Any

import msgspec

from rosemarydeal.core import Address

from .files import DeploymentFile
from .leaves import Effective
from .node import NodeSettings
from .values import IpAddress, SettingsBranch

__all__ = ["SCHEMA_DIRECTORY", "schema_text", "schema_texts"]

SCHEMA_DIRECTORY = Path(__file__).parent
SCHEMA_DIALECT = "https://json-schema.org/draft/2020-12/schema"
REFERENCE_TEMPLATE = "#/$defs/{name}"
ADDRESS_PATTERN = r"^(\d+\.\d+\.\d+\.\d+|\[[0-9A-Fa-f:.]+\]):\d{1,5}$"


def schema_texts() -> dict[str, str]:
    """Returns the text of each schema by file name."""
    return {
        "deployment.schema.json": schema_text(DeploymentFile),
        "node.schema.json": schema_text(NodeSettings),
    }


def schema_text(root: type) -> str:
    """Returns the schema of a file type.

    Args:
        root: Data class of the whole file.

    Returns:
        The schema as JSON text.
    """
    (reference, *_), components = msgspec.json.schema_components(
        (root, Effective),
        schema_hook=_custom_type_schema,
        ref_template=REFERENCE_TEMPLATE,
    )
    components[SettingsBranch.__name__] = {
        "$ref": REFERENCE_TEMPLATE.format(name=Effective.__name__)
    }
    reachable = _reachable_names(reference, components)
    definitions = {
        name: _forbid_unknown_names(_with_attribute_descriptions(definition))
        for name, definition in sorted(components.items())
        if name in reachable
    }
    schema = {"$schema": SCHEMA_DIALECT, **reference, "$defs": definitions}
    return json.dumps(schema, indent=2) + "\n"


def _custom_type_schema(custom_type: type) -> dict[str, Any]:
    """Returns the schema of a type that msgspec cannot describe."""
    if custom_type is IpAddress:
        return {"type": "string", "anyOf": [{"format": "ipv4"}, {"format": "ipv6"}]}
    raise TypeError(f"no schema for {custom_type}")


def _forbid_unknown_names(definition: dict[str, Any]) -> dict[str, Any]:
    """Forbids unknown names in objects and describes addresses as strings."""
    if definition.get("title") == Address.__name__:
        return {"type": "string", "pattern": ADDRESS_PATTERN}
    if "properties" not in definition:
        return definition
    properties = {
        name: _without_empty_default(item)
        for name, item in definition["properties"].items()
    }
    return definition | {"properties": properties, "additionalProperties": False}


def _without_empty_default(item: dict[str, Any]) -> dict[str, Any]:
    """Drops null and empty defaults, because files omit such settings."""
    if isinstance(item.get("default"), dict):
        return {name: item[name] for name in item if name != "default"}
    if {"type": "null"} not in item.get("anyOf", ()):
        return item
    (value_schema,) = (part for part in item["anyOf"] if part != {"type": "null"})
    remaining = {name: item[name] for name in item if name not in ("anyOf", "default")}
    return remaining | value_schema


def _with_attribute_descriptions(definition: dict[str, Any]) -> dict[str, Any]:
    """Moves the attribute section of a description to the properties."""
    summary, _, rest = definition.get("description", "").partition("\n")
    descriptions = _attribute_descriptions(rest)
    properties = {
        name: ({"description": descriptions[name]} if name in descriptions else {})
        | item
        for name, item in definition.get("properties", {}).items()
    }
    described = {"description": summary} if summary else {}
    if properties:
        described["properties"] = properties
    return definition | described


def _attribute_descriptions(docstring: str) -> dict[str, str]:
    """Parses the attribute section of a docstring."""
    lines = [
        line.strip() for line in docstring.partition("Attributes:")[2].splitlines()
    ]
    parts = (line.partition(": ") for line in lines)
    return {name: description for name, colon, description in parts if colon}


def _reachable_names(
    reference: dict[str, Any], components: dict[str, dict[str, Any]]
) -> frozenset[str]:
    """Returns the names of the definitions reachable from a reference."""
    reachable: set[str] = set()
    pending = [json.dumps(reference)]
    while pending:
        text = pending.pop()
        for name in components:
            if (
                name not in reachable
                and f'"{REFERENCE_TEMPLATE.format(name=name)}"' in text
            ):
                reachable.add(name)
                pending.append(json.dumps(components[name]))
    return frozenset(reachable)


def main() -> None:
    """Writes the schemas to the directory of this module."""
    for name, text in schema_texts().items():
        (SCHEMA_DIRECTORY / name).write_text(text, "utf-8")


if __name__ == "__main__":
    main()
