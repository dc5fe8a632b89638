"""Odd records in the store, as other writers may leave them: routers go on,
follow the topics, and serve with all that is valid."""
import json
import random
import unittest

from cluster import wait_for
from fleet import Fleet

SEED = 1
MUTATED = 60
ENTRY = {"service": "other", "zone": "hall-a", "version": "v1", "slots": 64,
         "state": "ready", "cold_left_ms": 0, "call_seq": 0,
         "born": 1777568853587, "address": "127.0.0.1:9"}
NUMBERS = ["1e400", "-1e400", "1e308", "-1", "1e18", "-1e18", "0", "0.5",
           "9223372036854775807", "9223372036854775808",
           "99999999999999999999999", "1" * 400, "NaN", "Infinity", "-0.0"]
ADDRESSES = ["127.0.0.1:0", "127.0.0.1:65536", "127.0.0.1:99999999999",
             "127.0.0.1:80:80", "[::1]:80", "::1", "localhost:80",
             "no.such.host.example:80", "127.0.0.1", ":80", "", ":",
             "127.0.0.1:-1", "127.0.0.1: 80", "127.0.0.1:80 ", "0.0.0.0:0",
             "256.1.1.1:80", "127.0.0.1\u0000:80", "1" * 5000 + ":80"]
OTHER = [None, True, [], {}, "", "x", 7, [[1]], "\u0000", "a\nb", "\ud83d\ude00"]


def deep(depth, opening, closing, whole=True):
    return opening * depth + b"1" + (closing * depth if whole else b"")


def deep_values():
    for depth in (100, 1000, 2040, 100000):
        for whole in (True, False):
            yield deep(depth, b"[", b"]", whole)
            yield deep(depth, b'{"a":', b"}", whole)
    yield b'{"service":' + deep(2000, b"[", b"]") + b"}"


def with_raw(entry, field, text):
    """Returns the entry with a field of any text, valid JSON or not."""
    rest = {k: v for k, v in entry.items() if k != field}
    return (json.dumps(rest)[:-1] + ', "%s": %s}' % (field, text)).encode()


def raw_values():
    yield from (b"\0", b"\xff\xfe", b"{", b"{}", b"[]", b"null", b"\"x\"",
                b"\xef\xbb\xbf{}", b"{\"a\":1,\"a\":2}", b" " * 70000,
                b"\0" * 300000, b"{}" * 5, b"\"" + b"a" * 200000 + b"\"")


def odd_entries(rng):
    """Returns odd values of entries of the list of upstreams."""
    values = [*deep_values(), *raw_values()]
    for field in ENTRY:
        values += [with_raw(ENTRY, field, text) for text in NUMBERS]
        values += [json.dumps(dict(ENTRY, **{field: other})).encode()
                   for other in OTHER]
        values.append(json.dumps(
            {k: v for k, v in ENTRY.items() if k != field}).encode())
    values += [json.dumps(dict(ENTRY, address=text)).encode()
               for text in ADDRESSES]
    values += [json.dumps(dict(ENTRY, state="", pad="x" * size)).encode()
               for size in (16384, 65536, 300000)]
    values += [with_raw(ENTRY, "models", text) for text in
               ["[%s]" % number for number in NUMBERS] +
               ['[{"name":"m","version":%s}]' % n for n in NUMBERS]]
    values += [mutate(rng, json.dumps(ENTRY).encode())
               for _ in range(MUTATED)]
    return values


def mutate(rng, value):
    out = bytearray(value)
    for _ in range(rng.randint(1, 8)):
        at = rng.randrange(len(out))
        kind = rng.randrange(3)
        if kind == 0:
            out[at] = rng.randrange(256)
        elif kind == 1:
            del out[at:at + rng.randint(1, 9)]
        else:
            out[at:at] = rng.randbytes(rng.randint(1, 5))
        out = out or bytearray(b"x")
    return bytes(out)


def field(number, wire_type, content):
    return bytes([number << 3 | wire_type]) + content


def varint(value):
    out = b""
    while value > 127:
        out += bytes([value & 127 | 128])
        value >>= 7
    return out + bytes([value])


def odd_messages(rng):
    """Returns odd values of records in the routers' own encoding."""
    huge = varint(2 ** 64 - 1)
    values = [*raw_values()]
    for number in range(1, 8):
        values += [field(number, 0, huge), field(number, 1, b"\xff" * 8),
                   field(number, 2, b"\0"), field(number, 2, varint(5) + b"x"),
                   field(number, 2, varint(2 ** 31)),
                   field(number, 2, varint(2 ** 32)), field(number, 2, huge),
                   field(number, 2, varint(4) + b"\xff\0\n\x80"),
                   field(number, 5, b"\x80\0\0\x80"),
                   field(number, 3, b""), field(number, 7, b""),
                   field(number, 0, varint(1)) * 2000,
                   field(number, 2, varint(3) + b"abc") * 2000]
        nested = b""
        for _ in range(300):
            nested = field(number, 2, varint(len(nested)) + nested)
        values.append(nested)
        values.append(field(number, 2, varint(len(nested)) + nested) +
                      field(number, 0, huge))
    values += [rng.randbytes(rng.randint(1, 60)) for _ in range(MUTATED)]
    return values


ODD_KEYS = [b"", b"a" * 255, b"a\nb=c", b"\"", "\u00e9".encode(), b"\xff\xfe",
            b"a\0b", b"\0", b"%41&after=x", b"/", b"\xed\xb0\x80"]
ODD_STATUSES = [412, 500, 404, 412]


class OddRecordsTest(unittest.TestCase):
    def setUp(self):
        self.fleet = Fleet()
        self.addCleanup(self.fleet.close)
        self.rng = random.Random(SEED)
        self.plain = self.fleet.plain("p1")
        self.engine = self.fleet.engine("e1")

    def put(self, topic, key, value):
        self.fleet.store.append(topic, bytes([len(key)]) + key + value)

    def fill(self, topic, values, prefix=""):
        for number, value in enumerate(values):
            self.put(topic, ("%sodd%d" % (prefix, number)).encode(), value)
        for key in ODD_KEYS:
            self.put(topic, key, values[0])

    def serves(self, router, count=10):
        for _ in range(count):
            self.assertEqual(self.fleet.ask(router, "/read/x").status, 200)
            self.assertEqual(self.fleet.ask(router, "/ask/x").status, 200)

    def follows(self, *routers):
        """Checks that a valid entry that comes now is used at once."""
        name = "p%d" % len(self.fleet.parts)
        late = self.fleet.plain(name)
        for router in routers:
            wait_for(lambda: [line for line in router.events("upstream_listed")
                              if line["upstream"] == name] or
                     router.process.poll() is not None, "listed", 15)
            self.assertIsNone(router.process.poll(), router.lines[-20:])
        late.unlist()
        for router in routers:
            wait_for(lambda: [line for line in router.events("upstream_gone")
                              if line["upstream"] == name], "gone", 15)

    def both(self, fill):
        """Runs with the records beside running routers and ones that start."""
        first = self.fleet.start(name="r1")
        second = self.fleet.start(name="r2",
                                  peers={"seeds": first.peer_address})
        fill()
        self.follows(first, second)
        self.serves(first)
        self.serves(second)
        third = self.fleet.start(name="r3",
                                 peers={"seeds": first.peer_address})
        self.follows(first, second, third)
        self.serves(third)
        alone = self.fleet.start(name="r4")
        self.follows(alone)
        self.serves(alone)
        return [first, second, third, alone]

    def assert_named_once(self, router, count):
        """Checks that the log names each odd entry once, with a reason."""
        odd = router.events("listing_entry_unreadable")
        names = [line["upstream"] for line in odd] + [
            line["upstream"] for line in router.events("upstream_listed")
            if "odd" in line["upstream"]]
        self.assertEqual(len(names), len(set(names)))
        self.assertEqual(len([name for name in names if "odd" in name]), count)
        self.assertTrue(all(line["reason"] for line in odd))

    def test_entries_of_the_list(self):
        values = odd_entries(self.rng)
        for router in self.both(lambda: self.fill("keyed.servers", values)):
            self.assert_named_once(router, len(values))

    def test_a_start_in_the_far_future_keeps_out_no_later_one(self):
        """An upstream stayed at the address of an odd entry for good: its own
        entries seemed to be from an earlier start."""
        router = self.fleet.start()
        count = 0
        for born in ("9223372036854775807", "1000000000000000000",
                     "8796093022209"):
            odd = dict(ENTRY, service="plain", address="127.0.0.1:9")
            self.put("keyed.servers", b"p1", with_raw(odd, "born", born))
            wait_for(lambda: self.fleet.ask(router, "/read/x").status != 200,
                     "read", 15)
            self.plain.list()
            wait_for(lambda: self.fleet.ask(router, "/read/x").status == 200,
                     "used again", 15)
            count += 1
            self.assertEqual(
                len(router.events("listing_entry_unreadable")), count)

    def test_records_of_the_operator(self):
        values = odd_entries(self.rng)
        self.both(lambda: (self.fill("keyed.op", values),
                           self.fill("keyed.op", values, "version/")))

    def test_records_of_the_routers(self):
        topics = ("keyed.crashes", "keyed.software", "keyed.routers",
                  "keyed.status")
        values = odd_messages(self.rng)
        self.both(lambda: [self.fill(topic, values) for topic in topics])

    def test_deep_values_take_little_of_the_stack(self):
        """Routers whose stack is small ended on entries nested some thousand
        levels deep."""
        limited = ("sh", "-c", 'ulimit -s 256; exec "$0" "$@"')
        router = self.fleet.start(prefix=limited)
        values = [with_raw(ENTRY, "x", value.decode())
                  for value in deep_values()]
        for number, value in enumerate(values):
            self.put("keyed.servers", b"odd%d" % number, value)
            self.put("keyed.op", b"version/odd%d" % number, value)
        self.follows(router)
        self.serves(router)
        second = self.fleet.start(name="r2", prefix=limited)
        self.follows(router, second)
        self.serves(second)

    def test_an_odd_answer_to_an_order_ends_no_orders(self):
        """A router without others sent no more orders, to any engine, after
        one engine had answered that its number was too low."""
        answered = []
        order = self.engine.order

        def answer_oddly_first(call, body):
            answered.append(body)
            if len(answered) > len(ODD_STATUSES):
                order(call, body)
            else:
                call.reply(ODD_STATUSES[len(answered) - 1], b"[[[")
        self.engine.order = answer_oddly_first
        self.fleet.start()
        self.fleet.store.put("keyed.op", "version/m",
                             {"model": "m", "version": 2})
        wait_for(lambda: self.engine.version == 2, "loaded", 30)
        self.assertEqual(len(answered), len(ODD_STATUSES) + 1)

    def test_keys_that_are_no_text(self):
        """A key with NUL, or half a surrogate, made the whole list unreadable
        for routers that started, and took the place of the key before the
        NUL."""
        self.fleet.store.key_errors = "surrogateescape"
        valid = json.dumps(dict(ENTRY, service="plain",
                                address="127.0.0.1:9")).encode()

        def fill():
            for key in ODD_KEYS + [b"p1\0", b"p1\r\nX-A: b", b"p1\0b"]:
                self.put("keyed.servers", key, valid.replace(b"plain", b"x"))
                self.put("keyed.op", key, valid)
            self.put("keyed.servers", b"p1\0", valid)
            self.put("keyed.servers", b"p1\0", b"")
        first, second, _, alone = self.both(fill)
        # One of the two reads the store, and tells the other what is valid.
        names = [max(self.invalid_keys(first), self.invalid_keys(second),
                     key=len), self.invalid_keys(alone)]
        for keys in names:
            self.assertGreaterEqual(len(keys), 5)
            self.assertLessEqual(len(keys), len(ODD_KEYS) + 3)

    @staticmethod
    def invalid_keys(router):
        return [line["key"] for line in router.events("record_key_invalid")
                if line["topic"] == "keyed.servers"]


if __name__ == "__main__":
    unittest.main()
