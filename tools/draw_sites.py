#!/usr/bin/env python3
"""Draws deployments like a given one, with other machines.

    tools/draw_sites.py SITE.toml FOLDER SEED...

For each seed a site file is written whose engines compute, hold and move
other amounts, and of which there are a few more or fewer, as are routers. The
same seed draws the same deployment. The files that SITE names beside itself
have to be copied to FOLDER by hand.
"""
import os
import random
import re
import sys

SPEED = (0.6, 1.6)     # of computing, relative to the given one
MEMORY = (0.6, 1.4)
LINK = (0.35, 1.5)
MACHINES = (-1, 0, 1)  # more or fewer in a hall


def scale(text, name, times, whole=False):
    def change(found):
        value = float(found[1]) * times
        return "%s = %s" % (name, int(value) if whole else round(value, 4))
    return re.sub(r"\b%s = ([0-9.]+)" % name, change, text)


def draw_engine(line, speed, memory, link):
    line = scale(line, "step_ms", 1 / speed)
    line = scale(line, "prefill_tokens_per_ms", speed)
    line = scale(line, "pairs_ms_per_m", 1 / speed)
    line = scale(line, "kv_tokens", memory, whole=True)
    return scale(line, "link_mbps", link)


def vary_count(line, draw):
    def change(found):
        return "count = %d" % max(int(found[1]) + draw.choice(MACHINES), 1)
    return re.sub(r"\bcount = ([0-9]+)", change, line)


def draw_site(text, seed):
    draw = random.Random(seed)
    speed = draw.uniform(*SPEED)
    memory = draw.uniform(*MEMORY)
    link = draw.uniform(*LINK)
    lines = []
    for line in text.splitlines():
        if 'model = "llm"' in line:
            line = vary_count(draw_engine(line, speed, memory, link), draw)
        elif 'model = "kvstore"' in line:
            line = scale(line, "link_mbps", link)
            line = scale(line, "kv_tokens", memory, whole=True)
        elif 'class = "front"' in line and "count" in line:
            line = vary_count(line, draw)
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
            file.write(draw_site(text, int(seed)))


if __name__ == "__main__":
    main()
