"""Requests and streams that reach a router while it exits."""
import signal
import socket
import time
import unittest
from concurrent.futures import ThreadPoolExecutor

import test_fleet
from cluster import HOST, Cluster

REQUEST = (b"POST /read/x HTTP/1.1\r\nHost: shop.example\r\n"
           b"X-Request-Id: s1\r\nApi-Key: key-a\r\nX-Deadline-Ms: 20000\r\n"
           b"Content-Length: 0\r\n\r\n")
CONNECTIONS = 20


class LastTurnTest(test_fleet.FleetTest):
    """A router that exits on SIGTERM read freed memory for a late request.

    After the grace period, with no request open, the router freed its modules
    and ran one more loop iteration in which closed calls free themselves. The
    listeners and their connections were freed only after this iteration, so
    it could read a request. The sanitizer reported RouteTable_config, called
    for the request, on memory that RelayParts_destroy had freed.
    """

    def test_requests_that_come_as_it_ends_meet_no_freed_parts(self):
        self.fleet.plain("p1")
        router = self.fleet.start()
        connections = [socket.create_connection((HOST, router.port))
                for i in range(CONNECTIONS)]
        for connection in connections:
            self.addCleanup(connection.close)
        time.sleep(0.2)  # the router accepts all connections
        router.signal(signal.SIGTERM)
        time.sleep(0.1)
        router.signal(signal.SIGSTOP)
        time.sleep(1)  # the grace period ends while the router is stopped
        for connection in connections:
            connection.sendall(REQUEST)
        router.signal(signal.SIGCONT)
        router.process.wait(10)
        self.assertEqual(router.process.returncode, 0)
        self.assertEqual(router.faults(), [])


class LastMomentTest(test_fleet.FleetTest):
    """Requests that arrive as a stop ends, while the router stands still."""

    ROUTERS = 8
    FIRST_REQUEST_S = 0.5  # from the close of the listener to the end
    CHECK_S = 0.05  # between two looks whether the stop is over

    def freeze_at_the_end(self, number):
        router = self.fleet.router("r%d" % number)
        connections = [socket.create_connection((HOST, router.port))
                       for _ in range(3)]
        router.signal(signal.SIGTERM)
        router.wait_event("listener_closed")
        time.sleep(self.FIRST_REQUEST_S - self.CHECK_S
                   + 2 * number * self.CHECK_S / self.ROUTERS)
        if router.process.poll() is None:
            router.signal(signal.SIGSTOP)
        time.sleep(0.1)  # what it has logged is read
        if router.events("router_stopped"):
            router.signal(signal.SIGCONT)
            return []
        for connection in connections:
            connection.sendall(REQUEST)
        time.sleep(0.3)
        router.signal(signal.SIGCONT)
        return [self.read(connection) for connection in connections]

    @staticmethod
    def read(connection):
        try:
            return connection.recv(65536)[:12]
        except OSError:
            return b""
        finally:
            connection.close()

    def test_requests_on_idle_connections_are_answered(self):
        self.fleet.plain("p1")
        self.fleet.config()
        with ThreadPoolExecutor(self.ROUTERS) as pool:
            answers = list(pool.map(self.freeze_at_the_end,
                                    range(self.ROUTERS)))
        self.assertEqual({each for one in answers for each in one},
                         {b"HTTP/1.1 503"})


class StopLimitTest(test_fleet.StreamTest):
    """A stream is still open when the stop_limit of its router expires."""

    def test_an_open_stream_meets_no_freed_parts(self):
        self.start_stream("/ask/x", stop_limit="400ms")
        self.router.signal(signal.SIGTERM)
        self.router.process.wait(10)
        self.assertEqual(self.router.faults(), [])
        self.assertEqual(self.router.process.returncode, 0)


class FrozenStop(test_fleet.FleetTest):
    """A router that is frozen as it stops, until its stop is over, so that
    what is due meanwhile is found in its last turn of the event loop."""

    LIMIT_S = 0.5

    def start(self, **settings):
        self.fleet.plain("p1")
        return self.fleet.start(stop_grace="100ms",
                                stop_limit="%dms" % (self.LIMIT_S * 1000),
                                **settings)

    def stop_frozen(self, router, *signals):
        router.signal(signal.SIGTERM)
        router.wait_event("router_stopping")
        router.signal(signal.SIGSTOP)
        time.sleep(2 * self.LIMIT_S)
        for number in signals:
            router.signal(number)
        router.signal(signal.SIGCONT)
        self.assertEqual(router.process.wait(60), 0)
        self.assertEqual(router.faults(), [])
        router.wait_event("router_stopped")


class LastSignalTest(FrozenStop):
    # A reload used listeners that were freed.
    def test_a_reload_as_it_ends_meets_no_freed_listeners(self):
        router = self.start()
        self.stop_frozen(router, signal.SIGHUP)
        self.assertEqual(router.events("settings_reloaded"), [])

    def test_stop_signals_as_it_ends_change_nothing(self):
        router = self.start()
        self.stop_frozen(router, signal.SIGTERM, signal.SIGINT)
        self.assertEqual(len(router.events("router_stopping")), 1)


class LastOperatorsTest(FrozenStop):
    """A router whose address for operators is in use until it ends."""

    # Listening on the address used a list of listeners that was freed.
    def test_an_address_that_is_free_as_it_ends_is_not_used(self):
        busy = socket.socket()
        self.addCleanup(busy.close)
        busy.bind((HOST, 0))
        busy.listen(1)
        address = "%s:%d" % (HOST, busy.getsockname()[1])
        router = self.start()
        router.stop()
        with open(router.path) as file:
            text = file.read()
        with open(router.path, "w") as file:
            file.write(text.replace("operator_listen = %s:0" % HOST,
                                    "operator_listen = " + address))
        router = self.fleet.start_again(router)
        self.assertEqual(router.operator_port, 0)
        busy.close()
        self.stop_frozen(router)
        self.assertEqual(router.events("operators_available"), [])


class UnansweredCancelTest(unittest.TestCase):
    """An engine that answers nothing is told to cancel a stream as its router
    ends."""

    def setUp(self):
        self.cluster = Cluster()
        self.addCleanup(self.cluster.close)
        self.engine = self.cluster.engine("e1", decode_ms=100)

    # The call that cancels it was left behind.
    def test_a_stream_that_is_cut_off_leaves_no_call(self):
        router = self.cluster.start(
            "r1", stop_grace="100ms\nstop_limit = 600ms")
        stream = router.stream({"model": "m", "prompt": "What is open today?",
                                "max_tokens": 500})
        stream.read(2)
        self.engine.signal(signal.SIGSTOP)
        self.addCleanup(self.engine.signal, signal.SIGCONT)
        router.signal(signal.SIGTERM)
        self.assertEqual(router.process.wait(60), 0)
        self.assertEqual(router.faults(), [])


if __name__ == "__main__":
    unittest.main()
