"""Behave hooks that end the processes of a scenario when it ends."""

from features.support.harness import Processes


def before_scenario(context, scenario):
    del scenario
    context.processes = Processes()


def after_scenario(context, scenario):
    if scenario.status.is_failure():
        print(context.processes.log_tails())
    context.processes.end()
