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

SETTLE_S = 30.0


@given("{daemons:d} daemons before {engines:d} engines")
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
    cluster.start_entries(names, make_configuration("short"))
    if engines:
        for daemon in cluster.daemons.values():
            cluster.wait_until(
                lambda d=daemon: _reports(d) == engines, "engines report", SETTLE_S
            )


def _reports(daemon) -> int:
    engines = daemon.call("GET", "/status")[1]["engines"]
    return sum(engine["report_age_s"] is not None for engine in engines)


def _caller(context, index: int) -> Caller:
    return Caller(context.cluster.daemons[f"entry-{index}"].port)


def _in_background(context, action) -> None:
    results = []
    thread = threading.Thread(target=lambda: results.append(action()))
    thread.start()
    context.jobs.append((thread, results))


def _results(context) -> list:
    for thread, _ in context.jobs:
        thread.join(SETTLE_S * 2)
    return [results[0] if results else None for _, results in context.jobs]


@when("the log is {fault}")
def break_log(context, fault):
    values = {"down": {"fail": 1}, "up": {"fail": 0}}[fault]
    context.cluster.platform.set_faults(**values)


@when("daemon {index:d} has noticed that the log is down")
def wait_log_down(context, index):
    daemon = context.cluster.daemons[f"entry-{index}"]
    context.cluster.wait_until(
        lambda: daemon.call("GET", "/status")[1]["log_down_s"] > 2.0,
        "the log is seen to be down",
        SETTLE_S * 2,
    )


@when("a booking is made at daemon {index:d}")
def book(context, index):
    context.key = str(uuid7())
    context.booking = _caller(context, index).book(context.key)


@when("the same booking is made at daemon {index:d}")
def book_again(context, index):
    context.booking = _caller(context, index).book(context.key)


@when("the service loses its answers")
def lose_answers(context):
    context.cluster.services["booking-0"].set_faults(lose_answers=1)


@when("a booking is on its way at daemon {index:d}")
def book_in_background(context, index):
    context.key = str(uuid7())
    caller = _caller(context, index)

    def action():
        try:
            return caller.book(context.key, timeout=8.0)
        except OSError as error:
            return error

    _in_background(context, action)
    service = context.cluster.services["booking-0"]
    context.cluster.wait_until(
        lambda: service.call("GET", "/runs")[1].get(context.key), "the call runs"
    )


@then('the booking is answered with "{tag}"')
def check_booking(context, tag):
    status, value = context.booking
    outcome = "done" if status == 200 else value["error"]["outcome"]
    assert outcome == tag, context.booking


@then("the service ran it {count:d} times")
def check_runs(context, count):
    runs = context.cluster.services["booking-0"].call("GET", "/runs")[1]
    assert runs.get(context.key, 0) == count, runs


@when("a chat is served by daemon {index:d}")
def chat(context, index):
    context.chat = _caller(context, index).chat(2_000, 20)


@when("long chats are in progress at daemon {index:d}")
def chats_in_background(context, index):
    caller = _caller(context, index)

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


@then("the chat is whole")
def check_chat(context):
    answer = context.chat
    assert answer.is_whole, answer
    assert answer.text == answer_text(answer.request_id, 20)


@then("every chat in progress is whole")
def check_chats(context):
    for answer in _results(context):
        assert answer is not None and answer.is_whole, answer
        assert answer.text == answer_text(answer.request_id, 400)


@when("daemon {index:d} is told to stop")
def stop(context, index):
    context.cluster.daemons[f"entry-{index}"].signal(signal.SIGTERM)


@when("daemon {index:d} is killed")
def kill(context, index):
    context.cluster.daemons[f"entry-{index}"].kill()


@when("daemon {index:d} is started again")
def start_again(context, index):
    context.cluster.start_daemon(f"entry-{index}", wait=False)


@when("daemon {index:d} is off the list")
def unlist(context, index):
    cluster = context.cluster
    daemon = cluster.daemons.pop(f"entry-{index}")
    cluster.publish_list()
    cluster.daemons[daemon.name] = daemon


@when("{seconds:g} seconds pass")
def wait(context, seconds):
    sleep(seconds)


@then("daemon {index:d} ends with {code:d}")
def check_end(context, index, code):
    assert context.cluster.daemons[f"entry-{index}"].wait() == code


@then("daemon {index:d} becomes ready")
def check_ready(context, index):
    context.cluster.wait_until(
        lambda: context.cluster._is_ready(f"entry-{index}"), "it is ready", SETTLE_S
    )


@then("daemon {index:d} is not ready")
def check_unready(context, index):
    assert not context.cluster._is_ready(f"entry-{index}")


@then("no engine holds memory")
def check_memory(context):
    for engine in context.cluster.engines.values():
        context.cluster.wait_until(
            lambda e=engine: e.call("GET", "/v1/residents")[1]["residents"] == [],
            f"{engine.name} is free",
            SETTLE_S * 2,
        )


@when("{count:d} operators activate presets on the same revision")
def race(context, count):
    settings = str(context.cluster.write_ctl_settings())
    context.codes = [
        ctl(["--settings", settings, "preset", "activate", name, "--base", "1"])
        for name in ("peak", "maintenance", "ordinary")[:count]
    ]


@then("{count:d} of them is told to have won")
def check_race(context, count):
    assert sorted(context.codes) == [0] * count + [3] * (len(context.codes) - count), (
        context.codes
    )


@then('preset "{name}" is in force everywhere')
def check_preset(context, name):
    for daemon in context.cluster.daemons.values():
        context.cluster.wait_until(
            lambda d=daemon: d.call("GET", "/status")[1]["preset"] == name,
            f"{name} is in force",
            SETTLE_S,
        )


BODY = json.dumps({"model": "base", "messages": [{"role": "user", "content": "hello"}]})
CONTENT = [{"role": "user", "content": 1}]
BAD = {
    "not JSON": ("{", {}),
    "no object": ("[]", {}),
    "no model": ('{"messages": [{"content": "x"}]}', {}),
    "a number as content": (json.dumps({"model": "base", "messages": CONTENT}), {}),
    "an unknown model": (BODY.replace("base", "other"), {}),
    "text as max_tokens": (BODY[:-1] + ', "max_tokens": "9"}', {}),
    "no deadline": (BODY, {"Request-Deadline": None}),
    "a past deadline": (BODY, {"Request-Deadline": "1000"}),
    "an absurd deadline": (BODY, {"Request-Deadline": "9e99"}),
    "a deadline that is no number": (BODY, {"Request-Deadline": "soon"}),
    "no key": (BODY, {"Authorization": None}),
    "a wrong key": (BODY, {"Authorization": "Bearer nobody"}),
    "a body beyond the limit": ("x" * 9_000_000, {}),
}


@when("a request with {fault} is sent to daemon {index:d}")
def send_bad(context, fault, index):
    body, changes = BAD[fault]
    headers = {
        "Authorization": "Bearer key-ws1",
        "Request-Deadline": f"{time() + 20:.3f}",
    }
    headers = {**headers, **changes}
    given_headers = {name: value for name, value in headers.items() if value}
    port = context.cluster.daemons[f"entry-{index}"].port
    connection = HTTPConnection("127.0.0.1", port, timeout=20)
    try:
        connection.request("POST", "/v1/chat/completions", body, given_headers)
    except OSError:
        pass  # the daemon may answer and close before it has read everything
    response = connection.getresponse()
    context.status = response.status
    context.error = json.loads(response.read())["error"]
    connection.close()


@then("it is refused as {reason} with status {status:d}")
def check_refusal(context, reason, status):
    assert context.status == status, (context.status, context.error)
    assert context.error["reason"] == reason, context.error
    assert len(context.error["message"]) > 20
