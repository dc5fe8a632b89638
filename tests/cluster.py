"""Starts routers and stand-ins as processes on loopback and talks to them.

Every wait is for a condition. Its time limit only ends a test that would
hang; no other result depends on the limit.
"""
import hashlib
import http.client
import json
import os
import random
import re
import signal
import socket
import subprocess
import tempfile
import threading
import time
import uuid

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
BUILD = os.path.join(ROOT, os.environ.get("WT_BUILD", "build"))


def find_own_address():
    """Returns a loopback address that no other process on this machine has, so
    that a port that is free again leads to no other run."""
    pid = os.getpid()  # of 22 bits at most
    return "127.%d.%d.%d" % (64 + (pid >> 16), pid >> 8 & 255, pid & 255)


HOST = find_own_address()


def preloaded(name):
    """Returns the path of a library for LD_PRELOAD, which is ignored without
    an error if it does not exist."""
    path = os.path.join(BUILD, name)
    if not os.path.exists(path):
        raise FileNotFoundError(path)
    return path
HANG_LIMIT = 60  # s
OPERATOR_KEY = "operator-key"


def key_hash(key):
    return hashlib.blake2b(key.encode(), digest_size=32).hexdigest()


def uuid7(age_seconds=0):
    """Returns a UUID of version 7 whose timestamp lies age_seconds back."""
    now = int((time.time() - age_seconds) * 1000)
    number = (now << 80) | (7 << 76) | (random.getrandbits(12) << 64)
    number |= (2 << 62) | random.getrandbits(62)
    return str(uuid.UUID(int=number))


def wait_for(condition, what, limit=HANG_LIMIT):
    """Polls condition until it returns a true value, and returns that."""
    end = time.monotonic() + limit
    while True:
        value = condition()
        if value:
            return value
        if time.monotonic() > end:
            raise AssertionError("never came: " + what)
        time.sleep(0.01)


class Process:
    """A process whose standard output and error, sanitizer reports included,
    are stored line by line."""

    def __init__(self, arguments, environment=None):
        self.lines = []
        self.process = subprocess.Popen(arguments, stdout=subprocess.PIPE,
                                        stderr=subprocess.STDOUT, text=True,
                                        errors="replace",
                                        env=dict(os.environ,
                                                 **environment or {}))
        self.reader = threading.Thread(target=self._read, daemon=True)
        self.reader.start()

    def _read(self):
        for line in self.process.stdout:
            self.lines.append(line.rstrip("\n"))

    def events(self, name=None):
        """Returns the log lines of one event, or of all, as dictionaries."""
        found = []
        for line in list(self.lines):
            pairs = dict(re.findall(r'(\w+)=("(?:[^"\\]|\\.)*"|\S+)', line))
            if "event" in pairs and name in (None, pairs["event"]):
                found.append(pairs)
        return found

    def wait_event(self, name, count=1):
        return wait_for(lambda: len(self.events(name)) >= count
                        and self.events(name), name)

    def signal(self, number):
        self.process.send_signal(number)

    def kill(self):
        if self.process.poll() is None:
            self.process.kill()
        self.process.wait()
        self._close()

    def faults(self):
        """Returns the output from the first line of a sanitizer report on."""
        lines = list(self.lines)
        for index, line in enumerate(lines):
            if "Sanitizer: " in line or "runtime error: " in line:
                return lines[index:]
        return []

    def _close(self):
        self.reader.join()
        self.process.stdout.close()

    def stop(self):
        """Sends SIGTERM, waits for the end and returns the exit code."""
        if self.process.poll() is None:
            self.process.terminate()
        code = self.process.wait(HANG_LIMIT)
        self._close()
        return code


class StandIn(Process):
    def __init__(self, role, port=0, host=HOST, **options):
        arguments = [os.path.join(BUILD, "wt-standin"), role,
                     "--host", host, "--port", str(port)]
        for name, value in options.items():
            arguments += ["--" + name, str(value)]
        super().__init__(arguments)
        self.port = wait_for(self._printed_port, "port of stand-in " + role)
        self.host = host
        self.address = "%s:%d" % (host, self.port)

    def _printed_port(self):
        for line in list(self.lines):
            if line.startswith("port="):
                return int(line.split("=")[1])
        return None

    def call(self, method, path, body=None):
        return request(self.port, method, path, body,
                       host=self.host).json()

    def control(self, **parameters):
        return self.call("POST", "/control", parameters)

    def state(self):
        return self.call("GET", "/state")


class Answer:
    def __init__(self, status, headers, body):
        self.status = status
        self.headers = headers
        self.body = body

    def json(self):
        return json.loads(self.body)

    def error(self):
        return self.json()["error"]


def request(port, method, path, body=None, headers=None, timeout=HANG_LIMIT,
            host=HOST):
    connection = http.client.HTTPConnection(host, port, timeout=timeout)
    if body is not None and not isinstance(body, (bytes, str)):
        body = json.dumps(body)
    try:
        connection.request(method, path, body, headers or {})
        response = connection.getresponse()
        return Answer(response.status, dict(response.getheaders()),
                      response.read())
    finally:
        connection.close()


class Stream:
    """A streamed answer, read event by event."""

    def __init__(self, port, path, body, headers, method="POST",
                 receive_buffer=None, host=HOST):
        self.connection = http.client.HTTPConnection(host, port,
                                                     timeout=HANG_LIMIT)
        if receive_buffer:
            sock = socket.socket()
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF,
                             receive_buffer)
            sock.settimeout(HANG_LIMIT)
            sock.connect((host, port))
            self.connection.sock = sock
        text = json.dumps(body) if body is not None else None
        self.connection.request(method, path, text, headers)
        self.response = self.connection.getresponse()
        self.status = self.response.status
        self.headers = dict(self.response.getheaders())
        self.events = []
        self.whole = False
        self.broken = False

    def read_event(self):
        """Returns the next event as a dictionary, or None at the end."""
        event = {}
        while True:
            try:
                line = self.response.readline()
            except OSError:
                line = b""
            if line == b"":
                # http.client sets chunk_left to None only after the last
                # chunk.
                self.broken = (self.response.chunked
                               and self.response.chunk_left is not None)
                return None
            line = line.decode().rstrip("\n")
            if line == "":
                break
            name, _, value = line.partition(": ")
            event[name] = value
        if event.get("data") == "[DONE]":
            self.whole = True
        elif "data" in event:
            event["data"] = json.loads(event["data"])
        self.events.append(event)
        return event

    def read(self, count=None):
        """Reads until `count` tokens have arrived, or to the end."""
        while count is None or len(self.tokens()) < count:
            if self.read_event() is None:
                self.close()
                break
        return self

    def tokens(self):
        found = []
        for event in self.events:
            data = event.get("data")
            if isinstance(data, dict) and "choices" in data:
                choice = data["choices"][0]
                found.append(choice["text"] if "text" in choice
                             else choice["delta"]["content"])
        return found

    def error(self):
        for event in self.events:
            if event.get("event") == "error":
                return event["data"]["error"]
        return None

    def last_id(self):
        return [e["id"] for e in self.events if "id" in e][-1]

    def close(self):
        """Closes the connection cleanly, as a caller that disconnects."""
        self.response.close()
        self.connection.close()


def places(tokens):
    """Returns the position in the answer that each stand-in token names."""
    return [int(token.split(".")[1]) for token in tokens]


class Router(Process):
    def __init__(self, cluster, name, hall="hall-a", **settings):
        self.name = name
        values = {
            "router": {"name": name, "hall": hall, "region": "region-a",
                       "listen": HOST + ":0",
                       "operator_listen": HOST + ":0",
                       "stop_grace": "200ms", "seed": "1",
                       "policy": "prefix"},
            "keys": {"seal": cluster.seal, "salt": "22" * 32,
                     "operator_hash": key_hash(OPERATOR_KEY)},
            "peers": {"listen": HOST + ":0",
                      "seeds": ", ".join(cluster.peers)},
            "platform": {"log": cluster.log_address,
                         "instances": cluster.instances.address,
                         "instances_poll": "50ms"},
            "limits": {},
        }
        for key, value in settings.items():
            for section in values.values():
                if key in section:
                    section[key] = value
                    break
            else:
                section = "limits"
                if key.startswith(("log", "command", "snapshot", "claim",
                                   "lease", "order", "weight")):
                    section = "platform"
                if key == "bootstrap":
                    section = "router"
                if key.startswith("gossip"):
                    section = "peers"
                values[section][key] = value
        self.path = os.path.join(cluster.folder, name + ".ini")
        with open(self.path, "w") as file:
            for section, keys in values.items():
                file.write("[%s]\n" % section)
                for key, value in keys.items():
                    file.write("%s = %s\n" % (key, value))
        super().__init__([os.path.join(BUILD, "wheattiller"), "router",
                          "--settings", self.path])
        started = self.wait_event("router_started")[0]
        self.port = int(started["port"])
        self.operator_port = int(started["operator_port"])
        self.peer_address = "%s:%s" % (HOST, started["peer_port"])
        cluster.peers.append(self.peer_address)

    def wait_ready(self):
        wait_for(lambda: request(self.port, "GET", "/readyz").status == 200,
                 self.name + " ready")
        return self

    def headers(self, customer="acme", **more):
        headers = {"Authorization": "Bearer %s-key" % customer}
        headers.update({name.replace("_", "-"): value
                        for name, value in more.items()})
        return headers

    def complete(self, body, customer="acme", path="/v1/completions",
                 method="POST", **headers):
        return request(self.port, method, path, body,
                       self.headers(customer, **headers))

    def stream(self, body, customer="acme", path="/v1/completions",
               receive_buffer=None, **headers):
        body = dict(body, stream=True) if body is not None else None
        return Stream(self.port, path, body, self.headers(customer, **headers),
                      receive_buffer=receive_buffer)

    def counters(self, prefix=""):
        text = request(self.operator_port, "GET", "/metrics").body.decode()
        found = {}
        for line in text.splitlines():
            name, _, value = line.rpartition(" ")
            name = name.removeprefix("wheattiller_")
            if name.startswith(prefix):
                found[name] = int(value)
        return found

    def count(self, prefix):
        return sum(self.counters(prefix).values())


BASE_DECLARATIONS = """
[priority high]
level = 30

[priority low]
level = 10

[model m]
weights = v1

[service ledger]
repeatable = no
timeout = 3s

[service notes]
repeatable = yes
timeout = 3s

[customer acme]
key_hash = %s
max_priority = high

[customer other]
key_hash = %s
max_priority = low
""" % (key_hash("acme-key"), key_hash("other-key"))


class Cluster:
    """The platform's stand-ins and the other processes of one test."""

    def __init__(self):
        self.folder = tempfile.mkdtemp(prefix="wt-")
        self.seal = os.urandom(32).hex()
        self.processes = []
        self.peers = []
        self.log = self.add(StandIn("log"))
        self.log_address = self.log.address
        self.instances = self.add(StandIn("instances"))
        self.upstreams = ""
        self.declared = ""

    def add(self, process):
        self.processes.append(process)
        return process

    def declare_upstream(self, name, address, serves, role="engine",
                         hall="hall-a", more=""):
        self.upstreams += (
            "[upstream %s]\naddress = %s\nhall = %s\nregion = region-a\n"
            "role = %s\nserves = %s\n%s\n\n"
            % (name, address, hall, role, serves, more))

    def engine(self, name, address=None, more="", **options):
        options = {"models": "m", "decode_ms": 5, **options}
        engine = self.add(StandIn("engine", name=name, **options))
        self.declare_upstream(name, address or engine.address, "m",
                              more=more)
        return engine

    def service(self, name, serves, address=None, **options):
        service = self.add(StandIn("service", name=name, **options))
        self.declare_upstream(name, address or service.address, serves,
                              "service")
        return service

    def router(self, name="r1", **settings):
        return self.add(Router(self, name, **settings))

    def command(self, *arguments, routers=(), environment=None):
        env = dict(os.environ, WHEATTILLER_KEY=OPERATOR_KEY,
                   WHEATTILLER_ROUTERS=",".join(
                       "%s:%d" % (HOST, r.operator_port) for r in routers))
        env.update(environment or {})
        return subprocess.run(
            [os.path.join(BUILD, "wheattiller"), *arguments], env=env,
            capture_output=True, text=True, timeout=HANG_LIMIT)

    def write(self, name, text):
        path = os.path.join(self.folder, name)
        with open(path, "w") as file:
            file.write(text)
        return path

    def apply(self, routers, text=None, *options):
        if text is None:
            text = BASE_DECLARATIONS + self.upstreams
        path = self.write("declarations.ini", text)
        return self.command("apply", "--wait", *options, path,
                            routers=routers)

    def start(self, *names, **settings):
        """Starts routers, applies the base declarations and waits until all
        are ready. Returns the router, or a list of several."""
        routers = [self.router(name, **settings) for name in names or ["r1"]]
        done = self.apply(routers)
        if done.returncode != 0:
            raise AssertionError(done.stdout + done.stderr)
        for router in routers:
            router.wait_ready()
        return routers if len(routers) > 1 else routers[0]

    def close(self):
        for process in self.processes:
            process.kill()
        for name in os.listdir(self.folder):
            os.remove(os.path.join(self.folder, name))
        os.rmdir(self.folder)
        assert_sound(self.processes)

    def __enter__(self):
        return self

    def __exit__(self, *ignored):
        self.close()


def assert_sound(processes):
    """Fails if any process has printed a sanitizer report.

    Tests kill their routers, so a fault after the last check would not show
    in an exit code.
    """
    faults = [fault for process in processes if isinstance(process, Process)
              for fault in process.faults()]
    assert not faults, "\n".join(faults)


STOP = signal.SIGSTOP
CONTINUE = signal.SIGCONT
