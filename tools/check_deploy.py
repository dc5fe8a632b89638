#!/usr/bin/env python3
"""Checks what the users' platform needs of this repository: that the deploy
file's build works in a clean checkout, that the settings template is valid
once it is filled, and that the platform's names stay in platform/."""
import os
import re
import subprocess
import sys
import tempfile

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
# Values as the platform fills them in.
FIELDS = {
    "node_name": "front-a-1", "zone": "a", "region": "r",
    "ip": "127.0.0.1", "port_range.0": "7340",
    "listen.front": "127.0.0.1:8782", "listen.ready": "127.0.0.1:8789",
    "listen.control": "127.0.0.1:8783",
    "seeds": "127.0.0.1:8783,127.0.0.2:8783",
    "provider.address": "127.0.0.1:8784", "bounds.lease_ms": "3000",
    "bounds.version_ms": "10000",
    "bounds.fencing_required": "true", "bounds.drain_ms": "2000",
    "bounds.retry_slack": "56",
}
# Tables, of which a part of the template stands once for each entry.
TABLES = {"zones": {"a": "r", "b": "r", "c": "s"}}
# Figures that the platform may fill in besides: shares of a total, none at
# all, the least and the most that a team of any size would have.
OTHER_FIGURES = (
    {"bounds.retry_slack": "33.1578947368421", "bounds.lease_ms": "3000.0",
     "bounds.drain_ms": "2000.5", "bounds.version_ms": "1e4"},
    {"bounds.retry_slack": "", "bounds.lease_ms": "", "bounds.drain_ms": "",
     "bounds.version_ms": "", "bounds.fencing_required": "", "seeds": ""},
    {"bounds.retry_slack": "0", "bounds.lease_ms": "500",
     "bounds.drain_ms": "200", "bounds.version_ms": "3000"},
    {"bounds.retry_slack": "100000", "bounds.lease_ms": "3600000",
     "bounds.drain_ms": "3600000", "bounds.version_ms": "3600000"},
)
# What no team can mean is refused, with the key named.
NONSENSE = {"bounds.retry_slack": "-1", "bounds.lease_ms": "0",
            "bounds.drain_ms": "soon", "bounds.version_ms": "1e30",
            "bounds.fencing_required": "perhaps", "seeds": "nowhere"}
FOREIGN = (r"x-server-seal|x-not-executed|x-expect-instance|x-token-usage|"
           r"x-prompt-prefix|x-kv-|x-tenant|api-key:|log-append|log-newest|"
           r"keyed\.|traffic_split|cold_left_ms|kv_store_addr|/v1/report|"
           r"/v1/order\b")


def fill_part(found):
    """An entry's key, its value, and a comma except after the last."""
    if found[1] not in TABLES:
        raise SystemExit("the template names an unknown table: " + found[1])
    table = TABLES[found[1]]
    return "".join(
        found[2].replace("{{@}}", key).replace("{{.}}", value).replace(
            "{{,}}", "," if place < len(table) else "")
        for place, (key, value) in enumerate(table.items(), 1))


def fill(text, fields):
    text = re.sub(r"\{\{#(\w+)\}\}(.*?)\{\{/\1\}\}", fill_part, text)

    def value(found):
        if found[1] not in fields:
            raise SystemExit("the template names an unknown field: "
                             + found[1])
        return fields[found[1]]
    return re.sub(r"\{\{([^}]+)\}\}", value, text)


def check_names():
    found = subprocess.run(
        ["git", "grep", "-nIiE", FOREIGN, "--", "src", "bench", "standins"],
        cwd=ROOT, capture_output=True, text=True).stdout
    if found:
        raise SystemExit("names of the platform outside platform/:\n" + found)


def check_build(folder):
    archive = subprocess.run(["git", "archive", "HEAD"], cwd=ROOT,
                             capture_output=True, check=True).stdout
    subprocess.run(["tar", "xf", "-", "-C", folder], input=archive,
                   check=True)
    with open(os.path.join(folder, "deploy", "system.toml")) as file:
        text = file.read()
    build = re.search(r'^build = "(.*)"$', text, re.M)[1]
    os.makedirs(os.path.join(folder, "target"), exist_ok=True)
    subprocess.run(["bash", "-c", build], cwd=folder, check=True,
                   stdout=subprocess.DEVNULL)
    program = re.search(r'^run = "(\S+)', text, re.M)[1]
    return os.path.join(folder, program)


def key_of(template, field):
    return re.search(r"^(\w+) = .*\{\{%s\}\}" % re.escape(field), template,
                     re.M)[1]


def check_filled(program, folder, template, fields):
    path = os.path.join(folder, "filled.ini")
    with open(path, "w") as file:
        file.write(fill(template, fields))
    return subprocess.run([program, "check", path], capture_output=True,
                          text=True)


def check_template(program, folder):
    with open(os.path.join(folder, "deploy", "router.ini")) as file:
        template = file.read()
    for other in ({},) + OTHER_FIGURES:
        result = check_filled(program, folder, template, {**FIELDS, **other})
        if result.returncode != 0:
            raise SystemExit("the template is refused with %r:\n%s"
                             % (other, result.stdout + result.stderr))
    for field, value in NONSENSE.items():
        result = check_filled(program, folder, template,
                              {**FIELDS, field: value})
        told = result.stdout + result.stderr
        if result.returncode == 0 or key_of(template, field) not in told:
            raise SystemExit("nonsense is not refused by name: %s = %r:\n%s"
                             % (field, value, told))


def main():
    check_names()
    with tempfile.TemporaryDirectory() as folder:
        program = check_build(folder)
        check_template(program, folder)
    print("deploy file, template and names: good")
    return 0


if __name__ == "__main__":
    sys.exit(main())
