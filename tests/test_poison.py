"""Tests of carobhook.coordination.poison."""

from carobhook.coordination import poison

FINGERPRINT = poison.fingerprint_of(("10.0.0.1", "shop.example", "GET", "/a/"), b"body")


class TestFingerprint:
    """Which requests have the same fingerprint."""

    def test_every_part_and_the_body_change_it(self):
        """Another client, host, method, path or body gives another fingerprint."""
        parts = ["10.0.0.1", "shop.example", "GET", "/a/"]
        for index in range(len(parts)):
            other = [*parts[:index], "other", *parts[index + 1 :]]
            assert poison.fingerprint_of(other, b"body") != FINGERPRINT
        assert poison.fingerprint_of(parts, b"") != FINGERPRINT
        assert poison.fingerprint_of(parts, b"body") == FINGERPRINT

    def test_boundaries_between_parts_change_it(self):
        """The same characters split otherwise into parts give another fingerprint."""
        assert poison.fingerprint_of(("ab", "c"), b"") != poison.fingerprint_of(
            ("a", "bc"), b""
        )


class TestQuarantine:
    """Marks, and the requests that they quarantine."""

    def test_three_marks_quarantine_until_they_expire(self):
        """Three marks quarantine a request; a mark that is added twice counts once."""
        quarantine = poison.Quarantine("i1")
        first = quarantine.record_end(FINGERPRINT, "m1", 0.0)
        quarantine.add(first)
        quarantine.record_end(FINGERPRINT, "m2", 1.0)
        assert not quarantine.is_quarantined(FINGERPRINT, 1.0)
        quarantine.record_end(FINGERPRINT, "m3", 2.0)
        assert quarantine.is_quarantined(FINGERPRINT, 2.0)
        assert not quarantine.is_quarantined(FINGERPRINT, poison.MARK_LIFETIME_S)

    def test_marks_of_peers_count(self):
        """Marks of a peer count like those of the instance itself."""
        quarantine, other = poison.Quarantine("i1"), poison.Quarantine("i2")
        for number in range(poison.MARK_LIMIT):
            quarantine.add(other.record_end(FINGERPRINT, f"m{number}", 0.0))
        assert quarantine.is_quarantined(FINGERPRINT, 0.0)

    def test_forwarding_of_marks_and_clearings_ends(self):
        """Messages do not circulate without end in a ring of instances that forward them."""
        ring = [poison.Quarantine(f"i{number}") for number in range(5)]
        mark = ring[0].record_end(FINGERPRINT, "m1", 0.0)
        # Each item is the index of the receiver, and the mark, or None for a clearing.
        pending = [(1, mark), (4, mark)]
        ring[2].add(mark)
        ring[2].clear(FINGERPRINT)
        pending += [(1, None), (3, None)]
        forwarded = 0
        while pending and forwarded < 1000:
            index, mark_or_none = pending.pop(0)
            quarantine = ring[index]
            is_new = (
                quarantine.remove(FINGERPRINT, ("m1",))
                if mark_or_none is None
                else quarantine.add(mark_or_none)
            )
            if is_new:
                forwarded += 1
                pending += [((index + 1) % 5, mark_or_none), ((index - 1) % 5, mark_or_none)]
        assert forwarded < 50

    def test_clearing_removes_the_marks(self):
        """A request that was answered completely is no longer quarantined."""
        quarantine = poison.Quarantine("i1")
        for number in range(poison.MARK_LIMIT):
            quarantine.record_end(FINGERPRINT, f"m{number}", 0.0)
        assert quarantine.clear(FINGERPRINT)
        assert quarantine.is_empty
        assert not quarantine.is_quarantined(FINGERPRINT, 0.0)
        assert not quarantine.clear(FINGERPRINT)

    def test_end_of_a_server_counts_once(self):
        """Two instances that learn of the same end add one mark, not two."""
        first, second = poison.Quarantine("i1"), poison.Quarantine("i2")
        first.record_end(FINGERPRINT, "server/1", 0.0)
        assert not first.add(second.record_end(FINGERPRINT, "server/1", 0.0))
        assert first.record_end(FINGERPRINT, "server/1", 1.0) is None
        assert len(first.marks(1.0)) == 1

    def test_cleared_mark_that_arrives_late_is_not_added(self):
        """A clearing may overtake the mark; other marks of the request stay."""
        quarantine, other = poison.Quarantine("i1"), poison.Quarantine("i2")
        late = other.record_end(FINGERPRINT, "m1", 0.0)
        quarantine.record_end(FINGERPRINT, "m2", 0.0)
        assert quarantine.remove(FINGERPRINT, ("m1",))
        assert not quarantine.remove(FINGERPRINT, ("m1",))
        assert not quarantine.add(late)
        assert [mark.name for mark in quarantine.marks(0.0)] == ["m2"]

    def test_number_of_marked_requests_is_bounded(self):
        """The oldest marked request is dropped, so that marks do not use up memory."""
        quarantine = poison.Quarantine("i1", mark_limit=1)
        for number in range(10_001):
            quarantine.record_end(number.to_bytes(16), f"m{number}", 0.0)
        assert not quarantine.is_quarantined((0).to_bytes(16), 0.0)
        assert quarantine.is_quarantined((10_000).to_bytes(16), 0.0)
