"""Steps for slots of a region that are left to confined requests."""

from pathlib import Path

from behave import given
from behave import then
from behave import when

from almondstair.core.confined_regions import ConfinedRegions
from almondstair.core.confined_regions import RegionUse
from almondstair.core.organisations import Organisation
from almondstair.core.overload_parts import OverloadPart
from almondstair.core.overload_parts import PartMode
from almondstair.core.routing import CallerLimits
from almondstair.core.routing import RoutingConfiguration
from emulator import load_pattern
from emulator.replay import Replay

_PATTERNS = Path(__file__).resolve().parents[2] / "emulator" / "patterns"
_LIMITS = CallerLimits(16_384, 1 << 20, 3.0, 15.0)
_SERVICE = "s"
_OBJECTS = 2000
_STEP_S = 0.05


def _configuration(version, *organisations):
    return RoutingConfiguration(
        version, _LIMITS, (), {}, organisations=organisations
    )


def _confined(version):
    return _configuration(
        version,
        Organisation("anywhere", (b"a",)),
        Organisation("confined", (b"c",), allowed_regions=("r2",)),
    )


@given('organisations that are confined to region "r2"')
def step_confined(context):
    context.regions = ConfinedRegions()
    context.regions.set_configuration(_confined(1))
    context.other = ConfinedRegions()
    context.other.set_configuration(_confined(1))
    context.now_s = 100.0


@when(
    'the slots of "r2" are used to {short:g} and the others to {others:g} for '
    "{span_s:g} s"
)
def step_used(context, short, others, span_s):
    use = RegionUse(region=short, others=others)
    for _ in range(round(span_s / _STEP_S)):
        for regions in (context.regions, context.other):
            regions.observe(_SERVICE, "r2", use, now_s=context.now_s)
        context.now_s += _STEP_S


@when('the slots of "r2" are used to 1.0 and it has no others for 10 s')
def step_no_others(context):
    # The placer takes regions that do not exist for full ones.
    step_used(context, 1.0, 1.0, 10.0)


@when("nothing is observed for {span_s:g} s")
def step_pause(context, span_s):
    context.now_s += span_s


@when("no organisation is confined any more")
def step_none_confined(context):
    configuration = _configuration(2, Organisation("anywhere", (b"a",)))
    context.regions.set_configuration(configuration)


def _left(regions):
    """Returns the objects that leave r2."""
    left = set()
    for number in range(_OBJECTS):
        found = regions.left_regions(_SERVICE, f"k{number}")
        assert found <= {"r2"}, found
        if found:
            left.add(number)
    return left


@then('between {least:g} and {most:g} of the objects leave "r2"')
def step_part(context, least, most):
    part = len(_left(context.regions)) / _OBJECTS
    assert least <= part <= most, part


@then('no object leaves "r2"')
def step_none(context):
    assert not _left(context.regions)


@then("another entry that saw the same moves the same objects")
def step_same(context):
    context.left = _left(context.regions)
    assert context.left
    assert _left(context.other) == context.left


@then('what leaves "r2" still leaves it after {span_s:g} s more')
def step_still(context, span_s):
    step_used(context, 0.95, 0.5, span_s)
    assert _left(context.regions) > context.left


def _replay(name, seed, mode):
    modes = {OverloadPart.WAITING: PartMode.OFF, OverloadPart.REGIONS: mode}
    pattern = load_pattern.load(_PATTERNS / f"{name}.toml")
    return Replay(pattern, seed=seed, modes=modes).run()


def _missed(outcomes, kind):
    """Returns the share of requests that were late or not served."""
    total = sum(each.kinds[kind].total for each in outcomes)
    in_aim = sum(each.kinds[kind].in_aim for each in outcomes)
    return 1.0 - in_aim / total


@when(
    '"{name}" is replayed with seeds 1 to {last:d}, with and without the part'
)
def step_replay(context, name, last):
    seeds = range(1, last + 1)
    context.on = [_replay(name, seed, PartMode.ON) for seed in seeds]
    context.off = [_replay(name, seed, PartMode.OFF) for seed in seeds]


@when('"{name}" is replayed with seed 1, with and without the part')
def step_replay_once(context, name):
    step_replay(context, name, 1)


@then(
    "with it the confined requests are late or refused at most a quarter as "
    "often"
)
def step_confined_served(context):
    missed = _missed(context.on, "confined")
    before = _missed(context.off, "confined")
    print(f"late or refused: {missed:.3f}, without the part {before:.3f}")
    assert missed <= 0.25 * before, f"{missed:.3f} and {before:.3f}"


@then("the others have at least {share:g} of their credit")
def step_others(context, share):
    credit = sum(each.kinds["free"].credit for each in context.on)
    before = sum(each.kinds["free"].credit for each in context.off)
    print(f"credit: {credit / 3:.3f}, without the part {before / 3:.3f}")
    assert credit >= share * before, f"{credit:.3f} and {before:.3f}"


@then("both plays are the same")
def step_same_plays(context):
    assert context.on == context.off
