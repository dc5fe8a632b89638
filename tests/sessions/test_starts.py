"""Starts of a router in place, by a supervisor that knows nothing of it."""
import errno
import http.client
import os
import re
import resource
import signal
import socket
import sys
import time
import unittest
from concurrent.futures import ThreadPoolExecutor

from cluster import BUILD, HOST, Process, wait_for
from fleet import Answer, Fleet, SuspendableClock

WATCHED_S = 0.2
STOP_LIMIT_S = 3


class StartCase(unittest.TestCase):
    def setUp(self):
        self.fleet = Fleet()
        self.addCleanup(self.fleet.close)
        self.fleet.plain("p1")
        self.fleet.config()

    def write_settings(self, **addresses):
        """Returns the path of the settings of a router, whose addresses are
        given as SECTION_KEY; the system chooses the other ports."""
        template = self.fleet.start(name="template")
        template.stop()
        with open(template.path) as file:
            text = file.read()
        for name, address in addresses.items():
            section, _, key = name.partition("_")
            text = re.sub(r"(\[%s\][^\[]*?^%s = )\S+" % (section, key),
                          r"\g<1>" + address, text, count=1, flags=re.M)
        path = os.path.join(self.fleet.folder.name, "r.ini")
        with open(path, "w") as file:
            file.write(text)
        return path

    def launch(self, path, environment=None, prefix=()):
        router = Process([*prefix, os.path.join(BUILD, "wheattiller"),
                          "router", "--settings", path], environment)
        router.path = path
        self.fleet.routers.append(router)
        return router

    def wait_line(self, router, event, setting):
        return wait_for(lambda: [line for line in router.events(event)
                                 if line["setting"].strip('"') == setting],
                        event + " of " + setting)[0]

    def assert_serves(self, router):
        self.fleet.await_start(router)
        if router.ready_port == 0:
            router.ready_port = int(self.wait_line(
                router, "listen_succeeded", "ready_listen")["port"])
        wait_for(lambda: self.fleet.is_ready(router), "ready")
        answer = self.fleet.ask(router, "/read/x", method="GET")
        self.assertEqual(answer.status, 200)


class SignalTest(StartCase):
    def launch_reading(self):
        """Starts a router that waits for its settings, a pipe, and returns it
        with the pipe's end and the settings."""
        path = self.write_settings()
        with open(path, "rb") as file:
            text = file.read()
        os.remove(path)
        os.mkfifo(path)
        router = self.launch(path)
        return router, wait_for(lambda: self.open_pipe(path), "reader"), text

    @staticmethod
    def open_pipe(path):
        """Returns None as long as nobody reads."""
        try:
            return os.open(path, os.O_WRONLY | os.O_NONBLOCK)
        except OSError as error:
            if error.errno != errno.ENXIO:
                raise
        return None

    def signal_while_reading(self, *numbers):
        router, pipe, text = self.launch_reading()
        for number in numbers:
            router.signal(number)
        time.sleep(WATCHED_S)
        os.remove(router.path)
        with open(router.path, "wb") as file:
            file.write(text)
        try:
            os.write(pipe, text)
        except BrokenPipeError:
            pass  # the router has ended
        os.close(pipe)
        return router

    # A router that was told to reload as it started ended with the signal.
    def test_a_reload_during_the_start_does_not_end_the_router(self):
        router = self.signal_while_reading(signal.SIGHUP)
        self.assert_serves(router)
        self.assertEqual(
            router.wait_event("settings_reloaded")[0]["outcome"], "taken")

    # A supervisor keeps SIGHUP from ending a process whose program is still
    # being loaded by ignoring or blocking it before exec.
    def test_a_signal_ignored_or_blocked_at_exec_still_reloads(self):
        for call in ("signal(signal.SIGHUP, signal.SIG_IGN)",
                     "pthread_sigmask(signal.SIG_BLOCK, [signal.SIGHUP])"):
            with self.subTest(call):
                router = self.launch(self.write_settings(), prefix=(
                    sys.executable, "-c", "import os, signal, sys; signal." +
                    call + "; os.kill(os.getpid(), signal.SIGHUP); "
                    "os.execv(sys.argv[1], sys.argv[1:])"))
                self.assert_serves(router)
                before = len(router.events("settings_reloaded"))
                router.signal(signal.SIGHUP)
                lines = router.wait_event("settings_reloaded", before + 1)
                self.assertEqual(lines[-1]["outcome"], "taken")

    def test_a_stop_during_the_start_is_an_orderly_one(self):
        router = self.signal_while_reading(signal.SIGHUP, signal.SIGTERM)
        self.assertEqual(router.process.wait(60), 0)
        router.wait_event("router_stopped")


class SettingsTest(StartCase):
    LONG_S = 3600

    def setUp(self):
        super().setUp()
        self.path = self.write_settings()
        with open(self.path) as file:
            self.text = file.read()

    def write(self, text):
        """Replaces the file as a whole, so that no other text is seen."""
        with open(self.path + ".new", "w") as file:
            file.write(text)
        os.replace(self.path + ".new", self.path)

    def start_at_fault(self, environment=None):
        router = self.launch(self.path, environment)
        router.wait_event("settings_wait")
        return router

    # A router whose settings were placed a moment later, or were being
    # written, ended at once.
    def test_a_start_waits_for_its_settings(self):
        os.remove(self.path)
        router = self.start_at_fault()
        self.write("")
        router.wait_event("settings_wait", 2)
        self.write(self.text[:len(self.text) // 2])
        router.wait_event("settings_wait", 3)
        self.write(self.text)
        self.assert_serves(router)
        self.assertEqual(len(router.events("settings_read")), 1)

    def test_a_start_tells_what_is_at_fault_and_gives_up(self):
        clock = SuspendableClock(self.fleet.folder.name)
        self.write(self.text.replace("hall = ", "haul = "))
        router = self.start_at_fault(clock.environment)
        for kind in ("unknown_key", "missing_key"):
            self.assertTrue([line for line in router.lines if kind in line])
        clock.suspend(self.LONG_S)
        self.assertEqual(router.process.wait(60), 1)
        router.wait_event("settings_unusable")

    def test_a_start_that_waits_for_its_settings_can_be_stopped(self):
        os.remove(self.path)
        router = self.start_at_fault()
        begun = time.monotonic()
        router.signal(signal.SIGTERM)
        self.assertEqual(router.process.wait(60), 1)
        self.assertLess(time.monotonic() - begun, STOP_LIMIT_S)

    def reload(self, router):
        before = len(router.events("settings_reloaded"))
        router.signal(signal.SIGHUP)
        return router.wait_event("settings_reloaded", before + 1)[-1]

    def assert_refused(self, router):
        self.assertEqual(self.reload(router)["outcome"], "refused")
        self.assertEqual(
            router.wait_event("setting_at_fault")[-1]["reason"], "unreadable")
        self.assert_serves(router)

    # A router that was told to read a pipe again waited for its writer.
    def test_a_reload_does_not_wait_for_the_writer_of_a_pipe(self):
        router = self.launch(self.path)
        self.assert_serves(router)
        os.remove(self.path)
        os.mkfifo(self.path)
        self.assert_refused(router)

    # Callers waited while a large file was read.
    def test_a_reload_refuses_a_large_file(self):
        router = self.launch(self.path)
        self.assert_serves(router)
        self.write(self.text + "# more\n" * 100000)
        self.assert_refused(router)

    # A file that was read while it was written was not read again.
    def test_a_reload_of_a_cut_file_is_repeated_once_it_is_whole(self):
        router = self.launch(self.path)
        self.assert_serves(router)
        self.write(self.text[:len(self.text) // 2])
        self.assertEqual(self.reload(router)["outcome"], "refused")
        self.write(self.text)
        again = router.wait_event("settings_reloaded", 2)[1]
        self.assertEqual(again["outcome"], "taken")


class BusyAddress:
    """Occupies a port that the system chooses."""

    def __init__(self, kind=socket.SOCK_STREAM):
        self.socket = socket.socket(type=kind)
        self.socket.bind((HOST, 0))
        if kind == socket.SOCK_STREAM:
            self.socket.listen(1)
        self.port = self.socket.getsockname()[1]
        self.address = "%s:%d" % (HOST, self.port)

    def release(self):
        self.socket.close()


class AddressTest(StartCase):
    LONG_S = 3600

    def setUp(self):
        super().setUp()
        self.busy = BusyAddress()
        self.addCleanup(self.busy.release)

    def assert_caller_served(self, router):
        answer = self.fleet.ask(router, "/read/x", method="GET")
        self.assertEqual(answer.status, 200)

    def start_without(self, setting, **addresses):
        """Starts a router one address of which is in use, and returns it
        once it has served a caller."""
        router = self.launch(self.write_settings(**addresses))
        waits = self.wait_line(router, "listen_waits", setting)
        self.assertEqual(waits["error"].strip('"'),
                         os.strerror(errno.EADDRINUSE))
        self.fleet.await_start(router)
        self.assert_caller_served(router)
        self.assertEqual(router.events("listen_succeeded"), [])
        return router

    # A router whose address was in use for a moment ended at once.
    def test_an_address_in_use_for_a_moment_delays_the_start(self):
        router = self.launch(
            self.write_settings(router_listen=self.busy.address))
        waits = router.wait_event("listen_waits")[0]
        self.assertEqual(waits["setting"], "listen")
        self.busy.release()
        self.assert_serves(router)

    # The start gave up after ten seconds, and each one after it as well.
    def test_a_router_waits_as_long_as_its_address_is_in_use(self):
        path = self.write_settings(router_listen=self.busy.address)
        clock = SuspendableClock(self.fleet.folder.name)
        router = self.launch(path, clock.environment)
        first = router.wait_event("listen_waits")[0]
        clock.suspend(self.LONG_S)
        later = router.wait_event("listen_waits", 2)[1]
        for line in (first, later):
            self.assertEqual(line["setting"], "listen")
            self.assertEqual("%s:%s" % (line["host"], line["port"]),
                             self.busy.address)
            self.assertEqual(line["error"].strip('"'),
                             os.strerror(errno.EADDRINUSE))
        self.assertGreaterEqual(int(later["waited_ms"]), self.LONG_S * 1000)
        self.assertIsNone(router.process.poll())
        self.busy.release()
        self.assert_serves(router)

    def test_a_router_that_waits_for_an_address_can_be_stopped(self):
        router = self.launch(
            self.write_settings(router_listen=self.busy.address))
        router.wait_event("listen_waits")
        begun = time.monotonic()
        router.signal(signal.SIGTERM)
        self.assertEqual(router.process.wait(60), 1)
        self.assertLess(time.monotonic() - begun, STOP_LIMIT_S)
        reason = router.wait_event("router_failed")[0]["reason"]
        self.assertIn("listen: can't listen on " + self.busy.address, reason)
        self.assertIn(os.strerror(errno.EADDRINUSE), reason)

    # A router whose metrics could not be read served nobody.
    def test_callers_are_served_without_the_address_for_operators(self):
        router = self.start_without("operator_listen",
                                    router_operator_listen=self.busy.address)
        self.assertEqual(router.operator_port, 0)
        self.busy.release()
        self.wait_line(router, "listen_succeeded", "operator_listen")
        self.assertEqual(
            self.fleet.get(self.busy.port, "/metrics").status, 200)

    # Callers connected to a router that waited for another address, and got
    # no answer.
    def test_callers_are_served_without_the_address_for_readiness(self):
        router = self.start_without("ready_listen",
                                    router_ready_listen=self.busy.address)
        self.busy.release()
        self.wait_line(router, "listen_succeeded", "ready_listen")
        wait_for(lambda: self.fleet.get(
            self.busy.port, "/v1/ready").status == 200, "ready")

    def test_callers_are_served_without_the_address_for_peers(self):
        reached = self.fleet.start(name="reached")
        path = self.write_settings(peers_listen=self.busy.address)
        with open(path) as file:
            text = file.read().replace("name = template", "name = hidden")
        with open(path, "w") as file:
            file.write(text.replace("[peers]\n", "[peers]\nseeds = %s\n"
                                    % reached.peer_address))
        hidden = self.launch(path)
        self.wait_line(hidden, "listen_waits", "peers.listen")
        self.fleet.await_start(hidden)
        self.assert_caller_served(hidden)
        wait_for(lambda: "hidden" in self.members(reached), "joined")
        self.busy.release()
        self.wait_line(hidden, "listen_succeeded", "peers.listen")
        late = self.fleet.start(name="late",
                                peers={"seeds": self.busy.address})
        wait_for(lambda: "hidden" in self.members(late), "joined")

    @staticmethod
    def members(router):
        return {line["member"] for line in router.events("member_joined")}

    # The socket for datagrams was tried once.
    def test_callers_are_served_without_the_port_for_datagrams(self):
        busy = BusyAddress(socket.SOCK_DGRAM)
        self.addCleanup(busy.release)
        setting = "peers.listen (datagrams)"
        router = self.start_without(setting, peers_listen=busy.address)
        busy.release()
        self.wait_line(router, "listen_succeeded", setting)
        with socket.socket(type=socket.SOCK_DGRAM) as other:
            with self.assertRaises(OSError) as raised:
                other.bind((HOST, busy.port))
        self.assertEqual(raised.exception.errno, errno.EADDRINUSE)

    # A second router must not share the callers of the first.
    def test_a_second_router_at_the_same_addresses_gets_no_connection(self):
        path = self.write_settings()
        first = self.launch(path)
        self.assert_serves(first)
        second = self.launch(self.write_settings(
            router_listen="%s:%d" % (HOST, first.port),
            router_ready_listen="%s:%d" % (HOST, first.ready_port),
            peers_listen=first.peer_address))
        second.wait_event("listen_waits")
        for _ in range(self.ASKS):
            self.assert_caller_served(first)
        self.assertEqual(self.listeners(first.port), 1)
        self.assertEqual(second.events("router_started"), [])
        first.signal(signal.SIGKILL)
        self.assert_serves(second)

    ASKS = 20

    @staticmethod
    def listeners(port):
        with open("/proc/net/tcp") as file:
            fields = [line.split() for line in file.readlines()[1:]]
        return sum(each[3] == "0A" and
                   each[1].endswith(":%04X" % port) for each in fields)

    # A supervisor may start a router while the one before still drains.
    def test_a_router_starts_once_the_one_before_has_ended(self):
        path = self.write_settings()
        first = self.launch(path)
        self.assert_serves(first)
        path = self.write_settings(
            router_listen="%s:%d" % (HOST, first.port),
            router_ready_listen="%s:%d" % (HOST, first.ready_port),
            router_operator_listen="%s:%d" % (HOST, first.operator_port),
            peers_listen=first.peer_address)
        first.signal(signal.SIGTERM)
        self.assert_serves(self.launch(path))
        self.assertEqual(first.process.wait(60), 0)


class ConnectTest(StartCase):
    """Connections that the kernel refuses before connect() returns."""

    NOWHERE = "255.255.255.255:9"
    ASKS = 20

    # An upstream or a store at such an address ended the router.
    def test_an_upstream_at_an_impossible_address_does_not_end_the_router(
            self):
        for number in range(3):
            name = "nowhere%d" % number
            upstream = self.fleet.engine(name)
            upstream.address = self.NOWHERE
            upstream.list()
            upstream = self.fleet.plain("plain-" + name)
            upstream.address = self.NOWHERE
            upstream.list()
        self.fleet.engine("e1")
        router = self.fleet.start()
        for _ in range(self.ASKS):
            self.assertIn(self.fleet.ask(router, "/ask/x").status, (200, 503))
            self.assertIn(self.fleet.ask(router, "/read/x",
                                         method="GET").status, (200, 503))
        self.assertIsNone(router.process.poll())

    def test_a_store_at_an_impossible_address_does_not_end_the_router(self):
        router = self.fleet.router(store_address=self.NOWHERE,
                                   peers={"seeds": self.NOWHERE})
        time.sleep(WATCHED_S)
        self.assertEqual(
            self.fleet.get(router.ready_port, "/v1/ready").status, 503)
        self.assertIsNone(router.process.poll())

    # Connections to upstreams fail at once while descriptors are used up.
    def test_requests_without_descriptors_do_not_end_the_router(self):
        self.fleet.engine("e1")
        router = self.fleet.start()
        used = len(os.listdir("/proc/%d/fd" % router.process.pid))
        connection = http.client.HTTPConnection(HOST, router.port,
                                                timeout=60)
        connection.connect()
        wait_for(lambda: len(os.listdir(
            "/proc/%d/fd" % router.process.pid)) > used, "accepted")
        resource.prlimit(router.process.pid, resource.RLIMIT_NOFILE, (3, 4096))
        for number in range(self.ASKS):
            connection.request("POST", "/write/x", b"x", {
                "Host": "shop.example", "X-Request-Id": "few%d" % number,
                "X-Deadline-Ms": "20000", "Api-Key": "key-a"})
            response = connection.getresponse()
            response.read()
            self.assertEqual(response.status, 503)
        connection.close()
        resource.prlimit(router.process.pid, resource.RLIMIT_NOFILE,
                         (4096, 4096))
        wait_for(lambda: self.fleet.ask(
            router, "/read/x", method="GET").status == 200, "served")


class DescriptorTest(StartCase):
    DESCRIPTORS = 64
    LINES_MAX = 1000  # in a second, of all events

    def open_connections(self, address):
        """Opens more connections than the router can accept."""
        connections = []
        self.addCleanup(lambda: [each.close() for each in connections])
        for _ in range(self.DESCRIPTORS + 20):
            connections.append(socket.create_connection(address, 60))
        return connections

    @staticmethod
    def processor_s(router):
        with open("/proc/%d/stat" % router.process.pid) as file:
            fields = file.read().rpartition(")")[2].split()
        return sum(map(int, fields[11:13])) / os.sysconf("SC_CLK_TCK")

    def check_idle(self, router):
        lines = len(router.lines)
        used_s = self.processor_s(router)
        time.sleep(1)
        self.assertLess(self.processor_s(router) - used_s, 0.5)
        self.assertLess(len(router.lines) - lines, self.LINES_MAX)

    # A router without a free descriptor tried to accept without a pause and
    # wrote a line each time.
    def test_a_router_without_descriptors_waits_and_goes_on(self):
        router = self.fleet.start()
        resource.prlimit(router.process.pid, resource.RLIMIT_NOFILE,
                         (self.DESCRIPTORS, self.DESCRIPTORS))
        for port in (router.port, router.ready_port, router.operator_port,
                     int(router.peer_address.rpartition(":")[2])):
            connections = self.open_connections((HOST, port))
            self.check_idle(router)
            router.wait_event("accept_paused")
            for each in connections:
                each.close()
        self.assert_serves(router)

    # A router that was started without a free descriptor ended by SIGABRT.
    def test_a_start_without_descriptors_waits_for_some(self):
        router = self.launch(self.write_settings(), prefix=(
            "sh", "-c", 'ulimit -S -n 5; exec "$@"', "sh"))
        line = router.wait_event("descriptors_awaited")[0]
        self.assertEqual(line["error"].strip('"'), os.strerror(errno.EMFILE))
        self.assertIsNone(router.process.poll())
        resource.prlimit(router.process.pid, resource.RLIMIT_NOFILE,
                         (self.DESCRIPTORS, 4096))
        self.assert_serves(router)

    def ask_at_once(self, router, path):
        """Sends a request on each of more connections than the router can
        accept, which finds all of them at once, and returns the answers."""
        router.signal(signal.SIGSTOP)
        try:
            connections = [self.fleet.send(router, path, wait_ms=8000)
                           for _ in range(self.DESCRIPTORS)]
        finally:
            router.signal(signal.SIGCONT)
        answers = []
        for connection in connections:
            response = connection.getresponse()
            answers.append(Answer(response, response.read()))
            connection.close()
        return answers

    # Callers took all descriptors, and none was left for an upstream.
    def test_requests_that_were_read_reach_an_upstream(self):
        router = self.fleet.start()
        self.assert_serves(router)
        resource.prlimit(router.process.pid, resource.RLIMIT_NOFILE,
                         (self.DESCRIPTORS, self.DESCRIPTORS))
        for path in 3 * ("/read/x", "/write/x"):
            answers = self.ask_at_once(router, path)
            self.assertEqual({answer.status for answer in answers}, {200})
        router.wait_event("descriptors_short")


class ClosedStreamsTest(StartCase):
    # Log lines went to whatever the router had opened next.
    def test_closed_standard_streams_are_not_used_for_other_files(self):
        router = Process(["sh", "-c", 'exec "$@" <&- >&- 2>&-', "sh",
                          os.path.join(BUILD, "wheattiller"), "router",
                          "--settings", self.write_settings()])
        self.fleet.routers.append(router)
        folder = "/proc/%d/fd/" % router.process.pid
        wait_for(lambda: any(target.startswith("socket:")
                             for target in self.targets(folder)), "listeners")
        self.assertEqual({os.readlink(folder + str(number))
                          for number in range(3)}, {"/dev/null"})

    @staticmethod
    def targets(folder):
        """What the descriptors refer to; some are closed meanwhile."""
        found = []
        for name in os.listdir(folder):
            try:
                found.append(os.readlink(folder + name))
            except FileNotFoundError:
                pass
        return found


class FatalSignalTest(StartCase):
    # The log of a router that a signal ended told nothing of it.
    def test_a_fatal_signal_leaves_a_line(self):
        for number in (signal.SIGABRT, signal.SIGTRAP):
            with self.subTest(number):
                router = self.fleet.start()
                router.signal(number)
                self.assertEqual(router.process.wait(60), -number)
                line, = router.wait_event("router_crashed")
                self.assertEqual(int(line["signal"]), number)


if __name__ == "__main__":
    unittest.main()
