"""Starts a small deployment on loopback: the store's stand-in, runners of
plain services, and routers by the command of deploy/system.toml with settings
from deploy/router.ini. Everything lies in a temporary folder and ends with
the deployment."""
import http.client
import json
import os
import shlex
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import tomllib
import urllib.parse

import template

REVIEW = os.path.dirname(os.path.abspath(__file__))
ROOT = os.path.dirname(REVIEW)
ZONES = ["kochi-a", "kochi-b", "tvm-a", "kollam-a"]
REGION = "kerala-south"
SETTINGS_PATH = "/etc/wheattiller/settings.yaml"
# Bounds of the deployment of mfg-kochi.toml.
BOUNDS = {"contact_ms": 3000, "drain_ms": 2000, "grace_s": 8,
          "config_apply_ms": 2000, "revoke_ms": 5000, "retry_slack": 56,
          "fencing_required": True, "lease_ms": 3000, "version_ms": 10000}


class CannotRun(Exception):
    """The case could not be played; says nothing of the rule."""


def free_ports(count):
    sockets = [socket.socket() for _ in range(count)]
    for each in sockets:
        each.bind(("127.0.0.1", 0))
    ports = [each.getsockname()[1] for each in sockets]
    for each in sockets:
        each.close()
    return ports


def wait_until(condition, what, limit_s=15):
    end = time.monotonic() + limit_s
    while time.monotonic() < end:
        if condition():
            return
        time.sleep(0.02)
    raise CannotRun("never came: " + what)


class Record:
    """record.txt: what was sent, answered and run."""

    def __init__(self, folder):
        self.file = open(os.path.join(folder, "record.txt"), "w")
        self.lock = threading.Lock()
        self.start = time.monotonic()

    def write(self, text):
        with self.lock:
            if not self.file.closed:
                self.file.write("%9.3f %s\n"
                                % (time.monotonic() - self.start, text))

    def close(self):
        with self.lock:
            self.file.close()


class Process:
    """A process whose output is read line by line."""

    def __init__(self, arguments, on_line=None, **more):
        self.process = subprocess.Popen(
            arguments, stdout=subprocess.PIPE, stderr=subprocess.STDOUT,
            stdin=subprocess.PIPE, text=True, errors="replace",
            env=dict(os.environ, PYTHONDONTWRITEBYTECODE="1"), **more)
        self.on_line = on_line
        self.lines = []
        self.reader = threading.Thread(target=self.read, daemon=True)
        self.reader.start()

    def read(self):
        for line in self.process.stdout:
            self.lines.append(line.rstrip("\n"))
            if self.on_line:
                self.on_line(self.lines[-1])

    def tell(self, command):
        """Hands a line to a stand-in's standard input."""
        self.process.stdin.write(command + "\n")
        self.process.stdin.flush()

    def end(self):
        if self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
        self.process.wait()


def standin(script, *arguments, on_line=None):
    return Process([sys.executable, os.path.join(REVIEW, script),
                    *map(str, arguments)], on_line)


class Router:
    def __init__(self, command, ports):
        self.command = command
        self.process = None
        self.port, self.ready_port = ports[:2]

    def is_ready(self):
        try:
            link = http.client.HTTPConnection("127.0.0.1", self.ready_port,
                                              timeout=1)
            link.request("GET", "/v1/ready")
            return link.getresponse().status == 200
        except OSError:
            return False


class Deployment:
    def __init__(self, folder):
        self.record = Record(folder)
        self.temporary = tempfile.TemporaryDirectory()
        self.processes = []
        self.routers = []
        self.seeds = []
        self.store_port = free_ports(1)[0]
        store = self.add(standin("store.py", self.store_port))
        wait_until(lambda: "listening" in store.lines, "the store")

    def add(self, process):
        self.processes.append(process)
        return process

    def put(self, topic, key, value):
        link = http.client.HTTPConnection("127.0.0.1", self.store_port,
                                          timeout=5)
        query = urllib.parse.urlencode({"topic": topic, "key": key})
        link.request("POST", "/platform/put?" + query, json.dumps(value))
        if link.getresponse().status != 200:
            raise CannotRun("the store refused a record")

    def configure(self, version, routes, services, tenants):
        self.put("keyed.op", "config", {
            "version": version, "routes": routes, "services": services,
            "tenants": tenants,
            "limits": {"max_header_bytes": 16384, "max_body_bytes": 4194304,
                       "header_timeout_ms": 3000, "idle_timeout_ms": 15000}})

    def fields(self, name, zone, ports):
        front, ready, control, first = ports
        return {
            "node_name": name, "role": "router", "machine_class": "front",
            "serves": ["front", "control"], "ip": "127.0.0.1", "zone": zone,
            "region": REGION, "zones": {each: REGION for each in ZONES},
            "listen": {"front": "127.0.0.1:%d" % front,
                       "ready": "127.0.0.1:%d" % ready,
                       "control": "127.0.0.1:%d" % control},
            "port_range": [first, first], "seeds": self.seeds,
            "bootstrap": True, "bounds": BOUNDS,
            "provider": {"address": "127.0.0.1:%d" % self.store_port,
                         "form": "log"}}

    def start_routers(self, count):
        with open(os.path.join(ROOT, "deploy/system.toml"), "rb") as file:
            role = tomllib.load(file)["roles"]["router"]
        with open(os.path.join(ROOT, role["template"])) as file:
            text = file.read()
        all_ports = [free_ports(4) for _ in range(count)]
        self.seeds = ["127.0.0.1:%d" % ports[2] for ports in all_ports[:3]]
        for index, ports in enumerate(all_ports):
            zone = ZONES[index % len(ZONES)]
            name = "front-%s-%d" % (zone, index + 1)
            path = os.path.join(self.temporary.name, name + ".ini")
            with open(path, "w") as file:
                file.write(template.fill(
                    text, [self.fields(name, zone, ports)]))
            command = [path if word == SETTINGS_PATH else word
                       for word in shlex.split(role["run"])]
            self.routers.append(Router(command, ports))
            self.start_router(self.routers[-1])
        for router in self.routers:
            wait_until(router.is_ready, "a router that is ready")

    def start_router(self, router):
        router.process = self.add(Process(router.command, cwd=ROOT))

    def close(self):
        for process in self.processes:
            process.end()
        self.temporary.cleanup()
        self.record.close()


def route(name, prefix, kind, service, **more):
    fields = {"name": name, "hostname": "jepu9.example", "path_prefix": prefix,
              "kind": kind, "timeout_ms": 1500, "target_latency_ms": 300,
              "priority": 2, "service": service, "max_attempts": 1,
              "public": False, "sticky": False, "resumable": False}
    return dict(fields, **more)


def main(play):
    """Runs play(has_trouble) -> whether the rule was broken; exits with 1 if
    so, 0 if it held, and 2 if the case could not run."""
    has_trouble = os.environ.get("TROUBLE", "1") != "0"
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))
    try:
        broken = play(has_trouble)
    except (CannotRun, OSError, subprocess.SubprocessError) as error:
        print("could not run: %s" % error)
        sys.exit(2)
    print("broken" if broken else "held")
    sys.exit(1 if broken else 0)
