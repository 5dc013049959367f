"""Steps for the separate processes on loopback."""

import json
import signal
import subprocess
import sys
import tempfile
import threading
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path
from uuid import uuid4

from behave import given, then, when

from features.builders_processes import (
    TOKEN,
    ProcessDeployment,
    Reply,
    new_log_directory,
    send_request,
    wait_until,
)

SLOW_MS = 1500
CALLERS = 6
CALLER_WORK_MS = 30
PROBES = 24


@given("all separate processes are up and serve all slices")
def step_serve(context):
    if getattr(context.feature, "processes", None) is None:
        processes = ProcessDeployment(new_log_directory())
        context.add_cleanup(processes.end, layer="feature")
        processes.apply()
        context.feature.processes = processes
    context.processes = context.feature.processes
    context.processes.restore()
    context.pool = ThreadPoolExecutor(CALLERS + 4)
    context.add_cleanup(context.pool.shutdown)
    context.key = f"key-{uuid4().hex[:8]}"
    context.owner = context.processes.owner(context.key)
    context.ids = {}
    context.calls = {}


def request_id_of(context, name):
    """Returns the request id of a named order."""
    return context.ids.setdefault(name, f"{name}-{uuid4().hex[:8]}")


def send_in_background(context, name, vm, work_ms=0, attempt="first"):
    """Sends an order in a thread of the pool."""
    order = context.processes.order
    request_id = request_id_of(context, name)
    context.calls[name] = context.pool.submit(
        order, vm, context.key, request_id, work_ms, attempt
    )


def send_until_answered(context, name, vms):
    """Sends an order until it is answered; resends only if it did not run."""
    request_id = request_id_of(context, name)
    attempts = iter(range(10_000))

    def send():
        running = [vm for vm in vms if vm.process.alive]
        vm = running[next(attempts) % len(running)]
        reply = context.processes.order(vm, context.key, request_id)
        assert reply.outcome != "unknown", reply
        return reply if reply.outcome == "answer" else None

    reply = wait_until(send, f"the order {name} is answered")
    expected = f"POST /shows/{context.key}/orders {request_id} {request_id}"
    assert reply.body == expected.encode("ascii"), reply
    assert context.processes.runs(request_id) == 1


@when('the slow order "{name}" for its key is running')
def step_running(context, name):
    send_in_background(
        context, name, context.processes.other_entry(context.owner), SLOW_MS
    )
    request_id = request_id_of(context, name)
    wait_until(lambda: context.processes.runs(request_id), f"{name} runs")


@when('the order "{name}" for its key is answered')
def step_answered(context, name):
    send_until_answered(context, name, [context.owner])


@when("the owner's process receives {name}")
def step_signal(context, name):
    number = signal.Signals[name]
    context.owner.process.send(number)
    if number is signal.SIGKILL:
        context.owner.process.wait()


@when('the order "{name}" for the key is sent to the paused process')
def step_buffered(context, name):
    send_in_background(context, name, context.owner)


@when("the paused process receives SIGCONT")
def step_resume(context):
    context.owner.process.send(signal.SIGCONT)


@when("the owner's upstream is killed")
def step_kill_upstream(context):
    context.processes.kill_upstream(context.owner)


@when("the killed process is restarted")
def step_start_again(context):
    context.owner.process.start()


@when("the platform's process receives {name}")
def step_signal_platform(context, name):
    context.processes.platform.send(signal.Signals[name])


@then("the platform's row lists the new owner of the key first")
def step_recorded(context):
    target = f"/locate?service=box-office&key={context.key}"

    def recorded():
        # The slice may move on while the process that returned is given its share.
        serving = context.processes.owner(context.key, excluding=context.owner)
        located = json.loads(serving.admin(target).body)
        rows = [r for r in context.processes.rows() if r["slice"] == located["slice"]]
        return [r["succession"][0]["node"] for r in rows] == [serving.name]

    wait_until(recorded, "the platform's row lists the new owner")


@then('the caller of "{name}" receives the outcome unknown')
def step_unknown(context, name):
    reply = context.calls[name].result()
    assert reply.outcome == "unknown", reply
    assert reply.code, reply


@then('another process answers the order "{name}" for the key')
def step_another(context, name):
    # An entry may send requests to a lost owner until a new one serves the key.
    served_by = context.processes.owner(context.key, excluding=context.owner)
    send_until_answered(context, name, [served_by])
    entries = [vm for vm in context.processes.keyed() if vm is not context.owner]
    wait_until(
        lambda: all(
            context.processes.look_up(vm, key=context.key).outcome == "answer"
            for vm in entries
        ),
        "all other entries find the new owner",
    )


@then('a process answers the order "{name}" for the key')
def step_any(context, name):
    send_until_answered(context, name, context.processes.keyed())


@then('sending "{name}" again does not run it a second time')
def step_resend(context, name):
    request_id = request_id_of(context, name)
    before = context.processes.runs(request_id)
    assert before <= 1, before
    for vm in context.processes.keyed():
        if not vm.process.alive:
            continue
        reply = context.processes.order(vm, context.key, request_id, attempt="resent")
        run_count = context.processes.runs(request_id)
        assert run_count <= 1, (vm.name, reply, run_count)
        # The outcome not-run would be wrong for an order that ran.
        assert reply.outcome != "not-run" or run_count == 0, reply
        if reply.outcome == "answer":
            assert run_count == 1, reply


@then("the resumed process has lost its lease and forwards the key's requests")
def step_resumed(context):
    resumed = context.owner
    lease_lapsed = lambda: "lease_lapsed" in resumed.process.output  # noqa: E731
    wait_until(lease_lapsed, "the resumed process logs that its lease lapsed")

    def forwarded():
        before = resumed.counts()["requests"]
        reply = context.processes.look_up(resumed, key=context.key)
        return reply.outcome == "answer" and resumed.counts()["requests"] == before

    wait_until(forwarded, "the resumed process forwards requests")


@then('the callers of "{first}" and "{second}" receive their outcomes')
def step_outcomes(context, first, second):
    for name in (first, second):
        reply = context.calls[name].result()
        run_count = context.processes.runs(request_id_of(context, name))
        assert reply.outcome in ("answer", "not-run", "unknown"), (name, reply)
        assert reply.outcome != "answer" or run_count == 1, (name, reply, run_count)
        assert reply.outcome != "not-run" or run_count == 0, (name, reply, run_count)


@then('the resumed process\'s upstream ran neither "{first}" nor "{second}"')
def step_ran_nothing(context, first, second):
    runs = context.owner.counts()["runs"]
    for name in (first, second):
        assert request_id_of(context, name) not in runs, (name, runs)


@when("callers continuously send orders and lookups to all processes")
def step_load(context):
    context.stopping = threading.Event()
    context.add_cleanup(context.stopping.set)
    context.loads = [
        context.pool.submit(send_continuously, context, number)
        for number in range(CALLERS)
    ]
    sent = lambda: sum(vm.counts()["requests"] for vm in context.processes.keyed())  # noqa: E731
    base = sent()
    wait_until(lambda: sent() > base + 5 * CALLERS, "the callers send requests")


def send_continuously(context, number):
    """Sends as one caller until stopped; returns the request ids and replies."""
    replies: list[tuple[str, Reply]] = []
    vms = context.processes.keyed()
    sequence = number
    while not context.stopping.is_set():
        sequence += 1
        vm = vms[sequence % len(vms)]
        key = f"load-{number}-{sequence % 40}"
        request_id = uuid4().hex
        if sequence % 3:
            reply = context.processes.order(vm, key, request_id, CALLER_WORK_MS)
            replies.append((request_id, reply))
        else:
            replies.append(("", context.processes.look_up(vm, key=key)))
    return replies


@then("the owner's process exits with code {code:d}")
def step_exit(context, code):
    assert context.owner.process.wait() == code, context.owner.process.output[-2000:]


@when("the callers continue for another second")
def step_continue_sending(context):
    context.stopping.wait(1.0)
    context.stopping.set()
    context.replies = [pair for load in context.loads for pair in load.result()]


@then("no request of the callers was interrupted and each answered order ran once")
def step_none_interrupted(context):
    outcomes = {reply.outcome for _, reply in context.replies}
    assert "answer" in outcomes, outcomes
    # A stopped process refuses connections, which interrupts no request.
    refused = ("broken", "ConnectionRefusedError")
    interrupted = [
        (request_id, reply)
        for request_id, reply in context.replies
        if reply.outcome not in ("answer", "not-run")
        and (reply.outcome, reply.code) != refused
    ]
    assert not interrupted, (len(interrupted), len(context.replies), interrupted[:5])
    counts = [vm.counts()["runs"] for vm in context.processes.vms.values()]
    for request_id, reply in context.replies:
        run_count = sum(runs.get(request_id, 0) for runs in counts)
        if request_id:
            assert run_count == (1 if reply.outcome == "answer" else 0), (
                reply,
                run_count,
            )


@then('the process beside the killed upstream raises the alarm "{code}"')
def step_alarm(context, code):
    def raised():
        alarms = context.owner.status()["alarms"]
        return code in [alarm["code"] for alarm in alarms]

    wait_until(raised, f"the alarm {code}")


@then("the restarted process is up beside its upstream")
def step_up(context):
    def is_up():
        status = context.owner.status()
        return status and status["upstream_up"] and status["lease_valid"]

    wait_until(is_up, "the started process is up")


@then("no upstream received more than its share during its cold start")
def step_overfed(context):
    counts = {vm.name: vm.counts() for vm in context.processes.vms.values()}
    assert not any(count["overfed_cold"] for count in counts.values()), counts


@when('the operators run "{command}"')
def step_operators_run(context, command):
    completed = context.processes.operate(*command.split())
    assert completed.returncode == 0, (completed.returncode, completed.stderr)


def vms_in_zone(context, zone):
    """Returns the VMs of an availability zone."""
    return [vm for vm in context.processes.vms.values() if vm.zone == zone]


def probe_all(context):
    """Sends requests for both services through every entry."""
    for number in range(PROBES):
        for vm in context.processes.vms.values():
            keyed = context.processes.look_up(vm, key=f"probe-{number}")
            unkeyed = context.processes.look_up(vm, "show-schedule")
            assert keyed.outcome == unkeyed.outcome == "answer", (keyed, unkeyed)


@then("the upstreams of {zone} own no slices and receive no work from any entry")
def step_no_work(context, zone):
    excluded = vms_in_zone(context, zone)

    def is_drained():
        statuses = [vm.status() for vm in excluded]
        return all(s["owned"] == 0 and s["phase"] == "draining" for s in statuses)

    wait_until(is_drained, f"{zone} owns no slices")
    before = [vm.counts()["requests"] for vm in excluded]
    probe_all(context)
    assert [vm.counts()["requests"] for vm in excluded] == before


@then("the upstreams of {zone} without keys receive work again")
def step_work_again(context, zone):
    returned = [
        vm for vm in vms_in_zone(context, zone) if vm.service == "show-schedule"
    ]
    before = [vm.counts()["requests"] for vm in returned]

    def receives_work():
        probe_all(context)
        after = [vm.counts()["requests"] for vm in returned]
        return all(new > old for new, old in zip(after, before, strict=True))

    wait_until(receives_work, f"{zone} receives work")


@when("a process is started with three mistakes in its settings")
def step_mistakes(context):
    valid = json.loads(context.processes.node_file(0).read_text("utf-8"))
    invalid = valid | {"upstream": "nowhere", "log_level": "loud", "colour": "red"}
    with tempfile.TemporaryDirectory() as directory:
        file = Path(directory, "wrong.json")
        file.write_text(json.dumps(invalid, indent=1), "utf-8")
        context.completed = subprocess.run(
            [sys.executable, "-m", "rosemarydeal.daemon.main", str(file)],
            capture_output=True,
            text=True,
            timeout=30,
            check=False,
        )


@then("it exits with code 2 and reports all three with file and line")
def step_mistakes_reported(context):
    assert context.completed.returncode == 2, context.completed
    lines = context.completed.stderr.splitlines()
    for setting in ("upstream", "log_level", "colour"):
        messages = [line for line in lines if setting in line]
        assert messages and "wrong.json:" in messages[0], (setting, lines)
    assert len(lines) == 3, lines


@then('the owner\'s log has an entry for "{name}" with all its fields')
def step_log(context, name):
    request_id = request_id_of(context, name)

    def find():
        lines = context.owner.log_lines
        return [line for line in lines if line.get("request_id") == request_id]

    line = wait_until(find, "the log line")[0]
    assert line["event"] == "request" and line["level"] == "info", line
    assert line["tenant"] == "families", line
    assert line["service"] == "box-office", line
    assert isinstance(line["slice"], int) and line["version"] >= 1, line
    assert (line["outcome"], line["code"]) == ("answer", ""), line


@then("the owner's metrics have histograms for each tenant and bounded labels")
def step_metrics(context):
    vm = context.owner
    for number in range(30):
        headers = {"x-tenant": f"unlisted-{number}"}
        target = f"/shows/{context.key}/seats?n={number}"
        reply = send_request(
            vm.host, context.processes.keyed_port, "GET", target, headers
        )
        assert reply.outcome == "answer", reply
    text = vm.admin("/metrics").body.decode("utf-8")
    name = "rosemarydeal_request_seconds_bucket{"
    buckets = [line for line in text.splitlines() if line.startswith(name)]
    families = [line for line in buckets if 'tenant="families"' in line]
    assert families and any('le="0.01"' in line for line in families), text
    assert "unlisted" not in text, "a caller's header value became a label"
    tenants = {line.partition('tenant="')[2].partition('"')[0] for line in buckets}
    assert len(tenants) == 2, tenants


@then("the admin port rejects requests without the token")
def step_token(context):
    for path in ("/metrics", "/status", "/locate?service=box-office&key=k"):
        for token in (None, TOKEN[:-1], TOKEN + "x", ""):
            reply = context.owner.admin(path, token)
            assert reply.status == 401, (path, token, reply)
            assert b"rosemarydeal_" not in reply.body, reply
        assert context.owner.admin(path).status == 200
