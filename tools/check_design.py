#!/usr/bin/env python3
"""Checks the table of parts in docs/DESIGN.md against the sources: each class
belongs to exactly one part, each name in the table is a class, and the
includes of the classes form no cycle."""
import glob
import os
import re
import sys

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
HEADING = "| part | files |"


def read_classes():
    """Returns a map from each class to the classes that it includes."""
    found = {}
    for path in glob.glob(os.path.join(ROOT, "src", "*.[ch]")):
        name = os.path.basename(path)[:-2]
        if name == "main" or name.endswith(".pb-c"):
            continue
        with open(path) as file:
            included = re.findall(r'#include "(\w+)\.h"', file.read())
        found.setdefault(name, set()).update(set(included) - {name})
    return found


def read_parts():
    """Returns the class names in each row of the table."""
    with open(os.path.join(ROOT, "docs", "DESIGN.md")) as file:
        table = file.read().split(HEADING)[1].split("\n\n")[0]
    rows = [line.split("|")[2] for line in table.splitlines()[2:]]
    return [re.findall(r"\b[A-Z]\w+\b", row) for row in rows]


def check_parts(classes, parts):
    names = [name for part in parts for name in part]
    for name in sorted(classes):
        if names.count(name) != 1:
            yield "%s is in %d parts" % (name, names.count(name))
    for name in sorted(set(names) - set(classes)):
        yield "%s is in a part, but there is no such class" % name


def find_cycle(classes, name, path):
    if name in path:
        return path[path.index(name):]
    for other in sorted(classes.get(name, ())):
        cycle = find_cycle(classes, other, path + [name])
        if cycle:
            return cycle
    classes[name] = ()  # no cycle is reachable from here; skip it from now on
    return None


def check_cycles(classes):
    for name in sorted(classes):
        cycle = find_cycle(classes, name, [])
        if cycle:
            yield "a circle of includes: " + " ".join(cycle)
            return


def main():
    classes = read_classes()
    problems = list(check_parts(classes, read_parts()))
    problems += check_cycles(classes)
    for problem in problems:
        print("docs/DESIGN.md: " + problem)
    return 1 if problems else 0


if __name__ == "__main__":
    sys.exit(main())
