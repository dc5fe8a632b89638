"""Connections that come while a router is held up."""
import errno
import signal
import socket
import unittest

from cluster import HOST, wait_for
from fleet import Fleet

CONNECTIONS = 400
REQUEST = (b"POST /read/x HTTP/1.1\r\nHost: shop.example\r\n"
           b"X-Request-Id: id-%d\r\nApi-Key: key-a\r\n"
           b"X-Deadline-Ms: 60000\r\nContent-Length: 0\r\n\r\n")


class BacklogTest(unittest.TestCase):
    def setUp(self):
        self.fleet = Fleet()
        self.addCleanup(self.fleet.close)
        self.fleet.plain("p1")
        self.router = self.fleet.start()
        self.router.signal(signal.SIGSTOP)
        self.addCleanup(self.router.signal, signal.SIGCONT)

    def connect(self, port):
        connection = socket.socket()
        self.addCleanup(connection.close)
        connection.setblocking(False)
        self.assertIn(connection.connect_ex((HOST, port)),
                      (0, errno.EINPROGRESS))
        return connection

    @staticmethod
    def is_made(connection):
        try:
            connection.getpeername()
        except OSError:
            return False
        return True

    def connect_all(self, port):
        connections = [self.connect(port) for _ in range(CONNECTIONS)]
        made = [c for c in connections if self.is_made(c)]
        self.assertEqual(len(made), CONNECTIONS)
        return connections

    # All beyond the 129th waited for the kernel to try again.
    def test_connections_of_callers_are_made_at_once(self):
        connections = self.connect_all(self.router.port)
        for number, connection in enumerate(connections):
            connection.send(REQUEST % number)
        self.router.signal(signal.SIGCONT)
        for connection in connections:
            connection.setblocking(True)
            connection.settimeout(60)
            self.assertEqual(connection.recv(9), b"HTTP/1.1 ")

    def test_connections_of_routers_are_made_at_once(self):
        self.connect_all(int(self.router.peer_address.rpartition(":")[2]))
        self.router.signal(signal.SIGCONT)
        wait_for(lambda: self.fleet.is_ready(self.router), "an answer")

    def test_connections_of_operators_are_made_at_once(self):
        self.connect_all(self.router.operator_port)


if __name__ == "__main__":
    unittest.main()
