#!/usr/bin/env python3
"""Runs experiments by name, or the usual ones."""
import sys

import throughput

EXPERIMENTS = {
    "throughput": throughput.streams,
    "delay": throughput.added_delay,
}


def main():
    for name in sys.argv[1:] or EXPERIMENTS:
        print("== " + name)
        EXPERIMENTS[name]()


if __name__ == "__main__":
    main()
