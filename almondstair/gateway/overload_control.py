"""The parts of the scheduling under overload, and which of them are active."""

from almondstair import log
from almondstair.clock import now_s
from almondstair.core.caller_ages import CallerAges
from almondstair.core.caller_ages import has_returned
from almondstair.core.confined_regions import ConfinedRegions
from almondstair.core.confined_regions import RegionChange
from almondstair.core.fair_shares import MaxMinShares
from almondstair.core.fair_shares import ShareChange
from almondstair.core.fair_shares import describe_limit
from almondstair.core.fleet import Fleet
from almondstair.core.overload_parts import OverloadPart
from almondstair.core.overload_parts import OverloadParts
from almondstair.core.overload_records import OverloadRecords
from almondstair.core.overload_records import RequestClass
from almondstair.core.return_times import ConstantReturn
from almondstair.core.return_times import ReturnTimes
from almondstair.gateway.forwarded_call import ForwardedCall
from almondstair.gateway.memory_guard import MemoryGuard
from almondstair.gateway.slot_waits import SlotWaits

_CONSTANT_RETURN = ConstantReturn()
# Parts that ask for the ages of callers.
_RECOGNISING_PARTS = (
    OverloadPart.WAITING,
    OverloadPart.RETURNS,
    OverloadPart.SHARES,
)


class OverloadControl:
    """Holds the parts of one entry.

    Attributes:
      waits: how calls wait for slots.
      shares: which organisations are refused first.
      regions: which objects leave a region to confined requests.
      records: counts for operators.
      memory_guard: bounds what connections hold; None if nothing does.
    """

    def __init__(
        self,
        *,
        parts: OverloadParts,
        fleet: Fleet,
        waits: SlotWaits,
        returns: ReturnTimes,
        shares: MaxMinShares,
        regions: ConfinedRegions,
        records: OverloadRecords,
        memory_guard: MemoryGuard | None = None,
    ) -> None:
        """Creates the control of one entry.

        Args:
          parts: decides which parts are active.
          fleet: supplies the configuration in force.
          waits: how calls wait for slots.
          returns: when refused callers should return.
          shares: which organisations are refused first.
          regions: which objects leave a region to confined requests.
          records: counts for operators.
          memory_guard: bounds what connections hold; None if nothing does.
        """
        self.memory_guard = memory_guard
        self._parts = parts
        self._fleet = fleet
        self.waits = waits
        self._returns = returns
        self.shares = shares
        self.regions = regions
        regions.on_change = self._log_region
        shares.on_change = log_shares
        self.records = records
        self._ages = CallerAges()
        self._logged_active = self._active_parts()

    def is_active(self, part: OverloadPart) -> bool:
        """Returns whether a part is active under the configuration in force."""
        table = self._fleet.table
        if self._parts.set_configuration(
            table.configuration if table else None
        ):
            self._log_change()
        return self._parts.is_active(part)

    def returns(self) -> ReturnTimes:
        """Returns what tells refused callers when to return."""
        if self.is_active(OverloadPart.RETURNS):
            return self._returns
        return _CONSTANT_RETURN

    def _log_change(self) -> None:
        active = self._active_parts()
        if active == self._logged_active:
            return
        self._logged_active = active
        log.event(
            log.Event.OVERLOAD_PARTS_CHANGED,
            active=active,
            route=self._parts.called_for_by,
        )

    @staticmethod
    def _log_region(change: RegionChange) -> None:
        event = log.Event.OBJECTS_BACK_IN_REGION
        if change.leaving:
            event = log.Event.OBJECTS_LEAVE_REGION
        log.event(
            event,
            service=change.service,
            region=change.region,
            use=round(change.use.region, 2),
            other_use=round(change.use.others, 2),
        )

    def recognises_callers(self) -> bool:
        """Returns whether an active part asks for the ages of callers."""
        for part in _RECOGNISING_PARTS:
            if self.is_active(part):
                return True
        return False

    def recognise_caller(self, call: ForwardedCall) -> None:
        """Finds out how long a call's caller has been waiting."""
        if call.stated_s is not None:
            call.caller_age_s = self._ages.age_s(call.route, call.stated_s)
        returned = has_returned(call.caller_age_s)
        requests = RequestClass(call.service, call.route.priority)
        if returned and call.relayed is None:
            self.records.record_returned(requests)
        if not self.is_active(OverloadPart.RETURNS):
            return
        call.has_returned = returned
        if not returned and call.relayed is None:
            self._returns.record_arrival(requests, now_s=now_s())

    def log_turns(self) -> None:
        """Logs that turns of return have run out, or are available again."""
        now = now_s()
        for change in self._returns.take_changes(now_s=now):
            service, priority = change.requests
            event = log.Event.RETURN_TURNS_AVAILABLE
            if change.exhausted:
                event = log.Event.RETURN_TURNS_EXHAUSTED
            log.event(
                event,
                service=service,
                priority=priority,
                without_turn=change.without_turn,
                use=round(self._fleet.utilisation(service, now_s=now), 2),
                entries=len(self._fleet.entry_names),
            )

    def record_answered(self, service: str) -> None:
        """Records that an upstream has answered a request."""
        if self.is_active(OverloadPart.SHARES):
            self.shares.record_answered(service, now_s=now_s())

    def record_no_slot(self, service: str) -> None:
        """Records that a request is refused as it found no slot."""
        if self.is_active(OverloadPart.SHARES):
            self.shares.record_refused(service, now_s=now_s())

    def _active_parts(self) -> list[str]:
        return [
            str(part) for part in OverloadPart if self._parts.is_active(part)
        ]

    def status(self) -> dict[str, object]:
        """Returns what operators see of the parts at this entry."""
        self.is_active(OverloadPart.WAITING)
        self.log_turns()
        rows = self.records.rows()
        return {
            "active": self._active_parts(),
            "modes": {
                str(part): str(mode) for part, mode in self._parts.modes.items()
            },
            "called_for_by": self._parts.called_for_by,
            "classes": [row._asdict() for row in rows],
            "regions": [
                {"service": service, "region": region, "left": round(part, 2)}
                for (service, region), part in self.regions.parts().items()
            ],
            "shares": [
                row._asdict() for row in self.shares.rows(now_s=now_s())
            ],
            "memory": None
            if self.memory_guard is None
            else self.memory_guard.status(),
        }


def log_shares(change: ShareChange) -> None:
    """Logs that shares of a service come into force, or end."""
    event = log.Event.SHARES_ENDED
    if change.in_force:
        event = log.Event.SHARES_IN_FORCE
    log.event(
        event,
        service=change.service,
        reason=str(change.reason),
        capacity_per_s=change.capacity_per_s,
        after_s=change.after_s,
        limited=[describe_limit(limit) for limit in change.limited],
    )
