"""What a router holds in memory: its resident pages, and the bytes that the
kernel holds for its sockets. A machine that enforces its memory counts both."""
import os
import threading
import time

PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")
LISTENING = "0A"  # its queue counts connections
INTERVAL_S = 0.05


def socket_inodes(pid):
    inodes = set()
    folder = "/proc/%d/fd" % pid
    for number in os.listdir(folder):
        try:
            target = os.readlink(os.path.join(folder, number))
        except OSError:  # closed meanwhile
            continue
        if target.startswith("socket:["):
            inodes.add(target[len("socket:["):-1])
    return inodes


def kernel_bytes(pid):
    """Returns the bytes that arrived and were not read, and those that were
    written and not acknowledged, of all TCP sockets of the process."""
    inodes = socket_inodes(pid)
    unread = unsent = 0
    with open("/proc/%d/net/tcp" % pid) as file:
        next(file)  # the heading
        for line in file:
            fields = line.split()
            state, queues, inode = fields[3], fields[4], fields[9]
            if inode in inodes and state != LISTENING:
                sent, received = queues.split(":")
                unsent += int(sent, 16)
                unread += int(received, 16)
    return unread, unsent


def resident_bytes(pid):
    with open("/proc/%d/statm" % pid) as file:
        return int(file.read().split()[1]) * PAGE_BYTES


class Use:
    """Bytes in use at one moment."""

    def __init__(self, pid):
        self.resident = resident_bytes(pid)
        self.unread, self.unsent = kernel_bytes(pid)
        self.total = self.resident + self.unread + self.unsent

    def __str__(self):
        return ("%.1f MB: %.1f resident, %.1f unread, %.1f unsent"
                % tuple(part / 2**20 for part in (
                    self.total, self.resident, self.unread, self.unsent)))


class MemoryWatch(threading.Thread):
    """Samples a process until it ends or stop() is called. With
    `kill_above`, ends the process above so many bytes, as its machine would;
    `is_over` tells so."""

    def __init__(self, process, kill_above=None):
        super().__init__(daemon=True)
        self.process = process
        self.kill_above = kill_above
        self.peak = None
        self.is_over = False
        self.stopped = threading.Event()
        self.start()

    def run(self):
        while not self.stopped.wait(INTERVAL_S):
            try:
                use = Use(self.process.pid)
            except (OSError, IndexError):  # the process has ended
                return
            if self.peak is None or use.total > self.peak.total:
                self.peak = use
            if self.kill_above and use.total > self.kill_above:
                self.is_over = True
                self.process.kill()
                return

    def stop(self):
        """Returns the most that was in use."""
        self.stopped.set()
        self.join()
        return self.peak
