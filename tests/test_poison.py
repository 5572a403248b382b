"""Tests of carobhook.coordination.poison."""

from carobhook.coordination import poison

PRINT = poison.fingerprint_of(("10.0.0.1", "shop.example", "GET", "/a/"), b"body")


class TestFingerprint:
    """What makes two requests the same."""

    def test_every_text_and_the_body_count(self):
        """Another client, host, method, path or body is another request."""
        parts = ["10.0.0.1", "shop.example", "GET", "/a/"]
        for place in range(len(parts)):
            other = [*parts[:place], "other", *parts[place + 1 :]]
            assert poison.fingerprint_of(other, b"body") != PRINT
        assert poison.fingerprint_of(parts, b"") != PRINT
        assert poison.fingerprint_of(parts, b"body") == PRINT

    def test_texts_do_not_run_together(self):
        """Where one text ends and the next begins is part of the fingerprint."""
        assert poison.fingerprint_of(("ab", "c"), b"") != poison.fingerprint_of(
            ("a", "bc"), b""
        )


class TestQuarantine:
    """Marks, and what they lead to."""

    def test_enough_marks_refuse_until_they_expire(self):
        """Marks refuse a request; a mark told twice counts once."""
        one = poison.Quarantine("i1")
        first = one.broke(PRINT, "m1", 0.0)
        one.add(first)
        one.broke(PRINT, "m2", 1.0)
        assert not one.refuses(PRINT, 1.0)
        one.broke(PRINT, "m3", 2.0)
        assert one.refuses(PRINT, 2.0)
        assert not one.refuses(PRINT, poison.MARK_LIFETIME_S)

    def test_marks_of_peers_count(self):
        """The servers may have broken at any instance."""
        one, other = poison.Quarantine("i1"), poison.Quarantine("i2")
        for number in range(poison.MARKS_OF_POISON):
            one.add(other.broke(PRINT, f"m{number}", 0.0))
        assert one.refuses(PRINT, 0.0)

    def test_news_of_marks_and_clearings_ends(self):
        """In a ring of instances that pass news on, nothing goes round for ever."""
        ring = [poison.Quarantine(f"i{number}") for number in range(5)]
        mark = ring[0].broke(PRINT, "m1", 0.0)
        # Each item is where a piece of news goes next: a mark, or None for a clearing.
        news = [(1, mark), (4, mark)]
        ring[2].add(mark)
        ring[2].clear(PRINT)
        news += [(1, None), (3, None)]
        passed = 0
        while news and passed < 1000:
            place, held = news.pop(0)
            one = ring[place]
            is_new = one.clear(PRINT) if held is None else one.add(held)
            if is_new:
                passed += 1
                news += [((place + 1) % 5, held), ((place - 1) % 5, held)]
        assert passed < 50

    def test_whole_answer_clears_the_marks(self):
        """A request that a server answered whole does not break servers by itself."""
        one = poison.Quarantine("i1")
        for number in range(poison.MARKS_OF_POISON):
            one.broke(PRINT, f"m{number}", 0.0)
        assert one.clear(PRINT)
        assert one.empty
        assert not one.refuses(PRINT, 0.0)
        assert not one.clear(PRINT)

    def test_number_of_marked_requests_is_bounded(self):
        """The oldest marks give way, so that marks cannot fill the memory."""
        one = poison.Quarantine("i1", marks_of_poison=1)
        for number in range(10_001):
            one.broke(number.to_bytes(16), f"m{number}", 0.0)
        assert not one.refuses((0).to_bytes(16), 0.0)
        assert one.refuses((10_000).to_bytes(16), 0.0)
