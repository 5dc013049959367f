"""Builders of settings files for tests."""

from __future__ import annotations

import json
from pathlib import Path

from rosemarydeal.settings import load_deployment, load_node

__all__ = ["as_text", "deployment_file", "load_file"]


def deployment_file(**changes) -> dict:
    """Builds the content of a small deployment file with two availability zones."""
    content = {
        "deployment": "small",
        "regions": {"wa-perth": {"availability_zones": {"perth-a": {}, "perth-b": {}}}},
        "services": {
            "box-office": {"port": 8501, "key": {"path_segment": 1}},
            "show-schedule": {"port": 8502},
        },
    }
    return content | changes


def load_file(file: str):
    """Loads a deployment file or a node file."""
    text = Path(file).read_text("utf-8")
    if "node" in Path(file).name:
        return load_node(text, file)
    return load_deployment(text, file)


def as_text(content: dict) -> str:
    """Returns the text of a file, with each value on its own line."""
    return json.dumps(content, indent=2)
