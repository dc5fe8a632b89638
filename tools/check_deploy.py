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
FOREIGN = (r"x-server-seal|x-not-executed|x-expect-instance|x-token-usage|"
           r"x-prompt-prefix|x-kv-|x-tenant|api-key:|log-append|log-newest|"
           r"keyed\.|traffic_split|cold_left_ms|kv_store_addr|/v1/report|"
           r"/v1/order\b")


def fill(text):
    def value(found):
        if found[1] not in FIELDS:
            raise SystemExit("the template names an unknown field: "
                             + found[1])
        return FIELDS[found[1]]
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


def check_template(program, folder):
    with open(os.path.join(folder, "deploy", "router.ini")) as file:
        filled = fill(file.read())
    path = os.path.join(folder, "filled.ini")
    with open(path, "w") as file:
        file.write(filled)
    subprocess.run([program, "check", path], check=True)


def main():
    check_names()
    with tempfile.TemporaryDirectory() as folder:
        program = check_build(folder)
        check_template(program, folder)
    print("deploy file, template and names: good")
    return 0


if __name__ == "__main__":
    sys.exit(main())
