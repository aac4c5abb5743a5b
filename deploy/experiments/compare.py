#!/usr/bin/env python3
"""Compares variants of the policy on a bench that plays days of a deployment: the same days and seeds for each, in pairs.

    compare.py PLAN.toml --bench PROGRAM --checkout DIR --work DIR [--workers 4]     plays what is missing, then tells
    compare.py PLAN.toml --work DIR --table [--plot FILE.svg]                        tells what was played

A plan (TOML) names `base`, the variant that the others are held against; `variants`, a table of names with the text of a policy file
or, as `checkout:DIR`, another checkout of the project; `sites` (site files), `days` (names or files), `seeds`; and the rule of the
verdict, set before anything is played: `least`, the smallest mean difference that counts.

Each variant is played from a copy of the checkout of its own (sources and what is built), with `--policy` in its deploy file. What
was played is kept in WORK/results.jsonl, so that a run that was stopped goes on where it was. A difference counts as better or worse
where its 95% bootstrap interval lies on one side of zero and its mean is at least `least`. Needs numpy, scipy and, for a plot,
matplotlib.
"""

import argparse
import concurrent.futures
import json
import pathlib
import shutil
import subprocess
import sys
import threading
import tomllib

COPIED_FROM_TARGET = "release"
LEFT_OUT = {".git", "target", "journal"}
POLICY_FILE = "deploy/policy-of-the-variant.toml"
CONFIDENCE = 0.95
RESAMPLES = 4000
MEASURES = ["worth", "served", "windows", "class", "prices"]


class PlanError(Exception):
    """A plan at fault."""


def read_plan(path):
    plan = tomllib.loads(pathlib.Path(path).read_text())
    known = {"base", "variants", "sites", "days", "seeds", "least", "cpu", "small"}
    for key in plan:
        if key not in known:
            raise PlanError(f"{path}: unknown key {key!r}; known are {', '.join(sorted(known))}")
    for key in ("base", "variants", "sites", "days", "seeds", "least"):
        if key not in plan:
            raise PlanError(f"{path}: {key!r} is missing")
    if plan["base"] not in plan["variants"]:
        raise PlanError(f"{path}: base {plan['base']!r} is no variant")
    return plan


def key_of(variant, site, day, seed, small):
    twin = ":small" if small else ""
    return f"{variant}|{pathlib.Path(site).stem}{twin}|{pathlib.Path(day).stem}|{seed}"


def read_results(path):
    """Results by key; a later line replaces an earlier one, a line cut short is passed over."""
    results = {}
    if path.exists():
        for line in path.read_text().splitlines():
            try:
                result = json.loads(line)
            except ValueError:
                continue
            results[result["key"]] = result
    return results


def copy_built(built, place):
    """What is built, without a second copy of the libraries, which are most of it and which a build replaces, never rewrites."""
    place.mkdir(parents=True)
    for entry in built.iterdir():
        if entry.name not in ("incremental", "examples"):
            how = "-al" if entry.name == "deps" else "-a"
            subprocess.run(["cp", how, str(entry), str(place)], check=True)


def prepare(checkout, work, name, text):
    """A checkout of the variant's own, with its policy in the deploy file."""
    if text.startswith("checkout:"):
        checkout = pathlib.Path(text.removeprefix("checkout:"))
        text = ""
    place = work / "checkouts" / name
    if place.exists():
        return place
    partial = place.with_name(name + ".partial")
    shutil.rmtree(partial, ignore_errors=True)
    partial.mkdir(parents=True)
    for entry in checkout.iterdir():
        if entry.name not in LEFT_OUT:
            subprocess.run(["cp", "-a", str(entry), str(partial)], check=True)
    copy_built(checkout / "target" / COPIED_FROM_TARGET, partial / "target" / COPIED_FROM_TARGET)
    (partial / "journal").mkdir()
    subprocess.run(["git", "init", "-q"], cwd=partial, check=True)
    if text.strip():
        (partial / POLICY_FILE).write_text(text)
        deploy = partial / "deploy/system.toml"
        deploy.write_text(deploy.read_text().replace(' --metrics', f' --policy {POLICY_FILE} --metrics'))
    partial.rename(place)
    return place


def play(bench, place, variant, site, day, seed, plan, report):
    """Plays one day and returns its figures, or why there are none."""
    command = [bench, "run", site, day, "--seed", str(seed), "--jobs", "1", "--report", str(report)]
    if not plan.get("cpu"):
        command.append("--no-cpu")
    if plan.get("small"):
        command.append("--small")
    command += ["--why", f"trial: {variant}, compared on the same day and seed"]
    done = subprocess.run(command, cwd=place, capture_output=True, text=True)
    key = key_of(variant, site, day, seed, plan.get("small"))
    if not report.exists():
        return {"key": key, "fault": (done.stdout + done.stderr)[-400:]}
    told = json.loads(report.read_text())
    parts = {part[0]: part[2] for part in told["parts"]}
    return {
        "key": key,
        "worth": told["G"],
        "served": told["served"],
        "windows": parts.get("worst windows"),
        "class": parts.get("worst class"),
        "zone": parts.get("worst zone"),
        "prices": sum(price[2] for price in told["prices"]),
        "price": {price[0]: price[2] for price in told["prices"] if abs(price[2]) > 5e-5},
        "breaks": told["breaks"],
        "fault": told["fault"],
        "by_window": [[window["name"], window["worth"]] for window in told["windows"]],
    }


def play_all(plan, bench, checkout, work, workers):
    results_path = work / "results.jsonl"
    done = read_results(results_path)
    places = {name: prepare(checkout, work, name, text) for name, text in plan["variants"].items()}
    # A build of its own for each copy, one after the other, so that plays don't build at the same time.
    for place in places.values():
        subprocess.run([bench, "build"], cwd=place, check=True, capture_output=True)
    tasks = []
    for seed in plan["seeds"]:
        for site in plan["sites"]:
            for day in plan["days"]:
                for name in plan["variants"]:
                    if key_of(name, site, day, seed, plan.get("small")) not in done:
                        tasks.append((name, site, day, seed))
    lock = threading.Lock()
    reports = work / "reports"
    reports.mkdir(exist_ok=True)

    def one(task):
        name, site, day, seed = task
        report = reports / (key_of(name, site, day, seed, plan.get("small")).replace("|", "+").replace(":", "-") + ".json")
        result = play(bench, places[name], name, site, day, seed, plan, report)
        with lock, results_path.open("a") as file:
            file.write(json.dumps(result) + "\n")

    with concurrent.futures.ThreadPoolExecutor(workers) as pool:
        list(pool.map(one, tasks))


def interval(differences):
    """The 95% bootstrap interval of the mean of paired differences."""
    import numpy
    from scipy.stats import bootstrap

    if len(differences) < 2 or max(differences) == min(differences):
        return (min(differences), max(differences))
    found = bootstrap((numpy.array(differences),), numpy.mean, confidence_level=CONFIDENCE, n_resamples=RESAMPLES,
                      method="percentile", random_state=numpy.random.default_rng(1))
    return (found.confidence_interval.low, found.confidence_interval.high)


def verdict(mean, low, high, least):
    if low > 0 and mean >= least:
        return "better"
    if high < 0 and mean <= -least:
        return "worse"
    return "no difference"


def rows(plan, results):
    """For each variant and site: the mean difference to the base of each measure, with the interval of the worth."""
    table = []
    for site in plan["sites"]:
        for name in plan["variants"]:
            pairs = []
            for day in plan["days"]:
                for seed in plan["seeds"]:
                    keys = [key_of(which, site, day, seed, plan.get("small")) for which in (plan["base"], name)]
                    pair = [results.get(key) for key in keys]
                    if all(result and "worth" in result for result in pair):
                        pairs.append(pair)
            if not pairs:
                continue
            mean = lambda values: sum(values) / len(values)
            row = {"site": pathlib.Path(site).stem, "variant": name, "pairs": len(pairs)}
            for measure in MEASURES:
                row[measure] = mean([pair[1][measure] for pair in pairs])
                row["d_" + measure] = mean([pair[1][measure] - pair[0][measure] for pair in pairs])
            differences = [pair[1]["worth"] - pair[0]["worth"] for pair in pairs]
            row["low"], row["high"] = interval(differences)
            row["verdict"] = "base" if name == plan["base"] else verdict(row["d_worth"], row["low"], row["high"], plan["least"])
            row["broken"] = sorted({rule for pair in pairs for rule, count in pair[1]["breaks"].items() if count})
            table.append(row)
    return table


def tell(table):
    print("| site | variant | pairs | worth less prices | difference [95%] | served | worst windows | worst class | prices | verdict |")
    print("| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |")
    for row in table:
        broken = f"; broke {' '.join(row['broken'])}" if row["broken"] else ""
        print(f"| {row['site']} | {row['variant']} | {row['pairs']} | {row['worth']:.4f} | "
              f"{row['d_worth']:+.4f} [{row['low']:+.4f}, {row['high']:+.4f}] | {row['d_served']:+.4f} | "
              f"{row['d_windows']:+.4f} | {row['d_class']:+.4f} | {row['d_prices']:+.4f} | {row['verdict']}{broken} |")


def plot(table, path):
    import matplotlib
    matplotlib.use("svg")
    from matplotlib import pyplot

    shown = [row for row in table if row["verdict"] != "base"]
    figure, axes = pyplot.subplots(figsize=(8, 0.35 * len(shown) + 1.2))
    means = [row["d_worth"] for row in shown]
    errors = [[row["d_worth"] - row["low"] for row in shown], [row["high"] - row["d_worth"] for row in shown]]
    axes.errorbar(means, range(len(shown)), xerr=errors, fmt="o", capsize=3)
    axes.axvline(0, color="grey", linewidth=0.8)
    axes.set_yticks(range(len(shown)), [f"{row['variant']}, {row['site']}" for row in shown])
    axes.set_xlabel("difference in worth less prices")
    figure.tight_layout()
    figure.savefig(path)


def main():
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("plan")
    parser.add_argument("--bench")
    parser.add_argument("--checkout", type=pathlib.Path)
    parser.add_argument("--work", type=pathlib.Path, required=True)
    parser.add_argument("--workers", type=int, default=4)
    parser.add_argument("--table", action="store_true")
    parser.add_argument("--plot")
    asked = parser.parse_args()
    try:
        plan = read_plan(asked.plan)
    except (PlanError, OSError, tomllib.TOMLDecodeError) as error:
        print(error, file=sys.stderr)
        return 2
    if not asked.table:
        if not asked.bench or not asked.checkout:
            print("--bench and --checkout are needed to play", file=sys.stderr)
            return 2
        asked.work.mkdir(parents=True, exist_ok=True)
        play_all(plan, asked.bench, asked.checkout.resolve(), asked.work.resolve(), asked.workers)
    results = read_results(asked.work / "results.jsonl")
    table = rows(plan, results)
    tell(table)
    if asked.plot:
        plot(table, asked.plot)
    return 0


if __name__ == "__main__":
    sys.exit(main())
