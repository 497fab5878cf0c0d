"""Decides which services are short of slots over all entries."""

import math

# Utilisation above which a service with refused requests becomes scarce.
SCARCE_UTILISATION = 0.95
# Utilisation below which a service stays for `ENDS_AFTER_S` until it is no
# longer scarce.
AMPLE_UTILISATION = 0.8
ENDS_AFTER_S = 2.0
# How long a refusal for lack of a slot counts.
REFUSAL_S = 1.0


class Scarcity:
    """Follows the utilisation and the refusals of one service.

    Attributes:
      since_s: since when the service is scarce, on the entry's clock; None if
        it is not.
    """

    def __init__(self) -> None:
        """Starts with free slots."""
        self.since_s: float | None = None
        self._refused_s = -math.inf
        self._told_refused_s = -math.inf
        self._told_scarce_s = -math.inf
        self._ample_since_s: float | None = None

    def record_refused(self, *, now_s: float) -> None:
        """Records that a request of this entry found no slot."""
        self._refused_s = now_s

    def record_told(self, *, refused: bool, scarce: bool, now_s: float) -> None:
        """Records what other entries report.

        Args:
          refused: whether they refused requests for lack of a slot.
          scarce: whether the service is scarce for them. An entry that has
            just started sees no refusals while shares prevent them.
          now_s: the entry's clock, in seconds.
        """
        if refused:
            self._told_refused_s = now_s
        if scarce:
            self._told_scarce_s = now_s

    def has_refused(self, *, now_s: float) -> bool:
        """Returns whether this entry refused a request within the last second.

        What others report does not count, so that no report repeats itself.
        """
        return now_s - self._refused_s <= REFUSAL_S

    def is_tight(self, utilisation: float) -> bool:
        """Returns whether the service is scarce or may become so."""
        return self.since_s is not None or utilisation > AMPLE_UTILISATION

    def update(self, utilisation: float, *, now_s: float) -> None:
        """Applies the utilisation of the service's slots, 0 to 1."""
        if utilisation >= AMPLE_UTILISATION:
            self._ample_since_s = None
        elif self._ample_since_s is None:
            self._ample_since_s = now_s
        if self.since_s is None:
            if self._begins(utilisation, now_s):
                self.since_s = now_s
        elif self._ample_since_s is not None:
            if now_s - self._ample_since_s >= ENDS_AFTER_S:
                self.since_s = None

    def _begins(self, utilisation: float, now_s: float) -> bool:
        if utilisation < AMPLE_UTILISATION:
            return False
        if now_s - self._told_scarce_s <= REFUSAL_S:
            return True
        if utilisation <= SCARCE_UTILISATION:
            return False
        last_s = max(self._refused_s, self._told_refused_s)
        return now_s - last_s <= REFUSAL_S
