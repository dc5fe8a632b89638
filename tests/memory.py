"""What routers hold in memory: their resident pages, and the bytes that the
kernel holds for their sockets. A machine that enforces its memory counts
both."""
import collections
import mmap
import os
import select
import signal
import struct
import subprocess
import sys
import time

PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")
UNITS = {"B": 1, "KiB": 1 << 10, "MiB": 1 << 20, "GiB": 1 << 30}
LISTENING = "0A"  # its queue counts connections
ESTABLISHED = "01"
# While a connection is made, its counters are set one after the other, and
# their differences may be any number; it holds no bytes.
CONNECTING = "02"
NO_INODE = "0"  # of a connection that was not accepted, or has ended
NO_QUEUES = b" 00000000:00000000 "
INTERVAL_S = 0.005
# Reading the queues takes this part of the time at most, if nothing is near a
# limit: a machine may have tens of thousands of sockets.
QUEUES_SHARE = 0.5
# What the watching process writes for each watched one: whether it used too
# much, and the most that it used.
SLOT = struct.Struct("=4q")
SLOTS_MAX = 1 << 14


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
        self.begun_s = time.monotonic()
        with open("/proc/self/net/tcp", "rb") as file:
            lines = file.read().splitlines()[1:]  # without the heading
        for line in lines:
            if NO_QUEUES not in line or b" 0A 0" in line:
                self.add(*line.decode().split()[1:10])
        self.read_s = time.monotonic() - self.begun_s

    def is_due(self):
        """Returns whether they may be read again."""
        age_s = time.monotonic() - self.begun_s
        return age_s * QUEUES_SHARE >= self.read_s

    def add(self, local, _, state, queue, *more):
        unsent, unread = (int(part, 16) for part in queue.split(":"))
        inode = more[-1]
        if state == CONNECTING:
            return
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

    def __init__(self, resident, unread, unsent):
        self.resident = resident
        self.unread = unread
        self.unsent = unsent
        self.total = resident + unread + unsent

    @classmethod
    def of(cls, pid, queues):
        resident = resident_bytes(pid)
        held = [queues.of(inode) for inode in socket_inodes(pid)]
        return cls(resident, sum(unread for unread, _ in held),
                   sum(unsent for _, unsent in held))

    def __str__(self):
        return ("%.1f MB: %.1f resident, %.1f unread, %.1f unsent"
                % tuple(part / 2**20 for part in (
                    self.total, self.resident, self.unread, self.unsent)))


class Watched:
    """A process, the most that it used, and whether that was too much."""

    def __init__(self, process, limit, memory, number):
        self.process = process
        self.limit = limit
        self.memory = memory
        self.offset = number * SLOT.size

    def read(self):
        return SLOT.unpack_from(self.memory, self.offset)

    @property
    def is_over(self):
        return bool(self.read()[0])

    @property
    def peak(self):
        use = Use(*self.read()[1:])
        return use if use.total > 0 else None


class MemoryWatch:
    """Samples processes until stop() is called. With `kills`, ends those that
    use too much, as their machine would. A process of its own does so, which
    the threads of a test don't delay."""

    def __init__(self, kills=False):
        self.is_killing = kills
        self.watched = []
        self.watcher = None
        self.file = os.memfd_create("memory-watch")
        os.ftruncate(self.file, SLOTS_MAX * SLOT.size)
        self.memory = mmap.mmap(self.file, SLOTS_MAX * SLOT.size)

    @property
    def kills(self):
        return self.is_killing

    @kills.setter
    def kills(self, kills):
        self.is_killing = kills
        if self.watcher:
            self.command("kills %d" % kills)

    def begin(self):
        if self.file is None:
            raise RuntimeError("the watch has ended")
        self.watcher = subprocess.Popen(
            [sys.executable, os.path.abspath(__file__), str(self.file)],
            stdin=subprocess.PIPE, stdout=subprocess.PIPE,
            pass_fds=(self.file,), bufsize=0)
        self.command("kills %d" % self.is_killing)

    def command(self, text):
        self.watcher.stdin.write(text.encode() + b"\n")
        if not self.watcher.stdout.read(1):
            raise RuntimeError("nothing watches the memory any more")

    def add(self, process, limit):
        """Watches a process that may use `limit` bytes."""
        if not self.watcher:
            self.begin()
        watched = Watched(process, limit, self.memory, len(self.watched))
        self.watched.append(watched)
        self.command("add %d %d" % (process.pid, limit))
        return watched

    def stop(self):
        """Ends the watch; its figures stay."""
        if self.file is not None:
            os.close(self.file)
            self.file = None
        watcher, self.watcher = self.watcher, None
        if not watcher:
            return
        watcher.stdin.close()
        watcher.stdout.close()
        if watcher.wait() != 0:
            raise RuntimeError("nothing watched the memory to the end")

    def most(self):
        """Returns the most that one of the processes used, or None."""
        peaks = [each.peak for each in self.watched if each.peak]
        return max(peaks, key=lambda use: use.total, default=None)

    def excesses(self):
        """Returns a line for each process that used too much."""
        return ["%s; limit %.0f MB" % (each.peak, each.limit / 2**20)
                for each in self.watched if each.is_over]


class Sampled:
    """What the watching process knows of a watched one."""

    def __init__(self, pid, limit, offset):
        self.pid = pid
        self.limit = limit
        self.offset = offset
        self.most = 0
        try:
            self.handle = os.pidfd_open(pid)
        except ProcessLookupError:
            self.handle = None

    def has_ended(self):
        return (self.handle is None
                or bool(select.select([self.handle], [], [], 0)[0]))

    def end(self):
        try:
            signal.pidfd_send_signal(self.handle, signal.SIGKILL)
        except ProcessLookupError:
            pass


class Watcher:
    """The watching process: takes commands from its standard input, answers
    each with a byte, and ends with the input."""

    def __init__(self, file):
        self.memory = mmap.mmap(file, SLOTS_MAX * SLOT.size)
        self.kills = False
        self.count = 0
        self.running = []
        self.queues = Queues()

    def obey(self, name, *numbers):
        if name == "kills":
            self.kills = bool(int(numbers[0]))
            return
        pid, limit = (int(number) for number in numbers)
        self.running.append(Sampled(pid, limit, self.count * SLOT.size))
        self.count += 1

    def note(self, sampled, use):
        """Returns whether the process is to be watched further."""
        is_over = max(use.total, sampled.most) > sampled.limit
        if use.total > sampled.most:
            sampled.most = use.total
            SLOT.pack_into(self.memory, sampled.offset, is_over, use.resident,
                           use.unread, use.unsent)
        if use.total > sampled.limit and self.kills:
            sampled.end()
            return False
        return True

    def look(self, sampled):
        """As note(). What the queues held a while ago may have been read
        since: it proves no peak."""
        try:
            use = Use.of(sampled.pid, self.queues)
            if use.total > min(sampled.most, sampled.limit):
                self.queues = Queues()
                use = Use.of(sampled.pid, self.queues)
        except (OSError, IndexError):
            return False
        return not sampled.has_ended() and self.note(sampled, use)

    def look_at_all(self):
        if self.queues.is_due():
            self.queues = Queues()
        self.running = [each for each in self.running if self.look(each)]

    def run(self):
        poll = select.poll()
        poll.register(0, select.POLLIN)
        while True:
            if poll.poll(INTERVAL_S * 1000):
                line = sys.stdin.buffer.readline()
                if not line:
                    return
                self.obey(*line.decode().split())
                os.write(1, b".")
            self.look_at_all()


if __name__ == "__main__":
    Watcher(int(sys.argv[1])).run()
