"""Whole and broken streams through real routers."""
import unittest

from cluster import Cluster, places


def question(text="a prompt " * 20, tokens=12, **more):
    return {"model": "m", "prompt": text, "max_tokens": tokens, **more}


class StreamTest(unittest.TestCase):
    def setUp(self):
        self.cluster = Cluster()
        self.addCleanup(self.cluster.close)

    def test_plain_and_streamed_answer_are_the_same_text(self):
        self.cluster.engine("e1")
        router = self.cluster.start()
        plain = router.complete(question())
        self.assertEqual(plain.status, 200)
        stream = router.stream(question()).read()
        self.assertTrue(stream.whole)
        self.assertEqual(places(stream.tokens()), list(range(12)))
        self.assertEqual(plain.json()["choices"][0]["text"],
                         "".join(stream.tokens()))


if __name__ == "__main__":
    unittest.main()
