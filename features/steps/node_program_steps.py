"""Steps for the program that runs beside an upstream."""

from __future__ import annotations

import asyncio
import os
import signal
import subprocess
import sys

from behave import given, then, when

from features.builders_node import run
from features.builders_node_programs import ProgramDeployment, start_programs
from features.builders_processes import new_log_directory

EXIT_BAD_SETTINGS = 2
LOGGED_S = 0.5
# Time between two checks of the event loop.
CHECK_S = 0.15
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


@given("a VM whose process is a program")
def step_program(context):
    start_programs(context, ProgramDeployment(1, new_log_directory()))


@when("the process is paused for {pause_s:g} second")
def step_paused(context, pause_s):
    program = context.deployment.nodes["vm-a"]
    program.send(signal.SIGSTOP)
    run(context, asyncio.sleep(pause_s))
    program.send(signal.SIGCONT)
    # Log lines are written together.
    run(context, asyncio.sleep(LOGGED_S))


@then("its log has one event loop that was late by about {pause_s:g} second")
def step_late(context, pause_s):
    late_s = [
        entry["late_s"]
        for entry in context.deployment.logged("vm-a", "event_loop_late")
    ]
    assert len([late for late in late_s if late > pause_s - CHECK_S]) == 1, late_s
