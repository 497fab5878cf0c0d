"""Decides which parts of the scheduling under overload are active."""

from collections.abc import Mapping
import enum

from almondstair.core.routing import RoutingConfiguration
from almondstair.errors import AlmondstairError
from almondstair.errors import ErrorKind

# A route of this priority asks for admission in the order of priorities, if its
# requests concern objects: the others serve checks and status pages.
HIGHEST_PRIORITY = 0


class OverloadPart(enum.StrEnum):
    """Names the parts.

    Attributes:
      WAITING: ordered queues of requests that wait for a slot at the entry.
      REGIONS: slots of a region for requests that may run nowhere else.
      RETURNS: times at which refused callers should return.
      SHARES: fair shares of organisations while a service is short of slots.
      MEMORY: a bound on the bytes that an entry holds for callers.
      SPEED: use of how fast upstreams say that they run work now.
    """

    WAITING = "waiting"
    REGIONS = "regions"
    RETURNS = "returns"
    SHARES = "shares"
    MEMORY = "memory"
    SPEED = "speed"


class PartMode(enum.StrEnum):
    """States when a part is active.

    Attributes:
      CALLED_FOR: while the configuration calls for it.
      ON: always.
      OFF: never.
    """

    CALLED_FOR = "called_for"
    ON = "on"
    OFF = "off"


# Modes of parts that the settings do not name. Ordered waits serve fewer
# requests than polled ones in large fleets.
DEFAULT_MODES = {
    OverloadPart.WAITING: PartMode.OFF,
    OverloadPart.REGIONS: PartMode.OFF,
    OverloadPart.RETURNS: PartMode.OFF,
    OverloadPart.SHARES: PartMode.OFF,
    OverloadPart.MEMORY: PartMode.OFF,
    OverloadPart.SPEED: PartMode.CALLED_FOR,
}


class OverloadParts:
    """Tells which parts are active under the configuration in force.

    Attributes:
      modes: the mode of each part.
    """

    def __init__(self, *, modes: Mapping[OverloadPart, PartMode]) -> None:
        """Starts without a configuration.

        Args:
          modes: the modes that the settings name; `DEFAULT_MODES` has others.
        """
        self.modes = DEFAULT_MODES | dict(modes)
        self._called_for_by = ""
        self._configuration: RoutingConfiguration | None = None

    @property
    def called_for_by(self) -> str:
        """Returns the route that calls for the parts, empty without one."""
        return self._called_for_by

    def set_configuration(
        self, configuration: RoutingConfiguration | None
    ) -> bool:
        """Applies the configuration in force.

        Returns:
          Whether the active parts may have changed.
        """
        if configuration is self._configuration:
            return False
        self._configuration = configuration
        before = self._called_for_by
        self._called_for_by = ""
        routes = configuration.routes if configuration is not None else ()
        for route in routes:
            if route.priority == HIGHEST_PRIORITY and route.key_affinity:
                self._called_for_by = route.name
                break
        return bool(before) is not bool(self._called_for_by)

    def is_active(self, part: OverloadPart) -> bool:
        """Returns whether a part is active."""
        mode = self.modes[part]
        if mode is not PartMode.CALLED_FOR:
            return mode is PartMode.ON
        # Only upstreams that state their speed call for its use.
        return part is OverloadPart.SPEED or bool(self._called_for_by)


def parse_modes(text: str) -> dict[OverloadPart, PartMode]:
    """Parses modes such as `waiting=on,speed=off`.

    Raises:
      AlmondstairError: `settings_invalid`, with the part and the remedy.
    """
    modes = {}
    for setting in filter(None, text.replace(" ", "").split(",")):
        name, _, mode = setting.partition("=")
        try:
            modes[OverloadPart(name)] = PartMode(mode)
        except ValueError as error:
            parts = "|".join(OverloadPart)
            raise AlmondstairError(
                kind=ErrorKind.SETTINGS_INVALID,
                detail=f"{setting}: write {parts}={'|'.join(PartMode)}",
            ) from error
    return modes
