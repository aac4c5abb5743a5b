#!/usr/bin/env python3
"""Draws days of trouble for the control side, for a bench that plays days from TOML files.

    draw.py SEED [--seconds SECONDS] [--waves WAVES | --ending | --replacements] > day.toml

Two to four troubles of the control side overlap, beside one or two of the rest, and often a final fault. The same arguments draw the
same day. SECONDS is how long traffic lasts (34). With WAVES (1 to 4) there are that many such groups, one after the other, their
troubles of all variants that the bench tells of, and changes of the configuration in each. With --ending one such group lies in the
last seconds, and the day ends with lost disks, so that these are lost in the middle of a repair. With --replacements all machines
of the core are replaced in series, once or twice, while some frontends are cut off or frozen (use 60 seconds or more).
"""

import argparse
import random

WHO = ["", "leader", "turn", "reader", "seed"]
MEETS = ["", "meet", "race", "hard", "drain", "race drain", "meet drain"]


def join(*words):
    return " ".join(word for word in words if word)


def control_trouble(draw):
    """One trouble of the control side, without its time."""
    span = round(draw.uniform(0.3, 9.0), 2)
    if draw.random() < 0.15:
        span = 20.0
    kinds = [
        lambda: dict(kind="node_kill", on="core", count=1, for_s=span, how=join(draw.choice(["", "power"]), draw.choice(WHO), draw.choice(MEETS))),
        lambda: dict(kind="core_cut", count=1, for_s=span, how=join(draw.choice(WHO), draw.choice(["", "one_way", "reset", "refuse"]), draw.choice(MEETS))),
        lambda: dict(kind="core_cut", count=1, for_s=min(span, 9.0), how=draw.choice(["behind", "split", "all", "near", "oldest", "seeds", "both", "lure", "relieve"])),
        lambda: dict(kind="core_cut", for_s=min(span, 6.0), how="split"),
        lambda: dict(kind="node_freeze", on="core", count=1, for_s=span, how=draw.choice(WHO)),
        lambda: dict(kind="node_slow", on="core", count=1, x=draw.choice([3, 8, 20]), for_s=span),
        lambda: dict(kind="replace_core", x=round(draw.uniform(0, 3), 1), how=draw.choice(["", "planned", "oldest"])),
        lambda: dict(kind="after_ack_wipe", for_s=round(draw.uniform(0.5, 4), 1), how=draw.choice(["", "oldest"])),
        lambda: dict(kind="after_ack_kill", for_s=round(draw.uniform(0.3, 3), 1), how=draw.choice(["", "kill", "timed"])),
        lambda: dict(kind="herd_kill", on="core", how=draw.choice(["", "off", "power", "taken", "taken all"]), for_s=round(draw.uniform(0.2, 2), 1)),
        lambda: dict(kind="disk_full", count=1, for_s=span),
        lambda: dict(kind="disk_stall", count=1, for_s=span),
        lambda: dict(kind="disk_slow", count=1, x=draw.choice([10, 30, 60]), for_s=span),
        lambda: dict(kind="clock_step", share=round(draw.uniform(0.2, 1), 2), x=draw.choice([500, 2400, 6000]), for_s=span, how=draw.choice(["back", "ahead"])),
        lambda: dict(kind="reset_conns", share=round(draw.uniform(0.1, 1), 2), x=round(draw.uniform(0.2, 1), 2)),
        lambda: dict(kind="seed_turnover"),
        lambda: dict(kind="roll_term", on="core", share=1.0, x=1.0, gap_s=round(draw.uniform(1.5, 6), 1)),
    ]
    return draw.choice(kinds)()


def operators_trouble(draw):
    kinds = [
        lambda: dict(kind="config_storm", for_s=round(draw.uniform(2, 12), 1), gap_s=round(draw.uniform(0.08, 0.8), 2)),
        lambda: dict(kind="config_race", count=draw.randint(1, 6), gap_s=round(draw.uniform(0.3, 2), 1)),
        lambda: dict(kind="bad_config", count=draw.randint(1, 5), gap_s=round(draw.uniform(0.2, 1.5), 1)),
        lambda: dict(kind="ack_lost", x=round(draw.uniform(0.3, 1), 2), for_s=round(draw.uniform(3, 20), 1)),
        lambda: dict(kind="revoke", count=draw.randint(1, 3), gap_s=1.0),
        lambda: dict(kind="config_change", how=draw.choice(["route", "weights", "timeout", "tenant", "quota", "quota down", "topup", "idle"])),
    ]
    return draw.choice(kinds)()


def other_trouble(draw):
    span = round(draw.uniform(0.5, 8), 1)
    kinds = [
        lambda: dict(kind="node_kill", share=round(draw.uniform(0.1, 1), 2), for_s=span, how=draw.choice(["", "power"])),
        lambda: dict(kind="node_cut", share=round(draw.uniform(0.1, 1), 2), for_s=span, how=draw.choice(["", "all", "servers"])),
        lambda: dict(kind="node_freeze", share=round(draw.uniform(0.1, 0.6), 2), for_s=span),
        lambda: dict(kind="roll_term", share=round(draw.uniform(0.2, 1), 2), x=1.0, gap_s=round(draw.uniform(0.6, 2), 1), how=draw.choice(["", "busy"])),
        lambda: dict(kind="herd_kill", share=round(draw.uniform(0.3, 1), 2), how=draw.choice(["", "power"])),
        lambda: dict(kind="srv_crash", share=round(draw.uniform(0.1, 0.4), 2), for_s=span, how=draw.choice(["", "dark", "gone"])),
        lambda: dict(kind="release", share=round(draw.uniform(0.2, 0.6), 2), x=1.0, gap_s=1.0),
        lambda: dict(kind="scale_in", share=0.15, how=draw.choice(["", "spot"])),
        lambda: dict(kind="replace_with_reuse", share=0.15, how=draw.choice(["", "drain", "dark"])),
        lambda: dict(kind="garble", share=round(draw.uniform(0.2, 0.6), 2), x=0.03, for_s=span, how=draw.choice(["", "extra late", "unframed", "early"])),
        lambda: dict(kind="answer_lost", share=0.5, x=0.05, for_s=span, how=draw.choice(["", "reset"])),
        lambda: dict(kind="burst", x=round(draw.uniform(1.2, 2.5), 1), for_s=span),
        lambda: dict(kind="hup", share=round(draw.uniform(0.3, 1), 2), gap_s=1.0),
        lambda: dict(kind="give_up", share=0.3, for_s=span),
    ]
    return draw.choice(kinds)()


def closing(draw):
    kind = draw.choice(["power_off_all", "wipe_after_ack", "wipe_after_ack", "kill_all", None])
    return None if kind is None else closing_of(draw, kind)


def closing_of(draw, kind):
    """The fault at a day's end."""
    fault = dict(kind=kind, down_s=round(draw.uniform(0.3, 2.0), 2))
    how = draw.choice(["", "timed", "taken", "oldest"])
    if how:
        fault["how"] = how
    return fault


def any_variant(draw):
    """One trouble of the control side, of any variant and without its time."""
    span = round(draw.choice([draw.uniform(0.2, 2.0), draw.uniform(2.0, 7.0), 20.0]), 2)
    after = join(draw.choice(["", "meet", "race"]), draw.choice(["", "hard"]), draw.choice(["", "drain"]))
    kinds = [
        lambda: dict(kind="node_kill", on="core", count=draw.randint(1, 2), for_s=span, how=join(draw.choice(["", "power"]), draw.choice(WHO), after)),
        lambda: dict(kind="core_cut", count=1, for_s=span, how=join(draw.choice(WHO), draw.choice(["", "one_way", "reset", "refuse"]), after)),
        lambda: dict(kind="core_cut", count=draw.randint(1, 2), for_s=min(span, 8.0), how=draw.choice(["behind", "all", "near", "oldest", "seeds", "both", "lure", "relieve"])),
        lambda: dict(kind="core_cut", for_s=min(span, 7.0), how="split"),
        lambda: dict(kind="node_freeze", on="core", count=1, for_s=min(span, 9.0), how=join(draw.choice(WHO), after)),
        lambda: dict(kind="node_slow", on="core", count=1, x=draw.choice([4, 10, 25]), for_s=span),
        lambda: dict(kind="replace_core", x=round(draw.uniform(0, 4), 1), how=join(draw.choice(["", "planned", "oldest", "seed", "leader"]))),
        lambda: dict(kind="after_ack_wipe", for_s=round(draw.uniform(0.3, 4), 1), how=draw.choice(["", "oldest"])),
        lambda: dict(kind="after_ack_kill", count=draw.randint(1, 2), for_s=round(draw.uniform(0.3, 3), 1), how=draw.choice(["", "kill", "timed"])),
        lambda: dict(kind="herd_kill", on="core", how=draw.choice(["", "off", "power", "taken", "taken all"]), for_s=round(draw.uniform(0.2, 3), 1)),
        lambda: dict(kind="herd_kill", share=1.0, how=draw.choice(["", "power"]), for_s=round(draw.uniform(0.2, 2), 1)),
        lambda: dict(kind="disk_full", count=draw.randint(1, 2), for_s=span),
        lambda: dict(kind="disk_stall", count=1, for_s=min(span, 8.0)),
        lambda: dict(kind="disk_slow", count=draw.randint(1, 3), x=draw.choice([10, 40, 100]), for_s=span),
        lambda: dict(kind="clock_step", share=round(draw.uniform(0.2, 1), 2), x=draw.choice([500, 2400, 9000]), for_s=span, how=draw.choice(["back", "ahead"])),
        lambda: dict(kind="reset_conns", share=round(draw.uniform(0.3, 1), 2), x=round(draw.uniform(0.3, 1), 2)),
        lambda: dict(kind="seed_turnover"),
        lambda: dict(kind="roll_term", on="core", share=1.0, x=1.0, gap_s=round(draw.uniform(0.8, 5), 1), how=draw.choice(["", "remove"])),
        lambda: dict(kind="node_cut", share=round(draw.uniform(0.2, 1), 2), for_s=min(span, 8.0), how=draw.choice(["", "all", "servers"])),
        lambda: dict(kind="hup", share=1.0, gap_s=0.5),
    ]
    return draw.choice(kinds)()


def change(draw):
    """What operators do in the middle of a wave."""
    kinds = [
        lambda: dict(kind="config_storm", for_s=round(draw.uniform(2, 9), 1), gap_s=round(draw.uniform(0.05, 0.5), 2)),
        lambda: dict(kind="config_race", count=draw.randint(2, 8), gap_s=round(draw.uniform(0.2, 1), 1)),
        lambda: dict(kind="ack_lost", x=round(draw.uniform(0.5, 1), 2), for_s=round(draw.uniform(3, 10), 1)),
        lambda: dict(kind="config_change", how=draw.choice(["route", "weights", "timeout", "tenant", "quota", "quota down", "topup", "idle"])),
        lambda: dict(kind="revoke", count=draw.randint(1, 3), gap_s=0.7, how=draw.choice(["", "last"])),
        lambda: dict(kind="bad_config", count=draw.randint(1, 4), gap_s=0.4, how=draw.choice(["", "old_version", "same_version", "stale_match", "cut_short", "shared_key"])),
    ]
    return draw.choice(kinds)()


def waves(draw, length, count):
    """Plan and faults of a day with so many groups of overlapping troubles."""
    faults, plan = [], []
    for number in range(count):
        centre = length * 0.75 * (number + draw.uniform(0.2, 0.9)) / count
        add_wave(draw, centre, faults, plan)
    return plan, faults


def ending(draw, length):
    """Plan and faults of a day whose troubles lie in its last seconds."""
    faults, plan = [], []
    add_wave(draw, length - draw.uniform(1.0, 8.0), faults, plan)
    return plan, faults


def replacements(draw, length):
    """Plan and faults of a day on which the core is replaced machine by machine while frontends hear nothing."""
    start, gap = round(draw.uniform(2.0, 5.0), 2), round(draw.uniform(6.5, 9.0), 2)
    count = draw.choice([3, 3, 4])
    plan = [
        dict(at=round(start + gap * number, 2), kind="replace_core", x=round(draw.uniform(0, 2), 1), how=draw.choice(["oldest", "oldest", "planned oldest"]))
        for number in range(count)
    ]
    deaf = dict(at=round(max(0.3, start - draw.uniform(0.5, 2.0)), 2), share=round(draw.uniform(0.1, 0.4), 2), for_s=round(gap * count + draw.uniform(1.0, 5.0), 2))
    faults = [draw.choice([dict(deaf, kind="node_cut", how="all"), dict(deaf, kind="node_cut"), dict(deaf, kind="node_freeze")])]
    for _ in range(draw.randint(2, 5)):
        plan.append(dict(at=round(draw.uniform(start, length - 4.0), 2), kind="config_change", how=draw.choice(["route", "weights", "idle"])))
    if draw.random() < 0.5:
        faults.append(dict(at=round(draw.uniform(0.5, length - 6.0), 2), **other_trouble(draw)))
    return plan, faults


def add_wave(draw, centre, faults, plan):
    """Adds overlapping troubles and changes around a moment."""
    for _ in range(draw.randint(2, 4)):
        faults.append(dict(at=round(max(0.3, centre + draw.uniform(-1.5, 3)), 2), **any_variant(draw)))
    for _ in range(draw.randint(1, 3)):
        plan.append(dict(at=round(max(0.3, centre + draw.uniform(-2, 3)), 2), **change(draw)))
    if draw.random() < 0.5:
        faults.append(dict(at=round(max(0.3, centre + draw.uniform(-2, 3)), 2), **other_trouble(draw)))


def value(item):
    return f'"{item}"' if isinstance(item, str) else str(item)


def table(entry):
    kept = {name: item for name, item in entry.items() if item != ""}
    return "{ " + ", ".join(f"{name} = {value(item)}" for name, item in kept.items()) + " }"


def group(draw, length):
    """Plan and faults of a day with one group of overlapping troubles."""
    centre = draw.uniform(4, length * 0.55)
    faults, plan = [], []
    for _ in range(draw.randint(2, 4)):
        faults.append(dict(at=round(max(0.5, centre + draw.uniform(-2.5, 4.5)), 2), **control_trouble(draw)))
    for _ in range(draw.randint(1, 3)):
        plan.append(dict(at=round(max(0.5, centre + draw.uniform(-3, 5)), 2), **operators_trouble(draw)))
    for _ in range(draw.randint(0, 2)):
        faults.append(dict(at=round(draw.uniform(1, length * 0.7), 2), **other_trouble(draw)))
    return plan, faults


def main():
    parser = argparse.ArgumentParser(description="Draws a day of trouble for the control side.")
    parser.add_argument("seed", type=int)
    parser.add_argument("--seconds", type=float, default=34.0, help="how long traffic lasts (34)")
    variants = parser.add_mutually_exclusive_group()
    variants.add_argument("--waves", type=int, choices=range(1, 5), help="groups of overlapping troubles, of all variants")
    variants.add_argument("--ending", action="store_true", help="troubles in the last seconds, then lost disks")
    variants.add_argument("--replacements", action="store_true", help="the core is replaced while frontends are cut off or frozen")
    arguments = parser.parse_args()
    draw = random.Random(arguments.seed)
    if arguments.waves:
        plan, faults = waves(draw, arguments.seconds, arguments.waves)
    elif arguments.ending:
        plan, faults = ending(draw, arguments.seconds)
    elif arguments.replacements:
        plan, faults = replacements(draw, arguments.seconds)
    else:
        plan, faults = group(draw, arguments.seconds)
    print(f'name = "drawn-{arguments.seed}"\nslot = "trouble"\nseed = {arguments.seed}\none = 0.9\nzero = 0.4\ngoal = {{ floor = 0.0 }}')
    print("labels = []\nwall = 3.0\nlight = false")
    fault = closing_of(draw, "wipe_after_ack") if arguments.ending else closing(draw)
    if fault:
        print(f"closing = {table(fault)}")
    print("plan = [\n" + "".join(f"  {table(entry)},\n" for entry in plan) + "]")
    print("faults = [\n" + "".join(f"  {table(entry)},\n" for entry in faults) + "]")


if __name__ == "__main__":
    main()
