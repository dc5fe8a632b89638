#!/usr/bin/env python3
"""Runs experiments by name, or the usual ones."""
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

USUAL = ("throughput", "delay", "together")


def main():
    for name in sys.argv[1:] or USUAL:
        print("== " + name)
        EXPERIMENTS[name]()


if __name__ == "__main__":
    main()
