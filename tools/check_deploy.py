#!/usr/bin/env python3
"""Checks what the users' platform needs from this repository: the deploy
file's build command works in a clean checkout, its program reads the settings
that the platform's variable names, the filled settings template is valid, and
the platform's names occur only in platform/."""
import os
import re
import subprocess
import sys
import tempfile

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
# Typical values of the template's fields.
FIELDS = {
    "node_name": "front-a-1", "zone": "a", "region": "r",
    "ip": "127.0.0.1", "port_range.0": "7340",
    "listen.front": "127.0.0.1:8782", "listen.ready": "127.0.0.1:8789",
    "listen.control": "127.0.0.1:8783",
    "seeds": "127.0.0.1:8783,127.0.0.2:8783",
    "provider.address": "127.0.0.1:8784", "bounds.lease_ms": "3000",
    "bounds.version_ms": "10000", "bounds.config_apply_ms": "2000",
    "bounds.fencing_required": "true", "bounds.drain_ms": "2000",
    "bounds.retry_slack": "56", "bounds.grace_s": "8", "limits.link_mbps": "1000.0",
    "limits.memory_mb": "110", "bootstrap": "true",
}
# Tables; a {{#table}} section of the template is repeated for each entry.
TABLES = {"zones": {"a": "r", "b": "r", "c": "s"}}
# Other figures that the platform may fill in: fractions, empty values, and the
# minimum and maximum for a team of any size.
OTHER_FIGURES = (
    {"bounds.retry_slack": "33.1578947368421", "bounds.lease_ms": "3000.0",
     "bounds.drain_ms": "2000.5", "bounds.version_ms": "1e4",
     "limits.link_mbps": "0.5", "limits.memory_mb": "110.5",
     "bootstrap": "false",
     "bounds.config_apply_ms": "3000.0", "bounds.grace_s": "8.0"},
    {"bounds.retry_slack": "", "bounds.lease_ms": "", "bounds.drain_ms": "",
     "bounds.version_ms": "", "bounds.config_apply_ms": "",
     "bounds.grace_s": "", "bounds.fencing_required": "", "seeds": "", "limits.link_mbps": "",
     "limits.memory_mb": "", "bootstrap": ""},
    {"bounds.retry_slack": "0", "bounds.lease_ms": "500",
     "bounds.drain_ms": "200", "bounds.version_ms": "3000",
     "bounds.config_apply_ms": "500", "bounds.grace_s": "1"},
    {"bounds.retry_slack": "100000", "bounds.lease_ms": "3600000",
     "bounds.drain_ms": "3600000", "bounds.version_ms": "3600000",
     "bounds.config_apply_ms": "3600000", "bounds.grace_s": "3600",
     "limits.link_mbps": "400000"},
)
# Invalid values; the program must refuse each and name its key.
INVALID_VALUES = {
    "bounds.retry_slack": "-1", "bounds.lease_ms": "0",
    "bounds.drain_ms": "soon", "bounds.version_ms": "1e30",
    "bounds.config_apply_ms": "never", "bounds.grace_s": "0.5",
    "bounds.fencing_required": "perhaps", "seeds": "nowhere",
    "limits.link_mbps": "fast", "limits.memory_mb": "much",
    "bootstrap": "perhaps",
}
PLATFORM_NAMES = (
    r"x-server-seal|x-not-executed|x-expect-instance|x-token-usage|"
    r"x-prompt-prefix|x-kv-|x-tenant|api-key:|log-append|log-newest|"
    r"keyed\.|traffic_split|cold_left_ms|kv_store_addr|/v1/report|"
    r"/v1/order\b|wheattiller_boot")
SETTINGS_VARIABLE = "WHEATTILLER_BOOT"
SETTINGS_PATH = "/etc/wheattiller/settings.yaml"


def expand_section(match):
    """Repeats a table's section for each entry: {{@}} is the entry's key,
    {{.}} its value, and {{,}} a comma except after the last entry."""
    if match[1] not in TABLES:
        raise SystemExit("the template names an unknown table: " + match[1])
    table = TABLES[match[1]]
    return "".join(
        match[2].replace("{{@}}", key).replace("{{.}}", value).replace(
            "{{,}}", "," if position < len(table) else "")
        for position, (key, value) in enumerate(table.items(), 1))


def fill(text, fields):
    text = re.sub(r"\{\{#(\w+)\}\}(.*?)\{\{/\1\}\}", expand_section, text)

    def value(match):
        if match[1] not in fields:
            raise SystemExit("the template names an unknown field: "
                             + match[1])
        return fields[match[1]]
    return re.sub(r"\{\{([^}]+)\}\}", value, text)


def check_platform_names():
    matches = subprocess.run(
        ["git", "grep", "-nIiE", PLATFORM_NAMES, "--", "src", "bench",
         "standins"],
        cwd=ROOT, capture_output=True, text=True).stdout
    if matches:
        raise SystemExit("names of the platform outside platform/:\n"
                         + matches)


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


def check_path_of_settings(program, folder):
    """The deploy file's command reads what the variable names, and without it
    the usual path."""
    with open(os.path.join(folder, "deploy", "system.toml")) as file:
        words = re.search(r'^run = "(.*)"$', file.read(), re.M)[1].split()
    elsewhere = os.path.join(folder, "elsewhere.ini")
    for value, path in ((elsewhere, elsewhere), ("", SETTINGS_PATH),
                        (None, SETTINGS_PATH)):
        environment = {"PATH": os.environ["PATH"]}
        if value is not None:
            environment[SETTINGS_VARIABLE] = value
        router = subprocess.Popen([program] + words[1:], env=environment,
                                  text=True, stdout=subprocess.PIPE,
                                  stderr=subprocess.STDOUT)
        line = router.stdout.readline()
        router.kill()
        router.communicate()
        if "event=settings_named" not in line or "path=%s " % path not in line:
            raise SystemExit("%s = %r: the settings are read elsewhere:\n%s"
                             % (SETTINGS_VARIABLE, value, line))


def find_key(template, field):
    return re.search(r"^(\w+) = .*\{\{%s\}\}" % re.escape(field), template,
                     re.M)[1]


def run_check(program, folder, template, fields):
    path = os.path.join(folder, "filled.ini")
    with open(path, "w") as file:
        file.write(fill(template, fields))
    return subprocess.run([program, "check", path], capture_output=True,
                          text=True)


def check_template(program, folder):
    with open(os.path.join(folder, "deploy", "router.ini")) as file:
        template = file.read()
    for figures in ({},) + OTHER_FIGURES:
        result = run_check(program, folder, template, {**FIELDS, **figures})
        if result.returncode != 0:
            raise SystemExit("the template is refused with %r:\n%s"
                             % (figures, result.stdout + result.stderr))
    for field, value in INVALID_VALUES.items():
        result = run_check(program, folder, template,
                           {**FIELDS, field: value})
        output = result.stdout + result.stderr
        if result.returncode == 0 or find_key(template, field) not in output:
            raise SystemExit("nonsense is not refused by name: %s = %r:\n%s"
                             % (field, value, output))


def main():
    check_platform_names()
    with tempfile.TemporaryDirectory() as folder:
        program = check_build(folder)
        check_path_of_settings(program, folder)
        check_template(program, folder)
    print("deploy file, template and names: good")
    return 0


if __name__ == "__main__":
    sys.exit(main())
