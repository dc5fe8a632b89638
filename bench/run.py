#!/usr/bin/env python3
"""Runs the experiments named on the command line, or the default ones."""
import sys

import placement
import throughput
import together

EXPERIMENTS = {
    "throughput": throughput.streams,
    "delay": throughput.added_delay,
    "together": together.together,
    "placement": placement.compare,
    "shift": placement.shift,
    "overload": placement.overload,
}

DEFAULT = ("throughput", "delay", "together")


def main():
    for name in sys.argv[1:] or DEFAULT:
        print("== " + name)
        EXPERIMENTS[name]()


if __name__ == "__main__":
    main()
