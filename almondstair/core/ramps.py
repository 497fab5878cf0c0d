"""Movement of weights from where they are to where they should be.

Weights are plain mappings from region to its part of the work, summing to one.
"""

from almondstair.core.policies import RegionWeight

NEGLIGIBLE = 1e-9

Weights = dict[str, float]


def decayed(
    *, weight: float, floor: float, elapsed_s: float, half_life_s: float
) -> float:
    """Returns the weight of a region not heard of, after some silence.

    A region that stopped reporting looks as idle as at its last report. Work
    sent to it on that ground meets a queue or nobody; one would see its weight
    steady or growing while its answers fail or slow down. So the weight halves
    down to the floor, and one at the floor or below it stays.
    """
    if weight <= floor:
        return weight
    return max(floor, weight * 0.5 ** (elapsed_s / half_life_s))


def kept(*, current: Weights, regions: list[str]) -> Weights:
    """Returns the current weights of some regions, made to sum to one."""
    total = 0.0
    for region in regions:
        total += current.get(region, 0.0)
    weights: Weights = {}
    for region in regions:
        if total <= NEGLIGIBLE:
            weights[region] = 1.0 / len(regions)
            continue
        weights[region] = current.get(region, 0.0) / total
    return weights


def abandoned(
    *, current: Weights, live: list[str], heirs: list[str], target: Weights
) -> Weights:
    """Returns the weights after regions that are not live were left.

    What they had goes to the heirs at once and not by the ramp: a ramp here
    would go on sending work to a region that is known to be gone.

    Args:
      current: weights in force, perhaps of regions that are not live, or cut.
      live: regions that remain.
      heirs: those among them that may take more work.
      target: weights by which the heirs share.
    """
    weights: Weights = {}
    held = 0.0
    for region in live:
        weights[region] = current.get(region, 0.0)
        held += weights[region]
    freed = 1.0 - held
    if freed <= NEGLIGIBLE:
        return weights
    if not heirs:
        return kept(current=weights, regions=live)
    shares = kept(current=target, regions=heirs)
    for region in heirs:
        weights[region] += freed * shares[region]
    return weights


def ramped(*, start: Weights, target: Weights, growth: float) -> Weights:
    """Moves weights towards the target, each growing by at most `growth`.

    Weights shrink only as far as others may grow, so that they still sum to
    one and no work is left without a region.
    """
    wanted = 0.0
    allowed = 0.0
    for region, weight in start.items():
        rise = target.get(region, 0.0) - weight
        if rise <= 0.0:
            continue
        wanted += rise
        allowed += min(rise, growth)
    if wanted <= NEGLIGIBLE:
        return dict(start)
    part = allowed / wanted
    moved: Weights = {}
    for region, weight in start.items():
        change = target.get(region, 0.0) - weight
        if change > 0.0:
            moved[region] = weight + min(change, growth)
            continue
        moved[region] = weight + change * part
    return moved


def drawn(*, weights: list[RegionWeight], draw: float) -> str:
    """Returns the region drawn by weight.

    Args:
      weights: regions, at least one; the first is drawn if all weigh nothing.
      draw: uniform in [0, 1).
    """
    total = 0.0
    for weight in weights:
        total += weight.weight
    mark = draw * total
    chosen = weights[0]
    for weight in weights:
        if weight.weight <= 0.0:
            continue
        chosen = weight
        mark -= weight.weight
        if mark < 0.0:
            break
    return chosen.region
