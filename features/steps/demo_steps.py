"""Steps that run the demo as a user does."""

import subprocess
import sys

from behave import then, when

LIMIT_S = 180


@when("the demo runs")
def run_demo(context):
    command = [sys.executable, "-m", "briarrelay_bench.demo"]
    context.demo = subprocess.run(
        command, capture_output=True, text=True, timeout=LIMIT_S, check=False
    )


@then("it ends with {code:d}")
def check_code(context, code):
    output = context.demo.stdout + context.demo.stderr
    assert context.demo.returncode == code, output


@then('it prints "{text}"')
def check_output(context, text):
    assert text in context.demo.stdout, context.demo.stdout
