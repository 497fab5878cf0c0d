"""Plays upstreams that say of themselves that they leave or want rest.

The load, the processes and cuts are those of `partition_rig`. What reached an
upstream is taken from the upstreams, and is put down to the entry that the
caller chose.
"""

import asyncio
import itertools
import json
from pathlib import Path
from typing import NamedTuple

from tornado import httpclient

from emulator import statement_rules
from emulator.deployment import Deployment
from emulator.proxy import ProxyFault
from emulator.statement_rules import AnswerHead
from emulator.statement_rules import CallerTry
from features.support.partition_rig import DEPLOYMENT
from features.support.partition_rig import Cut
from features.support.partition_rig import FirstTry
from features.support.partition_rig import PartitionResult
from features.support.partition_rig import PartitionRig


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

    def _tries(self) -> dict[str, CallerTry]:
        """Returns the tries by request, on the monotonic clock."""
        found = {}
        for each in self.seen.tries:
            sent_s = self.began_s + each.sent_s
            found[each.request] = CallerTry(
                gateway=each.gateway,
                sent_s=sent_s,
                ended_s=sent_s + each.took_s,
                answered=each.status != 0,
            )
        return found

    def _all_answers(self) -> list[AnswerHead]:
        return list(itertools.chain(*self.answers.values()))

    def sent_to_leaving(self) -> list[str]:
        """Returns requests that reached an upstream after it said it leaves."""
        breaches = statement_rules.sent_to_leaving(
            self._tries(), self._all_answers()
        )
        return [breach.detail for breach in breaches]

    def sent_in_rest(self) -> list[str]:
        """Returns the rests in which more requests came than may."""
        breaches = statement_rules.sent_in_rest(
            self._tries(), self._all_answers()
        )
        return [breach.detail for breach in breaches]

    def refusals(self, each: FirstTry) -> list[AnswerHead]:
        """Returns the answers with which upstreams refused a request."""
        return [
            answer
            for answer in self._all_answers()
            if answer.request == each.request and answer.status == 503
        ]

    def asked_before(
        self, each: FirstTry, refusal: AnswerHead
    ) -> list[AnswerHead]:
        """Returns the rests that an upstream had asked a try's entry for.

        Args:
          each: the try.
          refusal: an answer of the upstream that refused it.
        """
        gateways = {one.request: one.gateway for one in self.seen.tries}
        sent_s = self.began_s + each.sent_s
        return [
            answer
            for answer in self._all_answers()
            if answer.incarnation == refusal.incarnation
            and answer.rest_s > 0
            and gateways.get(answer.request) == each.gateway
            and answer.answered_s < sent_s
        ]

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
