"""Keys sent and repeated through all entries under faults drawn from a seed."""

import random
import threading
import time

from features.support.sendings import Sendings

SENDERS = 6
REPEATS = 3
PAUSE_S = 0.05
LONGEST_WORK_MS = 250
LONGEST_FAULT_S = 0.8
REFUSED_PAUSE_S = 0.1
DEADLINES_MS = (150, 400, 1500, 0)


class RandomFaults:
    """One run: senders in threads, one fault at a time beside them."""

    def __init__(self, *, sendings: Sendings, seed: int) -> None:
        """Prepares a run."""
        self._sendings = sendings
        self._deployment = sendings.deployment
        self._seed = seed
        self._ended = threading.Event()
        self._lock = threading.Lock()
        self.faults: list[str] = []

    def run(self, *, duration_s: float) -> None:
        """Runs, then mends everything and waits for the last answers."""
        threads = []
        for number in range(SENDERS):
            thread = threading.Thread(target=self._send, args=(number,))
            thread.start()
            threads.append(thread)
        draw = random.Random(self._seed)
        end_s = time.monotonic() + duration_s
        try:
            while time.monotonic() < end_s:
                self._one_fault(draw)
        finally:
            self._ended.set()
            for thread in threads:
                thread.join()

    def _send(self, number: int) -> None:
        draw = random.Random(f"{self._seed}/{number}")
        count = 0
        while not self._ended.is_set():
            count += 1
            key = f"key-{number}-{count}"
            query = f"work_ms={draw.randrange(LONGEST_WORK_MS)}"
            deadline_ms = draw.choice(DEADLINES_MS)
            pending = []
            for _ in range(1 + draw.randrange(REPEATS)):
                entry = draw.choice(sorted(self._deployment.entries))
                with self._lock:
                    sending = self._sendings.approve(
                        entry=entry,
                        key=key,
                        query=query,
                        deadline_ms=deadline_ms,
                    )
                pending.append(sending)
                time.sleep(draw.random() * PAUSE_S)
                if draw.random() < 0.5:
                    sending.wait()
            for sending in pending:
                if sending.wait().ran != "yes":
                    time.sleep(draw.random() * REFUSED_PAUSE_S)

    def _one_fault(self, draw: random.Random) -> None:
        fault = draw.choice(
            (
                self._kill,
                self._freeze,
                self._platform_out,
                self._platform_slow,
                self._lose,
                self._cut,
                self._drain,
            )
        )
        self.faults.append(fault.__name__)
        fault(draw)
        time.sleep(draw.random() * PAUSE_S)

    def _entry(self, draw: random.Random) -> str:
        return draw.choice(sorted(self._deployment.entries))

    def _kill(self, draw: random.Random) -> None:
        name = self._entry(draw)
        self._deployment.processes.children[name].kill()
        time.sleep(draw.random() * LONGEST_FAULT_S)
        self._deployment.start_entry(name)

    def _freeze(self, draw: random.Random) -> None:
        child = self._deployment.processes.children[self._entry(draw)]
        child.freeze()
        time.sleep(draw.random() * LONGEST_FAULT_S)
        child.thaw()

    def _platform_out(self, draw: random.Random) -> None:
        self._deployment.faults(down=True)
        time.sleep(draw.random() * LONGEST_FAULT_S)
        self._deployment.faults(down=False)

    def _platform_slow(self, draw: random.Random) -> None:
        self._deployment.faults(delay_ms=draw.randrange(1000))
        time.sleep(draw.random() * LONGEST_FAULT_S)
        self._deployment.faults(delay_ms=0)

    def _lose(self, draw: random.Random) -> None:
        self._deployment.faults(
            lose_answers=draw.randrange(6), lose_calls=draw.randrange(6)
        )

    def _cut(self, draw: random.Random) -> None:
        name = draw.choice(sorted(self._deployment.upstreams))
        self._deployment.control(
            name, cut=draw.randrange(4), cut_after_bytes=draw.choice((0, 30))
        )

    def _drain(self, draw: random.Random) -> None:
        name = draw.choice(sorted(self._deployment.upstreams))
        self._deployment.control(name, draining=True)
        time.sleep(draw.random() * LONGEST_FAULT_S / 4)
        self._deployment.control(name, draining=False)
