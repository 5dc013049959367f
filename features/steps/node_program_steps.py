"""Steps for the program that runs beside an upstream."""

from __future__ import annotations

import os
import subprocess
import sys

from behave import then, when

EXIT_BAD_SETTINGS = 2
# Sends the signal to itself at the import of the first of the larger packages.
STARTS = """
import os, runpy, signal, sys

class Sender:
    def find_spec(self, name, path=None, target=None):
        if name == "rosemarydeal.core":
            sys.meta_path.remove(self)
            os.kill(os.getpid(), signal.SIGHUP)

sys.meta_path.insert(0, Sender())
runpy.run_module("rosemarydeal.node.main", run_name="__main__")
"""


@when("a process without settings gets SIGHUP while it loads its modules")
def step_early_signal(context):
    environment = os.environ | {"ROSEMARYDEAL_NODE_FILE": "/nonexistent/node.toml"}
    context.ended = subprocess.run(
        [sys.executable, "-c", STARTS],
        env=environment,
        capture_output=True,
        text=True,
        timeout=30,
    )


@then("it goes on and exits as its settings are missing")
def step_went_on(context):
    assert context.ended.returncode == EXIT_BAD_SETTINGS, context.ended
    assert "settings-unreadable" in context.ended.stderr, context.ended
