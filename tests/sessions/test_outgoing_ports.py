"""Local ports of the connections that a router opens."""
import ctypes
import os
import socket
import stat
import threading
import unittest

from cluster import wait_for
from fleet import Fleet

CALL_S = 5  # that an upstream takes for a call
PIDFD_GETFD = 438  # system call


def is_connected(copy):
    try:
        copy.getpeername()
        return True
    except OSError:
        return False


def copy_sockets(process):
    """Yields duplicates of the connected TCP sockets of a process."""
    call = ctypes.CDLL(None, use_errno=True).syscall
    handle = os.pidfd_open(process.pid)
    for name in os.listdir("/proc/%d/fd" % process.pid):
        fd = call(PIDFD_GETFD, handle, int(name), 0)
        if fd < 0:
            continue  # closed meanwhile
        if not stat.S_ISSOCK(os.fstat(fd).st_mode):
            os.close(fd)
            continue
        with socket.socket(fileno=fd) as copy:
            if copy.type == socket.SOCK_STREAM and is_connected(copy):
                yield copy
    os.close(handle)


class ListenTest(unittest.TestCase):
    # A router could not start while another's connection to an upstream, to
    # the store or to a router had the port that it listens on.
    def test_connections_leave_their_local_ports_to_listeners(self):
        fleet = Fleet()
        self.addCleanup(fleet.close)
        plain, engine = fleet.plain("p1"), fleet.engine("e1")
        servers = {plain.address, engine.address, fleet.store.address}
        routers = [fleet.start(name="r1")]
        routers.append(fleet.start(
            name="r2", peers={"seeds": routers[0].peer_address}))
        peers = {router.peer_address for router in routers}
        plain.pause_s = CALL_S
        call = threading.Thread(target=fleet.ask, args=(routers[0], "/write/x"))
        call.start()
        self.addCleanup(call.join)
        self.assertEqual(fleet.ask(routers[0], "/ask/x").status, 200)
        seen, exclusive = set(), set()

        def look():
            for router in routers:
                for copy in copy_sockets(router.process):
                    peer = "%s:%d" % copy.getpeername()
                    seen.add(peer)
                    if not copy.getsockopt(socket.SOL_SOCKET,
                                           socket.SO_REUSEADDR):
                        exclusive.add(peer)
            return seen >= servers and seen & peers
        wait_for(look, "a connection to each", CALL_S)
        self.assertEqual(exclusive, set())


if __name__ == "__main__":
    unittest.main()
