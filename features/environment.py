"""Behave hooks: processes end with their scenario, and errors are shown."""

import sys
import traceback

from behave.model_core import Status

from features.support.harness import Processes


def before_scenario(context, scenario):
    del scenario
    context.processes = Processes()


def after_step(context, step):
    del context
    # Behave's reports show failed checks, but not why a step ended in an error.
    if step.status == Status.error and step.exception is not None:
        print(f"{step.location}: {step.name}", file=sys.__stderr__)
        traceback.print_exception(step.exception, file=sys.__stderr__)


def after_scenario(context, scenario):
    if scenario.status.is_failure():
        print(context.processes.log_tails())
    context.processes.end()
