"""Gradual changes of weights towards a target.

Weights are plain mappings from region to its fraction of the work; they sum to
one.
"""

from almondstair.core.policies import RegionWeight

NEGLIGIBLE_WEIGHT = 1e-9

Weights = dict[str, float]


def decay_weight(
    *, weight: float, floor: float, elapsed_s: float, half_life_s: float
) -> float:
    """Returns the decayed weight of a region without recent reports.

    A region that stopped reporting still looks as idle as in its last report.
    Work sent to it may be queued or lost; the symptom is a steady or growing
    weight while its answers fail or slow down. So the weight halves repeatedly
    down to the floor; a weight at or below the floor is unchanged.
    """
    if weight <= floor:
        return weight
    return max(floor, weight * 0.5 ** (elapsed_s / half_life_s))


def renormalize(*, current: Weights, regions: list[str]) -> Weights:
    """Returns the current weights of some regions, normalized to one."""
    total = 0.0
    for region in regions:
        total += current.get(region, 0.0)
    weights: Weights = {}
    for region in regions:
        if total <= NEGLIGIBLE_WEIGHT:
            weights[region] = 1.0 / len(regions)
            continue
        weights[region] = current.get(region, 0.0) / total
    return weights


def redistribute_lost_weight(
    *, current: Weights, live: list[str], recipients: list[str], target: Weights
) -> Weights:
    """Returns the weights without regions that are not live.

    Their weight moves to the recipients at once and not by the ramp, which
    would continue to send work to a region that is known to be gone.

    Args:
      current: weights in force; may include regions that are not live, and may
        sum to less than one.
      live: regions that remain.
      recipients: live regions that may take more work.
      target: weights by which the recipients share the released weight.
    """
    weights: Weights = {}
    retained = 0.0
    for region in live:
        weights[region] = current.get(region, 0.0)
        retained += weights[region]
    released = 1.0 - retained
    if released <= NEGLIGIBLE_WEIGHT:
        return weights
    if not recipients:
        return renormalize(current=weights, regions=live)
    shares = renormalize(current=target, regions=recipients)
    for region in recipients:
        weights[region] += released * shares[region]
    return weights


def ramp_towards_target(
    *, start: Weights, target: Weights, growth: float
) -> Weights:
    """Returns weights moved to the target, each growing by at most `growth`.

    Weights shrink only as far as others may grow, so that they still sum to one
    and no work is left without a region.
    """
    total_rise = 0.0
    allowed_rise = 0.0
    for region, weight in start.items():
        rise = target.get(region, 0.0) - weight
        if rise <= 0.0:
            continue
        total_rise += rise
        allowed_rise += min(rise, growth)
    if total_rise <= NEGLIGIBLE_WEIGHT:
        return dict(start)
    fraction = allowed_rise / total_rise
    weights_after: Weights = {}
    for region, weight in start.items():
        change = target.get(region, 0.0) - weight
        if change > 0.0:
            weights_after[region] = weight + min(change, growth)
            continue
        weights_after[region] = weight + change * fraction
    return weights_after


def draw_region(*, weights: list[RegionWeight], draw: float) -> str:
    """Returns a region drawn at random in proportion to its weight.

    Args:
      weights: regions, at least one; the first is drawn if all weights are 0.
      draw: random number, uniform in [0, 1).
    """
    total = 0.0
    for weight in weights:
        total += weight.weight
    remaining = draw * total
    chosen = weights[0]
    for weight in weights:
        if weight.weight <= 0.0:
            continue
        chosen = weight
        remaining -= weight.weight
        if remaining < 0.0:
            break
    return chosen.region
