"""Whether each client that gets a success gets the whole body of the runner
that sealed it, while one of four runners fails a part of its requests."""
import json
import os
import sys
import threading
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.dont_write_bytecode = True
sys.path.insert(0, os.path.dirname(HERE))

from clients import Client
from deployment import ZONES, CannotRun, Deployment, main, route, standin, \
    wait_until

ROUTES = [route("freeze-request", "/freeze/", "idempotent", "member-ledger",
                max_attempts=2),
          route("checkin-lookup", "/checkin/", "non_idempotent",
                "member-ledger")]
SERVICES = [{"name": "member-ledger", "health_path": "/health",
             "max_connections": 110}]
TENANTS = [{"name": "a", "api_keys": ["key-a"]}]
ROUTERS = 3
CLIENTS = 24
PER_S = 4  # requests of each client
FREEZE_SHARE = 0.8
LENGTH_S = 92
# One of four runners, as srv_grey in mfg-kochi.toml: share 0.14, x 0.45,
# for_s 6.5, more than once.
GREY_AT_S = tuple(range(3, 84, 8))
GREY_FOR_S = 6.5
GREY_SHARE = 0.45


class Case:
    def __init__(self, deployment):
        self.deployment = deployment
        self.record = deployment.record
        self.lock = threading.Lock()
        self.runs = {}   # seal -> run
        self.answers = []
        self.ports = []
        self.services = []

    def start(self):
        for number, zone in enumerate(ZONES):
            self.services.append(self.deployment.add(standin(
                "service.py", "i-%d" % number, "member-ledger", zone,
                self.deployment.store_port, number + 1,
                on_line=self.on_line)))
        wait_until(lambda: len(self.ports) == len(ZONES), "the runners")
        self.deployment.configure(1, ROUTES, SERVICES, TENANTS)
        self.deployment.start_routers(ROUTERS)
        time.sleep(2)

    def on_line(self, line):
        told = json.loads(line)
        if "listening" in told:
            self.ports.append(told["listening"])
            return
        with self.lock:
            self.runs[told["seal"]] = told
        self.record.write("run " + line)

    def on_sent(self, request_id, method, path, body):
        self.record.write("sent %s %s %s" % (request_id, method, path))

    def on_answer(self, answer):
        seal = answer.headers.get("X-Server-Seal", "none")
        self.record.write("answer %s status %d seal %s length %d whole %d %s"
                          % (answer.request_id, answer.status, seal,
                             len(answer.body), answer.is_whole,
                             answer.reason))
        with self.lock:
            self.answers.append(answer)

    def play(self, has_trouble):
        start = time.monotonic()
        end = start + LENGTH_S
        clients = [Client(number, self.deployment.routers[
            number % ROUTERS].port, PER_S, end, self.pick, self.on_sent,
            self.on_answer) for number in range(CLIENTS)]
        for client in clients:
            client.start()
        if has_trouble:
            for at in GREY_AT_S:
                self.wait_for(start + at)
                self.set_grey("hang %g" % GREY_SHARE)
                self.wait_for(start + at + GREY_FOR_S)
                self.set_grey("sound")
        for client in clients:
            client.join(LENGTH_S + 30)
        time.sleep(0.5)

    def pick(self, random):
        thing = random.randrange(100)
        if random.random() < FREEZE_SHARE:
            return "GET", "/freeze/%x" % thing, None
        return "POST", "/checkin/%x" % thing, b"x" * 600

    def wait_for(self, at):
        time.sleep(max(at - time.monotonic(), 0))

    def set_grey(self, command):
        self.services[0].tell(command)
        self.record.write("runner i-0: " + command)

    def judge(self):
        """Counts successes whose body is not the runner's whole body."""
        wrong = 0
        good = 0
        for answer in self.answers:
            if not 200 <= answer.status < 300 or not answer.is_whole:
                continue
            run = self.runs.get(answer.headers.get("X-Server-Seal"))
            if run and run["run"] == answer.request_id \
                    and run["status"] == 200 \
                    and len(answer.body) == run["length"]:
                good += 1
                continue
            wrong += 1
            self.record.write("WRONG %s got %d bytes of %s" % (
                answer.request_id, len(answer.body), json.dumps(run)))
        if good < 1000:
            raise CannotRun("only %d good answers" % good)
        print("%d successes with the whole body, %d without" % (good, wrong))
        return wrong > 0


def play(has_trouble):
    deployment = Deployment(HERE)
    try:
        case = Case(deployment)
        case.start()
        case.play(has_trouble)
        return case.judge()
    finally:
        deployment.close()


main(play)
