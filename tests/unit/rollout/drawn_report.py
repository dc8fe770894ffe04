"""Reports how often randomly drawn rollouts were completed and rolled back, by kind and by request rate.

``python -m tests.unit.rollout.drawn_report --rollouts 10000`` prints the tables of the design page.
"""

from __future__ import annotations

import argparse
from collections import defaultdict
from collections.abc import Sequence

from tests.unit.rollout.drawn_rollouts import Defect, Result, simulate
from wallwell.rollout.model import (
    Phase,
)


def rate_band(rate: float) -> str:
    """Return the band of a request rate (in requests per second)."""
    return "20 to 100/s" if rate < 100 else "100 to 600/s" if rate < 600 else "600 to 3,300/s"


def defect_kind(bad: Defect) -> str:
    """Return the kind of a bad version as the report lists it."""
    if bad.kind == "failures":
        size = "failures 5 to 20 in 100" if bad.part < 0.2 else "failures 20 to 60 in 100"
    else:
        size = "slowness 2 to 4 times" if bad.factor < 4 else "slowness 4 to 8 times"
    return f"{size}, {'one route' if bad.route else 'all routes'}"


def onset(result: Result) -> str:
    """Return when a bad version turns bad."""
    bad = result.scenario.defect
    assert bad is not None
    if bad.from_s == 0.0:
        return "from the start"
    left_s = result.scenario.duration_s - bad.from_s
    return "turns in the last 3 s" if left_s < 3 else "turns 3 to 8 s before" if left_s < 8 else "turns earlier"


def report(results: Sequence[Result]) -> str:
    """Return the tables of the design page."""
    lines = []
    for title, is_bad in (("good", False), ("bad", True)):
        mine = [each for each in results if (each.scenario.defect is not None) is is_bad]
        groups: dict[str, list[Result]] = defaultdict(list)
        for each in mine:
            groups["all"].append(each)
            groups[rate_band(each.scenario.rate)].append(each)
            if each.scenario.defect is None:
                groups["fault: " + each.scenario.fault].append(each)
            else:
                groups[defect_kind(each.scenario.defect)].append(each)
                groups[onset(each)].append(each)
                if each.scenario.defect.above_load:
                    groups["above a load only"].append(each)
        lines.append(
            f"{title}: rollouts, complete in time, complete late, rolled back, over the bound, sent too late, "
            "complete after 20 bad answers or more"
        )
        for name, group in sorted(groups.items()):
            complete = [each for each in group if each.phase is Phase.COMPLETE]
            in_time = sum(each.in_time for each in complete)
            rolled = sum(each.phase is Phase.ROLLED_BACK for each in group)
            over = sum(each.over_bound for each in group) if is_bad else 0
            late = sum(each.requests_too_late > 0 for each in group)
            seen = sum(each.bad_answers >= 20 for each in complete)
            counts = (len(group), in_time, len(complete) - in_time, rolled, over, late, seen)
            lines.append(f"| {name} | {' | '.join(map(str, counts))} |")
    return "\n".join(lines)


def main() -> None:
    """Simulate as many rollouts as requested and print the report."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--rollouts", type=int, default=10_000)
    parser.add_argument("--first-seed", type=int, default=0)
    parser.add_argument("--show", action="store_true", help="print rollouts that went wrong")
    options = parser.parse_args()
    results = [simulate(options.first_seed + number) for number in range(options.rollouts)]
    print(report(results))
    if options.show:
        for each in results:
            bad = each.scenario.defect
            late = each.requests_too_late
            over = bad is not None and each.over_bound
            wrong = (bad is None) is not (each.phase is Phase.COMPLETE and each.in_time)
            if late or over or wrong:
                print(
                    each.scenario.seed, f"rate {each.scenario.rate:.0f} duration {each.scenario.duration_s:.1f}",
                    each.scenario.fault, f"{each.scenario.fault_at_s:.1f}", bad, each.phase.value, each.reason,
                    f"ended {each.ended_at_s:.1f} exposed {each.exposed}/{each.requests}",
                    f"late {each.requests_too_late} fiftieth {each.fiftieth_at_s:.1f} bad {each.bad_answers}",
                )  # fmt: skip


if __name__ == "__main__":
    main()
