"""Steps of leaving.feature: drains, stops and kills of real processes."""

import threading
import time

from behave import given
from behave import then
from behave import when

from features.support.deployment import Deployment
from features.support.deployment import Shape
from features.support.harness import get
from features.support.harness import wait_until
from features.support.leaving_load import APPROVE
from features.support.leaving_load import BUSY_LOOK_UP
from features.support.leaving_load import LOOK_UP
from features.support.leaving_load import BackgroundRequest
from features.support.leaving_load import keys_run_twice
from features.support.leaving_load import long_work
from features.support.leaving_load import read_load_outcome
from features.support.leaving_load import restart_in_turn
from features.support.leaving_load import slow_download
from features.support.leaving_load import slow_upload
from features.support.leaving_load import start_load
from features.support.leaving_load import starts_after
from features.support.leaving_load import wait_running
from features.support.request_sender import RequestSender

LONG_WORK_MS = 3000
LEAVE_LIMIT_S = 3.0
LONG_WORK_TRIES = 30
# Deadline of uploads and statements in scenarios that wait until it passes.
SHORT_DEADLINE_MS = 4000
DOWNLOAD_BYTES = 5_000_000
MARKED = ("bkk-u0", "bkk-u1", "bkk-u2")


@given(
    "a steady deployment of {entries:d} entries and {upstreams:d} upstreams "
    "in bkk"
)
def step_steady(context, entries, upstreams):
    start_deployment(context, Deployment, entries, upstreams)


@given(
    "a steady deployment of {entries:d} entries and {upstreams:d} upstreams "
    "in bkk with short deadlines"
)
def step_steady_short(context, entries, upstreams):
    start_deployment(context, ShortDeadlineDeployment, entries, upstreams)


def start_deployment(context, deployment_class, entries, upstreams):
    context.deployment = deployment_class(
        processes=context.processes,
        shape=Shape(entries={"bkk": entries}, upstreams={"bkk": upstreams}),
    )
    context.deployment.start()
    for addresses in context.deployment.entries.values():

        def is_answered(address=addresses["caller"]):
            return get(address, "/matching/orders/0").status == 200

        wait_until(is_answered, what="the first answer")


class ShortDeadlineDeployment(Deployment):
    """Has short deadlines: a dead home's slots are held for the longest one."""

    def deployment_text(self):
        text = super().deployment_text()
        short = f"deadline_ms = {SHORT_DEADLINE_MS}"
        return text.replace("deadline_ms = 20000", short)


@given("look-ups arrive at {rate:d} a second")
def step_look_ups(context, rate):
    context.rate = rate
    # More requests than a scenario needs; a later step stops the callers.
    context.load = start_load(
        context.deployment, rate=rate, count=rate * 60, classes=[LOOK_UP]
    )
    time.sleep(0.5)


def stop_load(context):
    context.load.terminate()
    return read_load_outcome(context.deployment)


@when('long work runs on upstream "bkk-u0", "bkk-u1" and "bkk-u2"')
def step_long_work(context):
    context.works = []
    address = context.deployment.callers()[0]
    busy = set()
    for number in range(LONG_WORK_TRIES):
        work = BackgroundRequest(
            long_work, address, LONG_WORK_MS, f"long{number}"
        )
        found = wait_until(
            lambda path_part=f"/long{number}?", work=work: (
                work.end_s or upstream_running(context.deployment, path_part)
            ),
            what="long work",
        )
        if isinstance(found, str):
            context.works.append(work)
            busy.add(found)
        if busy >= set(MARKED):
            return
    raise AssertionError(f"long work runs only on {busy}")


def upstream_running(deployment, path_part):
    """Returns the upstream whose runs include a path, or an empty string."""
    for name in deployment.upstreams:
        for run in deployment.journal(name)["runs"]:
            if path_part in run["path"]:
                return name
    return ""


@when(
    '"bkk-u0" is marked by the operator, "bkk-u1" by the VM list, '
    '"bkk-u2" by itself'
)
def step_marks(context):
    deployment = context.deployment
    context.marked_s = time.monotonic()
    deployment.publish_vms(leaving=("bkk-u1",))
    deployment.control("bkk-u2", draining=True)
    response = deployment.mark("bkk-e0", "bkk-u0", leaving=True)
    assert response.status == 200, response
    context.mark_accepted_s = time.monotonic() - context.marked_s


@when("the platform goes out {time_s:f} s later")
def step_platform_out_later(context, time_s):
    time.sleep(max(0.0, context.marked_s + time_s - time.monotonic()))
    context.deployment.faults(down=True, vm_list_down=True)


@then("no work starts on those three from 3 s after the mark for 2 s")
def step_no_new_work(context):
    limit_s = context.marked_s + LEAVE_LIMIT_S
    time.sleep(limit_s + 2.0 - time.monotonic())
    context.last_start_s = {}
    for name in MARKED:
        assert not starts_after(context.deployment, name, limit_s), name
        late = starts_after(context.deployment, name, context.marked_s)
        last_s = max([run["start"] for run in late], default=None)
        if last_s is not None:
            context.last_start_s[name] = round(last_s - context.marked_s, 3)
    others = starts_after(context.deployment, "bkk-u3", limit_s)
    assert others, "no load reached bkk-u3"


@then("the long work on them ended whole, and their drains are shown as done")
def step_drained(context):
    for work in context.works:
        assert work.wait().status == 200
    operator = context.deployment.entries["bkk-e0"]["operator"]
    for name in MARKED:

        def is_done(name=name):
            shown = get(operator, f"/v1/drains/{name}").json()
            home = get(shown["home_address"], f"/v1/drains/{name}").json()
            return home["leaving"] and home["in_flight"] == 0

        wait_until(is_done, what=f"the drain of {name}")
    print("mark accepted after", round(context.mark_accepted_s, 3), "s")
    print("last new work after the mark:", context.last_start_s)
    ends_s = [work.end_s - context.marked_s for work in context.works]
    print("drained after", round(max(ends_s), 2), "s")


@when("the platform is on again and the marks are taken back")
def step_marks_removed(context):
    deployment = context.deployment
    deployment.faults(down=False, vm_list_down=False)
    deployment.publish_vms()
    deployment.control("bkk-u2", draining=False)
    response = deployment.mark("bkk-e1", "bkk-u0", leaving=False)
    assert response.status == 200, response
    context.marks_removed_s = time.monotonic()
    start_load(
        deployment,
        rate=40,
        count=40 * 20,
        classes=[BUSY_LOOK_UP],
        name="more",
    )


@then("work starts on those three again within {limit_s:d} s")
def step_work_again(context, limit_s):
    for name in MARKED:

        def has_work(name=name):
            return starts_after(
                context.deployment, name, context.marks_removed_s
            )

        wait_until(has_work, limit_s=limit_s, what=f"work on {name}")


@then("no look-up failed")
@then("no look-up was cut off")
def step_no_failure(context):
    outcome = stop_load(context)
    assert outcome.answered > context.rate, outcome
    assert not outcome.failed, (len(outcome.failed), outcome.failed[:3])


@when('the VM list marks "{name}" and goes out, and its home restarts')
def step_list_out(context, name):
    deployment = context.deployment
    deployment.publish_vms(leaving=(name,))
    for entry in deployment.entries:

        def is_known(entry=entry):
            [row] = deployment.status(entry)["upstreams"]
            return row["state"] == "leaving"

        wait_until(is_known, what=f"the mark on {entry}")
    deployment.faults(vm_list_down=True)
    home = deployment.home_of(name, asked="bkk-e0")
    deployment.processes.children[home].terminate()
    deployment.start_entry(home)

    def is_home():
        status = deployment.status(home)
        return status and len(status["entries"]) == 2

    wait_until(is_home, what="the restarted home in the table")
    wait_until(
        lambda: deployment.home_of(name, asked=home) == home, what="its home"
    )
    context.restarted_s = time.monotonic()


@then('requests through each entry are refused and "{name}" starts no work')
def step_refused(context, name):
    deployment = context.deployment
    until_s = time.monotonic() + 2.0
    while time.monotonic() < until_s:
        for address in deployment.callers():
            response = get(address, "/matching/orders/1")
            assert response.status == 503, response
            assert response.json()["ran"] == "no", response
        time.sleep(0.05)
    assert not starts_after(deployment, name, context.restarted_s)


@when(
    "callers send {rate:d} requests a second while {count:d} entries "
    "restart in turn"
)
def step_rolling(context, rate, count):
    context.rate = rate
    context.load = start_load(
        context.deployment,
        rate=rate,
        count=rate * 120,
        classes=[LOOK_UP, APPROVE],
    )
    context.codes = restart_in_turn(context.deployment, count)


@then("each stop ended with exit code 0")
def step_codes(context):
    assert not any(context.codes), context.codes


@then("each request was answered 200, or refused as not run and done later")
def step_all_completed(context):
    step_no_failure(context)


@then("no key ran twice, and no upstream had more than its slots")
def step_keys(context):
    assert not keys_run_twice(context.deployment)
    step_slots(context)


@then("no upstream had more than its slots")
def step_slots(context):
    deployment = context.deployment
    for name in deployment.upstreams:
        journal = deployment.journal(name)
        assert journal["max_in_flight"] <= deployment.shape.slots, name
        assert not journal["refused"]["over_slots"], journal["refused"]


@when('a slow upload, a slow download and long work run through "{name}"')
def step_streams(context, name):
    run_streams(context, name, DOWNLOAD_BYTES)


@when(
    "a slow upload, a slow download of {size_mb:d} MB and long work run "
    'through "{name}"'
)
def step_long_streams(context, name, size_mb):
    run_streams(context, name, size_mb * 1_000_000)


def run_streams(context, name, download_bytes):
    context.download_bytes = download_bytes
    address = context.deployment.entries[name]["caller"]
    context.works = [
        BackgroundRequest(slow_upload, address, 50, 0.1),
        BackgroundRequest(slow_download, address, download_bytes, 0.5),
        BackgroundRequest(long_work, address, 5000, "long"),
    ]
    time.sleep(1.0)


@when(
    "approvals arrive every {gap_ms:d} ms for {length_s:d} s while the home of "
    '"{name}" stops'
)
def step_approvals(context, gap_ms, length_s, name):
    deployment = context.deployment
    home = deployment.home_of(name, asked="bkk-e0")
    (other,) = set(deployment.entries) - {home}
    sender = RequestSender(deployment=deployment)
    stopping = threading.Thread(
        target=context.processes.children[home].terminate
    )
    for number in range(length_s * 1000 // gap_ms):
        sender.approve(entry=other, key=f"leaving-{number}")
        if number == 3:
            stopping.start()
        time.sleep(gap_ms / 1000)
    context.responses = [request.wait() for request in sender.all]
    stopping.join()


@then("each approval was answered 200, or refused as not run")
def step_approvals_certain(context):
    served = 0
    for response in context.responses:
        served += response.status == 200
        if response.status != 200:
            assert response.ran == "no", response.summary
    print("served", served, "of", len(context.responses))


@when('"{name}" is stopped')
def step_stop(context, name):
    context.stop_s = time.monotonic()
    context.codes = [context.processes.children[name].terminate()]
    context.stopped_s = time.monotonic()


@then("each of them ends whole")
def step_complete(context):
    upload, download, work = context.works
    response = upload.wait()
    assert response.status == 200, response
    assert response.headers["Body-Length"] == "500000", response.headers
    assert len(download.wait().body) == context.download_bytes
    assert work.wait().status == 200


@then('"{name}" ended with exit code 0 after them')
def step_ended_after(context, name):
    del name
    assert context.codes == [0], context.codes
    for work in context.works:
        # Not compared with the end of the stop: a caller may read the last
        # bytes from its own buffer after it.
        assert work.end_s > context.stop_s, "the work ended before the stop"


@when('the platform goes out and "{name}" is stopped')
def step_out_and_stop(context, name):
    context.deployment.faults(down=True, vm_list_down=True)
    step_stop(context, name)


@then('"{name}" ended with exit code 0 within {limit_s:d} s')
def step_ended_within(context, name, limit_s):
    del name
    assert context.codes == [0], context.codes
    took_s = context.stopped_s - context.stop_s
    assert took_s < limit_s, took_s


@when("the platform is on again")
def step_platform_back(context):
    context.deployment.faults(down=False, vm_list_down=False)


@then('the homes of "{name}" are taken over within {limit_s:d} s')
def step_taken_over(context, name, limit_s):
    deployment = context.deployment
    deployment.entries.pop(name)
    wait_until(deployment.is_ready, limit_s=limit_s, what="the homes")


@when(
    'the home of "{name}" is killed with work running, and the VM list drops it'
)
def step_kill_home(context, name):
    deployment = context.deployment
    home = deployment.home_of(name, asked="bkk-e0")
    other = next(entry for entry in deployment.entries if entry != home)
    address = deployment.entries[other]["caller"]
    works = []
    while not deployment.journal(name)["busy"]:
        works.append(
            BackgroundRequest(long_work, address, 1500, f"k{len(works)}")
        )
        assert len(works) < 12, "no work reached the upstream"
        time.sleep(0.1)
    wait_running(deployment, name)
    deployment.processes.children[home].kill()
    deployment.entries.pop(home)
    deployment.publish_vms()
    context.killed_s = time.monotonic()
    context.load = start_load(
        deployment, rate=40, count=40 * 60, classes=[BUSY_LOOK_UP]
    )


@then('"{name}" takes work again within {limit_s:d} s')
def step_takes_work(context, name, limit_s):
    def has_work():
        return starts_after(context.deployment, name, context.killed_s)

    runs = wait_until(has_work, limit_s=limit_s, what=f"work on {name}")
    print("idle for", round(runs[0]["start"] - context.killed_s, 2), "s")
    context.load.terminate()
