"""Shared code of the experiments: the cluster under load and wt-load."""
import json
import os
import subprocess
import sys

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
sys.path.insert(0, os.path.join(ROOT, "tests"))
from cluster import BUILD, HOST, Cluster, key_hash  # noqa: E402

TICKS_PER_S = os.sysconf("SC_CLK_TCK")
LOAD_TIMEOUT_S = 600


def declarations(customers=8, more=""):
    text = """
[priority high]
level = 30

[priority low]
level = 10

[model m]
weights = v1

"""
    for number in range(customers):
        text += ("[customer c%d]\nkey_hash = %s\nmax_priority = high\n"
                 "rate = 100000\nburst = 100000\nconcurrency = 100000\n\n"
                 % (number, key_hash("c%d-key" % number)))
    return text + more


class LoadCluster(Cluster):
    """A cluster that declares the customers used by wt-load."""

    def start_load(self, routers=1, customers=8, **settings):
        started = [self.router("r%d" % n, hall="hall-%s" % "abcd"[n % 4],
                               **settings) for n in range(routers)]
        result = self.apply(started, declarations(customers) + self.upstreams)
        if result.returncode != 0:
            raise RuntimeError(result.stdout + result.stderr)
        for router in started:
            router.wait_ready()
        return started


def start_load_tool(targets, **options):
    arguments = [os.path.join(BUILD, "wt-load")]
    for target in targets:
        arguments += ["--target", "%s:%d" % (HOST, target.port)]
    for name, value in options.items():
        arguments.append("--" + name.replace("_", "-"))
        if value is not True:
            arguments.append(str(value))
    return subprocess.Popen(arguments, stdout=subprocess.PIPE, text=True)


def load(targets, **options):
    tool = start_load_tool(targets, **options)
    output, _ = tool.communicate(timeout=LOAD_TIMEOUT_S)
    return json.loads(output)


def cpu_seconds(process):
    with open("/proc/%d/stat" % process.process.pid) as file:
        fields = file.read().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / TICKS_PER_S


def resident_kib(process):
    with open("/proc/%d/status" % process.process.pid) as file:
        for line in file:
            if line.startswith("VmRSS:"):
                return int(line.split()[1])
    raise RuntimeError("no VmRSS")


def engine_totals(engines):
    totals = {}
    for engine in engines:
        for name, value in engine.state().items():
            if isinstance(value, int):
                totals[name] = totals.get(name, 0) + value
    return totals
