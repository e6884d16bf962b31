"""Steps with real daemons and stand-ins on loopback."""

import json
import signal
import threading
from http.client import HTTPConnection
from time import sleep, time

from behave import given, then, when
from uuid6 import uuid7

from briarrelay_bench.caller import Caller
from briarrelay_bench.engine_model import answer_text
from briarrelay_bench.processes import Cluster
from briarrelay_bench.workload import make_configuration
from briarrelay_ctl.main import main as ctl

CONVERGENCE_TIMEOUT_S = 30.0


@given("{daemons:d} daemons in front of {engines:d} engines")
def start_cluster(context, daemons, engines):
    cluster = Cluster()
    context.add_cleanup(cluster.__exit__)
    context.cluster = cluster
    context.jobs = []
    cluster.start_platform()
    for index in range(engines):
        cluster.start_engine(f"engine-{index}", "--rate", "100000")
    cluster.start_service("booking-0")
    names = [f"entry-{index}" for index in range(daemons)]
    cluster.start_daemons(names, make_configuration("short"))
    if engines:
        for daemon in cluster.daemons.values():
            cluster.wait_until(
                lambda d=daemon: _count_reporting(d) == engines,
                "engines report",
                CONVERGENCE_TIMEOUT_S,
            )


def _count_reporting(daemon) -> int:
    engines = daemon.call("GET", "/status")[1]["engines"]
    return sum(engine["report_age_s"] is not None for engine in engines)


def _make_caller(context, index: int) -> Caller:
    return Caller(context.cluster.daemons[f"entry-{index}"].port)


def _in_background(context, action) -> None:
    results = []
    thread = threading.Thread(target=lambda: results.append(action()))
    thread.start()
    context.jobs.append((thread, results))


def _results(context) -> list:
    for thread, _ in context.jobs:
        thread.join(CONVERGENCE_TIMEOUT_S * 2)
    return [results[0] if results else None for _, results in context.jobs]


@when("the log is {state}")
def set_log_state(context, state):
    values = {"down": {"fail": 1}, "up": {"fail": 0}}[state]
    context.cluster.platform.set_faults(**values)


@when("daemon {index:d} has detected that the log is down")
def wait_for_log_down(context, index):
    daemon = context.cluster.daemons[f"entry-{index}"]
    context.cluster.wait_until(
        lambda: daemon.call("GET", "/status")[1]["log_down_s"] > 2.0,
        "the daemon reports the log as down",
        CONVERGENCE_TIMEOUT_S * 2,
    )


@when("a booking is sent to daemon {index:d}")
def send_booking(context, index):
    context.key = str(uuid7())
    context.booking = _make_caller(context, index).book(context.key)


@when("the same booking is sent to daemon {index:d}")
def repeat_booking(context, index):
    context.booking = _make_caller(context, index).book(context.key)


@when("the service drops its responses")
def drop_responses(context):
    context.cluster.services["booking-0"].set_faults(lose_answers=1)


@when("a booking is in progress at daemon {index:d}")
def start_booking(context, index):
    context.key = str(uuid7())
    caller = _make_caller(context, index)

    def action():
        try:
            return caller.book(context.key, timeout=8.0)
        except OSError as error:
            return error

    _in_background(context, action)
    service = context.cluster.services["booking-0"]
    context.cluster.wait_until(
        lambda: service.call("GET", "/runs")[1].get(context.key),
        "the service runs the booking",
    )


@then('the outcome of the booking is "{expected}"')
def check_booking(context, expected):
    status, value = context.booking
    outcome = "done" if status == 200 else value["error"]["outcome"]
    assert outcome == expected, context.booking


@then("the service ran the booking {count:d} times")
def check_runs(context, count):
    runs = context.cluster.services["booking-0"].call("GET", "/runs")[1]
    assert runs.get(context.key, 0) == count, runs


@when("a chat is served by daemon {index:d}")
def send_chat(context, index):
    context.chat = _make_caller(context, index).chat(2_000, 20)


@when("long chats are in progress at daemon {index:d}")
def start_long_chats(context, index):
    caller = _make_caller(context, index)

    def action():
        try:
            return caller.chat(2_000, 400, timeout=40.0)
        except OSError as error:
            return error

    for _ in range(4):
        _in_background(context, action)
    daemon = context.cluster.daemons[f"entry-{index}"]
    context.cluster.wait_until(
        lambda: daemon.call("GET", "/status")[1]["chats"] == 4, "chats are in progress"
    )
    sleep(0.5)


@then("the chat response is complete")
def check_chat(context):
    answer = context.chat
    assert answer.is_complete, answer
    assert answer.text == answer_text(answer.request_id, 20)


@then("every chat in progress completes")
def check_chats(context):
    for answer in _results(context):
        assert answer is not None and answer.is_complete, answer
        assert answer.text == answer_text(answer.request_id, 400)


@when("daemon {index:d} receives SIGTERM")
def stop(context, index):
    context.cluster.daemons[f"entry-{index}"].signal(signal.SIGTERM)


@when("daemon {index:d} is killed")
def kill(context, index):
    context.cluster.daemons[f"entry-{index}"].kill()


@when("daemon {index:d} is restarted")
def restart(context, index):
    context.cluster.start_daemon(f"entry-{index}", wait=False)


@when("daemon {index:d} is removed from the instance list")
def remove_from_list(context, index):
    cluster = context.cluster
    daemon = cluster.daemons.pop(f"entry-{index}")
    cluster.publish_instance_list()
    cluster.daemons[daemon.name] = daemon


@when("{seconds:g} seconds pass")
def pause(context, seconds):
    sleep(seconds)


@then("daemon {index:d} exits with code {code:d}")
def check_exit_code(context, index, code):
    assert context.cluster.daemons[f"entry-{index}"].wait() == code


@then("daemon {index:d} becomes ready")
def check_ready(context, index):
    context.cluster.wait_until(
        lambda: context.cluster._is_ready(f"entry-{index}"),
        "the daemon is ready",
        CONVERGENCE_TIMEOUT_S,
    )


@then("daemon {index:d} is not ready")
def check_not_ready(context, index):
    assert not context.cluster._is_ready(f"entry-{index}")


@then("all engine memory is released")
def check_memory(context):
    for engine in context.cluster.engines.values():
        context.cluster.wait_until(
            lambda e=engine: e.call("GET", "/v1/residents")[1]["residents"] == [],
            f"{engine.name} has released its memory",
            CONVERGENCE_TIMEOUT_S * 2,
        )


@when("{count:d} operators activate presets based on the same revision")
def activate_presets(context, count):
    settings = str(context.cluster.write_ctl_settings())
    context.codes = [
        ctl(["--settings", settings, "preset", "activate", name, "--base", "1"])
        for name in ("peak", "maintenance", "ordinary")[:count]
    ]


@then("{count:d} activation succeeds")
def check_activations(context, count):
    assert sorted(context.codes) == [0] * count + [3] * (len(context.codes) - count), (
        context.codes
    )


@then('preset "{name}" is in force on every daemon')
def check_preset(context, name):
    for daemon in context.cluster.daemons.values():
        context.cluster.wait_until(
            lambda d=daemon: d.call("GET", "/status")[1]["preset"] == name,
            f"{name} is in force",
            CONVERGENCE_TIMEOUT_S,
        )


VALID_BODY = json.dumps(
    {"model": "base", "messages": [{"role": "user", "content": "hello"}]}
)
NUMERIC_CONTENT = [{"role": "user", "content": 1}]
INVALID_REQUESTS = {
    "a body that is not JSON": ("{", {}),
    "a JSON body that is not an object": ("[]", {}),
    "no model": ('{"messages": [{"content": "x"}]}', {}),
    "a number as message content": (
        json.dumps({"model": "base", "messages": NUMERIC_CONTENT}),
        {},
    ),
    "an unknown model": (VALID_BODY.replace("base", "other"), {}),
    "a string as max_tokens": (VALID_BODY[:-1] + ', "max_tokens": "9"}', {}),
    "no deadline": (VALID_BODY, {"Request-Deadline": None}),
    "a past deadline": (VALID_BODY, {"Request-Deadline": "1000"}),
    "an out-of-range deadline": (VALID_BODY, {"Request-Deadline": "9e99"}),
    "a deadline that is not a number": (VALID_BODY, {"Request-Deadline": "soon"}),
    "no API key": (VALID_BODY, {"Authorization": None}),
    "an unknown API key": (VALID_BODY, {"Authorization": "Bearer nobody"}),
    "a body over the size limit": ("x" * 9_000_000, {}),
}


@when("a request with {fault} is sent to daemon {index:d}")
def send_invalid(context, fault, index):
    body, changes = INVALID_REQUESTS[fault]
    headers = {
        "Authorization": "Bearer key-ws1",
        "Request-Deadline": f"{time() + 20:.3f}",
    }
    headers = {**headers, **changes}
    sent_headers = {name: value for name, value in headers.items() if value}
    port = context.cluster.daemons[f"entry-{index}"].port
    connection = HTTPConnection("127.0.0.1", port, timeout=20)
    try:
        connection.request("POST", "/v1/chat/completions", body, sent_headers)
    except OSError:
        pass  # the daemon may respond and close before it has read the whole body
    response = connection.getresponse()
    context.status = response.status
    context.error = json.loads(response.read())["error"]
    connection.close()


@then("it is refused with reason {reason} and status {status:d}")
def check_refusal(context, reason, status):
    assert context.status == status, (context.status, context.error)
    assert context.error["reason"] == reason, context.error
    assert len(context.error["message"]) > 20
