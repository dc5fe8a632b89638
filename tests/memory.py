"""What routers hold in memory: their resident pages, and the bytes that the
kernel holds for their sockets. A machine that enforces its memory counts
both."""
import collections
import os
import threading

PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")
UNITS = {"B": 1, "KiB": 1 << 10, "MiB": 1 << 20, "GiB": 1 << 30}
LISTENING = "0A"  # its queue counts connections
ESTABLISHED = "01"
NO_INODE = "0"  # of a connection that was not accepted, or has ended
INTERVAL_S = 0.05


def parse_size(text):
    """Returns the bytes of a size as settings write it."""
    number = text.rstrip("BKMGi")
    return int(number) * UNITS[text[len(number):]]


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


class Queues:
    """What the kernel holds for the TCP sockets of the machine: (bytes that
    arrived and were not read, bytes that were written and not acknowledged)."""

    def __init__(self):
        self.by_inode = {}
        self.unaccepted = collections.defaultdict(int)  # unread, by address
        self.listening = {}  # address by inode
        with open("/proc/self/net/tcp") as file:
            next(file)  # the heading
            for line in file:
                self.add(*line.split()[1:10])

    def add(self, local, _, state, queue, *more):
        unsent, unread = (int(part, 16) for part in queue.split(":"))
        inode = more[-1]
        if state == LISTENING:
            self.listening[inode] = local
        elif inode != NO_INODE:
            self.by_inode[inode] = (unread, unsent)
        elif state == ESTABLISHED:
            self.unaccepted[local] += unread

    def of(self, inode):
        if inode in self.listening:
            return self.unaccepted[self.listening[inode]], 0
        return self.by_inode.get(inode, (0, 0))


def resident_bytes(pid):
    with open("/proc/%d/statm" % pid) as file:
        return int(file.read().split()[1]) * PAGE_BYTES


class Use:
    """Bytes in use by a process at one moment."""

    def __init__(self, pid, queues):
        self.resident = resident_bytes(pid)
        held = [queues.of(inode) for inode in socket_inodes(pid)]
        self.unread = sum(unread for unread, _ in held)
        self.unsent = sum(unsent for _, unsent in held)
        self.total = self.resident + self.unread + self.unsent

    def __str__(self):
        return ("%.1f MB: %.1f resident, %.1f unread, %.1f unsent"
                % tuple(part / 2**20 for part in (
                    self.total, self.resident, self.unread, self.unsent)))


class Watched:
    """A process, the most that it used, and whether that was too much."""

    def __init__(self, process, limit):
        self.process = process
        self.limit = limit
        self.peak = None
        self.is_over = False

    def look(self, queues, kills):
        """Returns whether the process is to be watched further."""
        try:
            use = Use(self.process.pid, queues)
        except (OSError, IndexError):
            return False
        if self.peak is None or use.total > self.peak.total:
            self.peak = use
        if use.total > self.limit:
            self.is_over = True
            if kills:
                self.process.kill()
                return False
        return True


class MemoryWatch(threading.Thread):
    """Samples processes until stop() is called. With `kills`, ends those that
    use too much, as their machine would."""

    def __init__(self, kills=False):
        super().__init__(daemon=True)
        self.kills = kills
        self.lock = threading.Lock()
        self.running = []
        self.watched = []
        self.stopped = threading.Event()

    def add(self, process, limit):
        """Watches a process that may use `limit` bytes."""
        watched = Watched(process, limit)
        with self.lock:
            self.watched.append(watched)
            self.running.append(watched)
            if not self.is_alive():
                self.start()
        return watched

    def run(self):
        while not self.stopped.wait(INTERVAL_S):
            queues = Queues()
            with self.lock:
                running = list(self.running)
            ended = [each for each in running if not each.look(queues, self.kills)]
            with self.lock:
                self.running = [each for each in self.running
                                if each not in ended]

    def stop(self):
        self.stopped.set()
        if self.is_alive():
            self.join()

    def most(self):
        """Returns the most that one of the processes used, or None."""
        peaks = [each.peak for each in self.watched if each.peak]
        return max(peaks, key=lambda use: use.total, default=None)

    def excesses(self):
        """Returns a line for each process that used too much."""
        return ["%s; limit %.0f MB" % (each.peak, each.limit / 2**20)
                for each in self.watched if each.is_over]
