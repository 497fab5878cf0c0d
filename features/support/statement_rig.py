"""Plays upstreams that say of themselves that they leave or want rest.

The load, the processes and cuts are those of `partition_rig`. What reached an
upstream is taken from the upstreams, and is put down to the entry that the
caller chose.
"""

import asyncio
import collections
import json
from pathlib import Path
from typing import NamedTuple

from tornado import httpclient

from emulator.deployment import Deployment
from emulator.proxy import ProxyFault
from features.support.partition_rig import DEPLOYMENT
from features.support.partition_rig import Cut
from features.support.partition_rig import FirstTry
from features.support.partition_rig import PartitionResult
from features.support.partition_rig import PartitionRig

# Time from an answer that says that its upstream leaves until its entry sends
# nothing more to it.
DRAIN_S = 2.0
# Requests that were decided on before an answer asked for rest may arrive for
# this long; of later ones, this many may.
REST_SETTLE_S = 0.5
REST_REQUESTS = 2


class Play(NamedTuple):
    """Describes what upstreams say, and what fails meanwhile.

    Attributes:
      upstream_faults: faults by name of the upstream.
      span_s: for how long, in seconds.
      cut_zones: zones whose entries reach no upstream meanwhile.
      store_faults: faults of the store meanwhile.
      deployment: the processes and their load.
    """

    upstream_faults: dict[str, dict[str, object]]
    span_s: float = 8.0
    cut_zones: frozenset[str] = frozenset()
    store_faults: tuple[tuple[str, object], ...] = ()
    deployment: Deployment = DEPLOYMENT


class AnswerHead(NamedTuple):
    """An answer as its upstream tells it; see `emulator.upstream.Answer`."""

    request: str
    arrived_s: float
    answered_s: float
    status: int
    leaving: bool
    rest_s: float


class StatementResult(NamedTuple):
    """Holds what was seen.

    Attributes:
      seen: what callers and logs show.
      began_s: when the upstreams began to say so, on the monotonic clock.
      answers: answers by name of the upstream.
    """

    seen: PartitionResult
    began_s: float
    answers: dict[str, list[AnswerHead]]

    def sent_to_leaving(self) -> list[str]:
        """Returns requests that reached an upstream after it said it leaves.

        They were sent later than `DRAIN_S` after their entry had passed on an
        answer that said so.
        """
        tries = {each.request: each for each in self.seen.tries}
        found = []
        for upstream, answers in self.answers.items():
            told_s: dict[str, float] = {}
            for answer in answers:
                each = tries.get(answer.request)
                if each is None or not answer.leaving or each.status == 0:
                    continue
                ended_s = each.sent_s + each.took_s
                told_s[each.gateway] = min(
                    ended_s, told_s.get(each.gateway, ended_s)
                )
            for answer in answers:
                each = tries.get(answer.request)
                if each is None or each.gateway not in told_s:
                    continue
                late_s = each.sent_s - told_s[each.gateway]
                if late_s > DRAIN_S:
                    found.append(
                        f"{each.gateway} to {upstream} {late_s:.2f} s after"
                    )
        return found

    def sent_in_rest(self) -> list[str]:
        """Returns the rests in which more requests came than may."""
        tries = {each.request: each for each in self.seen.tries}
        found = []
        for upstream, answers in self.answers.items():
            arrivals = collections.defaultdict(list)
            for answer in answers:
                if answer.request in tries:
                    gateway = tries[answer.request].gateway
                    arrivals[gateway].append(answer)
            for gateway, at_gateway in arrivals.items():
                for asked in at_gateway:
                    count = _count_in_rest(asked, at_gateway)
                    if count > REST_REQUESTS:
                        found.append(f"{count} from {gateway} to {upstream}")
        return found

    def asked_rests(self) -> int:
        """Returns the number of answers that asked for rest."""
        return sum(
            answer.rest_s > 0
            for answers in self.answers.values()
            for answer in answers
        )

    def tries_between(self, from_s: float, to_s: float) -> list[FirstTry]:
        """Returns the tries that were sent in a span of the play."""
        return [
            each for each in self.seen.tries if from_s <= each.sent_s < to_s
        ]


def _count_in_rest(asked: AnswerHead, answers: list[AnswerHead]) -> int:
    """Returns how many requests arrived in the rest that one answer asks."""
    from_s = asked.answered_s + REST_SETTLE_S
    to_s = asked.answered_s + asked.rest_s
    return sum(from_s < each.arrived_s < to_s for each in answers)


class _StatementRig(PartitionRig):
    """Sets the faults of upstreams and of the store together with a cut."""

    def __init__(
        self, *, play: Play, directory: Path, seed: int, **options
    ) -> None:
        cut = Cut(
            fault=ProxyFault.HANG, zones=play.cut_zones, span_s=play.span_s
        )
        super().__init__(
            cut=cut,
            directory=directory,
            seed=seed,
            deployment=play.deployment,
            **options,
        )
        self._play = play
        self.answers: dict[str, list[AnswerHead]] = {}

    async def play_statements(self) -> StatementResult:
        seen = await self.play()
        return StatementResult(seen, self._cut_s, self.answers)

    async def _apply(self) -> None:
        await super()._apply()
        if self._play.store_faults:
            await self.world.set_faults(
                self.world.store, "/faults", **dict(self._play.store_faults)
            )
        for name, faults in self._play.upstream_faults.items():
            await self._set_upstream(name, faults)

    async def _heal(self) -> None:
        await super()._heal()
        if self._play.store_faults:
            await self.world.set_faults(self.world.store, "/faults")
        for name in self._play.upstream_faults:
            await self._set_upstream(name, {})

    async def _set_upstream(self, name: str, faults: dict[str, object]) -> None:
        address = self.world.upstreams[name]
        await self.world.set_faults(address, "/emulator/faults", **faults)

    async def _collect(self) -> None:
        client = httpclient.AsyncHTTPClient()
        for name, address in self.world.upstreams.items():
            response = await client.fetch(f"http://{address}/emulator/answers")
            self.answers[name] = [
                AnswerHead(**each) for each in json.loads(response.body)
            ]


def play(
    *, play: Play, directory: Path, seed: int, **options
) -> StatementResult:
    """Plays in an event loop of its own."""

    async def run() -> StatementResult:
        rig = _StatementRig(
            play=play, directory=directory, seed=seed, **options
        )
        try:
            return await rig.play_statements()
        finally:
            httpclient.AsyncHTTPClient().close()

    return asyncio.run(run())
