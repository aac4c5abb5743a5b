#!/usr/bin/env python3
"""Draws changed copies of a bench's site file: deployments that nobody has chosen figures by.

    draw_sites.py SITE.toml FOLDER --count 10 [--seed 1]

In each copy the load, the lengths of prompts and answers, the engines' memory, step and reading speed, the places of backends and the
prices are scaled by factors drawn evenly on a logarithmic scale. The files that stand beside the site file are copied with it. The
same arguments draw the same copies. The copies belong outside the repository.
"""

import argparse
import math
import pathlib
import random
import re
import shutil
import sys

# What is scaled: a pattern with the number as its second group, and by how much at most (as a factor, either way).
SCALED = {
    "load": (r"(per_s = )([0-9.]+)(?=, clients)", 1.35),
    "prompts": (r"(prompt_tokens = \{ mean = )([0-9.]+)", 1.5),
    "answers": (r"(pieces = \{ mean = )([0-9.]+)", 1.4),
    "memory": (r"(kv_tokens = )([0-9.]+)", 1.5),
    "steps": (r"(step_ms = )([0-9.]+)", 1.4),
    "reading": (r"(prefill_tokens_per_ms = )([0-9.]+)", 1.4),
    "memory price": (r"(memory_gb_s = )([0-9.]+)", 2.0),
    "connection price": (r"(handshake = )([0-9.]+)", 2.0),
    "price of reading again": (r"(\nread = )([0-9.]+)", 2.0),
}


def scaled(text, draw):
    """The text with every figure of a kind scaled by one factor, and the factors."""
    factors = {}
    for name, (pattern, most) in SCALED.items():
        factor = math.exp(draw.uniform(-1.0, 1.0) * math.log(most))
        text, count = re.subn(pattern, lambda found: f"{found[1]}{float(found[2]) * factor:.6g}", text)
        factors[name] = round(factor, 3) if count else None
    return text, factors


def main():
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("site", type=pathlib.Path)
    parser.add_argument("folder", type=pathlib.Path)
    parser.add_argument("--count", type=int, default=10)
    parser.add_argument("--seed", type=int, default=1)
    asked = parser.parse_args()
    try:
        text = asked.site.read_text()
    except OSError as error:
        print(error, file=sys.stderr)
        return 2
    for number in range(asked.count):
        draw = random.Random(f"{asked.seed} {number} {asked.site.stem}")
        changed, factors = scaled(text, draw)
        folder = asked.folder / f"{asked.site.stem}-drawn-{number}"
        folder.mkdir(parents=True, exist_ok=True)
        for beside in asked.site.parent.iterdir():
            if beside.is_file() and beside.name != asked.site.name and beside.suffix != ".toml":
                shutil.copyfile(beside, folder / beside.name)
        (folder / f"{asked.site.stem}-drawn-{number}.toml").write_text(changed)
        print(folder.name, factors)
    return 0


if __name__ == "__main__":
    sys.exit(main())
