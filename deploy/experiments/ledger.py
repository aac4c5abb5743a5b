#!/usr/bin/env python3
"""Says where the worth of a day was lost, from the report of a bench that plays it.

    ledger.py SITE.toml REPORT.json [REPORT.json ...]

For each report: the part of the day's worth that was lost, divided among reasons that add up to it: requests served late (by kind of
request), requests never served by how their last try ended (refused by a limit, refused for want of a backend or of a configuration,
failed by a backend, silent until the deadline, cut with their machine), and the seconds that lost most, with the troubles that were
under way there. The bench does not say which refusals by a limit lay within it: those get what is left of the loss once all other
reasons have theirs, never less than nothing.
"""

import json
import pathlib
import sys
import tomllib

REASONS = {
    "429": "refused by a limit",
    "503": "refused: no backend, or not ready",
    "502": "failed: a backend broke off or can't be reached",
    "504": "failed: no answer in time",
    "500 from a server": "failed: a backend's own failure",
    "deadline": "silent until the client's deadline",
    "cut in the answer": "cut in the answer",
    "cut, no answer": "cut before an answer",
    "no connection": "no connection came up",
}
WORST_SECONDS = 4
SHOWN_FROM = 0.0005


def kinds(site):
    return {kind["name"]: kind for kind in tomllib.loads(pathlib.Path(site).read_text())["classes"]}


def ledger(worth_of, report):
    """Reasons with the part of the day's worth that each lost. Their sum is the loss of the whole day."""
    classes = report["classes"]
    owed = sum(worth_of[c["name"]]["worth"] * (c["in_aim"] + c["late"] + c["failed"]) for c in classes)
    lost = 1.0 - report["served"]
    reasons = {}
    for c in classes:
        kind = worth_of[c["name"]]
        reasons[f"late: {c['name']}"] = c["late"] * (kind["worth"] - kind["late_worth"]) / owed
    unserved = sum(c["refused"] + c["failed"] for c in classes)
    mean = sum(worth_of[c["name"]]["worth"] * (c["refused"] + c["failed"]) for c in classes) / max(unserved, 1)
    for end, count, _ in report["unserved_by"]:
        reason = REASONS.get(end, end)
        if end != "429":
            reasons[reason] = reasons.get(reason, 0.0) + count * mean / owed
    rest = lost - sum(reasons.values())
    if rest >= 0.0:
        reasons["refused by a limit, within it"] = rest
    else:
        # Late answers earn something beyond their late worth at times: what was counted too much is taken off all alike.
        scale = lost / sum(reasons.values())
        reasons = {reason: part * scale for reason, part in reasons.items()}
    return reasons


def worst_seconds(report):
    """The windows that lost most, with the troubles under way there."""
    windows = [w for w in report["windows"] if w["n"] > 0]
    length = float(windows[1]["name"]) - float(windows[0]["name"])
    for window in sorted(windows, key=lambda w: w["worth"])[:WORST_SECONDS]:
        begin = float(window["name"])
        under_way = [e["kind"] for e in report["events"] if e["at_s"] < begin + length and e["to_s"] > begin - length]
        yield window, ", ".join(sorted(set(under_way))) or "nothing"


def tell(site, path):
    report = json.loads(pathlib.Path(path).read_text())
    print(f"## {pathlib.Path(path).stem}: worth less prices {report['G']:.3f}, lost {1.0 - report['served']:.4f} of the day's worth")
    for reason, part in sorted(ledger(kinds(site), report).items(), key=lambda item: -item[1]):
        if part >= SHOWN_FROM:
            print(f"  {part:.4f}  {reason}")
    for window, under_way in worst_seconds(report):
        print(f"  from second {window['name']:>3}: {window['worth']:.2f}, {window['late']} late, {window['refused']} refused, "
              f"{window['failed']} failed; under way: {under_way}")


def main():
    if len(sys.argv) < 3:
        print(__doc__, file=sys.stderr)
        return 2
    try:
        for path in sys.argv[2:]:
            tell(sys.argv[1], path)
    except (OSError, ValueError, KeyError) as error:
        print(f"{error!r}", file=sys.stderr)
        return 2
    return 0


if __name__ == "__main__":
    sys.exit(main())
