"""Steps that run the demo from the command line."""

import subprocess
import sys

from behave import then, when

DEMO_TIMEOUT_S = 180


@when("the demo runs")
def run_demo(context):
    command = [sys.executable, "-m", "briarrelay_bench.demo"]
    context.demo = subprocess.run(
        command, capture_output=True, text=True, timeout=DEMO_TIMEOUT_S, check=False
    )


@then("it exits with code {code:d}")
def check_exit_status(context, code):
    output = context.demo.stdout + context.demo.stderr
    assert context.demo.returncode == code, output


@then('it prints "{text}"')
def check_output(context, text):
    assert text in context.demo.stdout, context.demo.stdout
