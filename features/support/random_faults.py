"""Keyed requests repeated through all entries under seeded random faults."""

import random
import threading
import time

from features.support.request_sender import RequestSender

SENDERS = 6
MAX_REPEATS = 3
MAX_PAUSE_S = 0.05
MAX_WORK_MS = 250
MAX_FAULT_S = 0.8
MAX_REFUSED_PAUSE_S = 0.1
DEADLINES_MS = (150, 400, 1500, 0)


class RandomFaults:
    """Runs sender threads while injecting one fault at a time."""

    def __init__(self, *, sender: RequestSender, seed: int) -> None:
        """Prepares a run without starting it."""
        self._sender = sender
        self._deployment = sender.deployment
        self._seed = seed
        self._ended = threading.Event()
        self._lock = threading.Lock()
        self.faults: list[str] = []

    def run(self, *, duration_s: float) -> None:
        """Injects faults for `duration_s`, then waits for the senders."""
        threads = []
        for number in range(SENDERS):
            thread = threading.Thread(target=self._send, args=(number,))
            thread.start()
            threads.append(thread)
        rng = random.Random(self._seed)
        end_s = time.monotonic() + duration_s
        try:
            while time.monotonic() < end_s:
                self._inject_fault(rng)
        finally:
            self._ended.set()
            for thread in threads:
                thread.join()

    def _send(self, number: int) -> None:
        rng = random.Random(f"{self._seed}/{number}")
        count = 0
        while not self._ended.is_set():
            count += 1
            key = f"key-{number}-{count}"
            query = f"work_ms={rng.randrange(MAX_WORK_MS)}"
            deadline_ms = rng.choice(DEADLINES_MS)
            pending = []
            for _ in range(1 + rng.randrange(MAX_REPEATS)):
                entry = rng.choice(sorted(self._deployment.entries))
                with self._lock:
                    request = self._sender.approve(
                        entry=entry,
                        key=key,
                        query=query,
                        deadline_ms=deadline_ms,
                    )
                pending.append(request)
                time.sleep(rng.random() * MAX_PAUSE_S)
                if rng.random() < 0.5:
                    request.wait()
            for request in pending:
                if request.wait().ran != "yes":
                    time.sleep(rng.random() * MAX_REFUSED_PAUSE_S)

    def _inject_fault(self, rng: random.Random) -> None:
        fault = rng.choice(
            (
                self._kill,
                self._freeze,
                self._platform_outage,
                self._platform_slow,
                self._lose_writes,
                self._cut,
                self._drain,
            )
        )
        self.faults.append(fault.__name__)
        fault(rng)
        time.sleep(rng.random() * MAX_PAUSE_S)

    def _choose_entry(self, rng: random.Random) -> str:
        return rng.choice(sorted(self._deployment.entries))

    def _kill(self, rng: random.Random) -> None:
        name = self._choose_entry(rng)
        self._deployment.processes.children[name].kill()
        time.sleep(rng.random() * MAX_FAULT_S)
        self._deployment.start_entry(name)

    def _freeze(self, rng: random.Random) -> None:
        child = self._deployment.processes.children[self._choose_entry(rng)]
        child.freeze()
        time.sleep(rng.random() * MAX_FAULT_S)
        child.thaw()

    def _platform_outage(self, rng: random.Random) -> None:
        self._deployment.faults(down=True)
        time.sleep(rng.random() * MAX_FAULT_S)
        self._deployment.faults(down=False)

    def _platform_slow(self, rng: random.Random) -> None:
        self._deployment.faults(delay_ms=rng.randrange(1000))
        time.sleep(rng.random() * MAX_FAULT_S)
        self._deployment.faults(delay_ms=0)

    def _lose_writes(self, rng: random.Random) -> None:
        self._deployment.faults(
            lose_answers=rng.randrange(6), lose_calls=rng.randrange(6)
        )

    def _cut(self, rng: random.Random) -> None:
        name = rng.choice(sorted(self._deployment.upstreams))
        self._deployment.control(
            name, cut=rng.randrange(4), cut_after_bytes=rng.choice((0, 30))
        )

    def _drain(self, rng: random.Random) -> None:
        name = rng.choice(sorted(self._deployment.upstreams))
        self._deployment.control(name, draining=True)
        time.sleep(rng.random() * MAX_FAULT_S / 4)
        self._deployment.control(name, draining=False)
