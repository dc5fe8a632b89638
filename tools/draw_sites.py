#!/usr/bin/env python3
"""Generates random variants of a deployment, with other machines.

    tools/draw_sites.py SITE.toml FOLDER SEED...

Writes one site file per seed. It scales the engines' compute speed, KV memory
and link bandwidth, and varies the number of engines and routers by at most
one per line. The same seed gives the same deployment. Files that SITE refers
to have to be copied to FOLDER by hand.
"""
import os
import random
import re
import sys

SPEED_RANGE = (0.6, 1.6)  # factors of the original deployment's figures
MEMORY_RANGE = (0.6, 1.4)
LINK_RANGE = (0.35, 1.5)
COUNT_CHANGES = (-1, 0, 1)  # change of a hall's count


def scale(text, name, factor, whole=False):
    def replace(match):
        value = float(match[1]) * factor
        return "%s = %s" % (name, int(value) if whole else round(value, 4))
    return re.sub(r"\b%s = ([0-9.]+)" % name, replace, text)


def scale_engine(line, speed, memory, link):
    line = scale(line, "step_ms", 1 / speed)
    line = scale(line, "prefill_tokens_per_ms", speed)
    line = scale(line, "pairs_ms_per_m", 1 / speed)
    line = scale(line, "kv_tokens", memory, whole=True)
    return scale(line, "link_mbps", link)


def vary_count(line, rng):
    def replace(match):
        return "count = %d" % max(int(match[1]) + rng.choice(COUNT_CHANGES), 1)
    return re.sub(r"\bcount = ([0-9]+)", replace, line)


def generate_site(text, seed):
    rng = random.Random(seed)
    speed = rng.uniform(*SPEED_RANGE)
    memory = rng.uniform(*MEMORY_RANGE)
    link = rng.uniform(*LINK_RANGE)
    lines = []
    for line in text.splitlines():
        if 'model = "llm"' in line:
            line = vary_count(scale_engine(line, speed, memory, link), rng)
        elif 'model = "kvstore"' in line:
            line = scale(line, "link_mbps", link)
            line = scale(line, "kv_tokens", memory, whole=True)
        elif 'class = "front"' in line and "count" in line:
            line = vary_count(line, rng)
        lines.append(line)
    print("seed %d: speed %.2f memory %.2f links %.2f" %
          (seed, speed, memory, link))
    return "\n".join(lines) + "\n"


def main():
    site, folder, seeds = sys.argv[1], sys.argv[2], sys.argv[3:]
    name = os.path.basename(site)[:-len(".toml")]
    with open(site) as file:
        text = file.read()
    for seed in seeds:
        path = os.path.join(folder, "%s-%s.toml" % (name, seed))
        with open(path, "w") as file:
            file.write(generate_site(text, int(seed)))


if __name__ == "__main__":
    main()
