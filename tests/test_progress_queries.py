"""Tests of carobhook.coordination.progress_queries, and of sources that speak without them."""

import math

import test_store_feed
from carobhook.coordination import progress_queries
from carobhook.protocol import feed_messages
from carobhook.state import ids

OWN, OTHER = test_store_feed.OWN, test_store_feed.OTHER
FIRST, SECOND = ids.InstanceId("first"), ids.InstanceId("second")


class TestProgressQueries:
    """When an instance asks, and what counts as an answer."""

    def setup_method(self):
        """Create queries with an interval of one second that count for three."""
        self.queries = progress_queries.ProgressQueries(1.0, 3.0)

    def test_each_instance_is_asked_once_in_an_interval(self):
        """An instance that is new among the sources is asked at once."""
        assert self.queries.due([FIRST], 10.0) == [(FIRST, 1)]
        assert self.queries.due([SECOND, FIRST, FIRST], 10.5) == [(SECOND, 2)]
        assert self.queries.due([FIRST, SECOND], 11.0) == [(FIRST, 3)]

    def test_answer_counts_from_its_query(self):
        """Only the first answer of the instance that was asked counts."""
        self.queries.due([FIRST], 10.0)
        assert self.queries.take_asked_at(SECOND, 1) is None
        assert self.queries.take_asked_at(FIRST, 1) == 10.0
        assert self.queries.take_asked_at(FIRST, 1) is None

    def test_late_answer_confirms_nothing(self):
        """A query is forgotten when its answer could confirm nothing any more."""
        self.queries.due([FIRST], 10.0)
        self.queries.due([], 13.1)
        assert self.queries.take_asked_at(FIRST, 1) is None
        assert self.queries._unanswered == {}

    def test_gap_is_reported_once(self):
        """Answers to queries from before the report name the same changes."""
        assert self.queries.record_gap(FIRST, 10.0, 10.4)
        assert not self.queries.record_gap(FIRST, 10.3, 10.5)
        assert self.queries.record_gap(SECOND, 10.3, 10.5)
        assert self.queries.record_gap(FIRST, 10.6, 10.7)


class TestOlderBuilds(test_store_feed.StartedFeedPair):
    """Subscribers and sources of builds that know no queries."""

    def progress_messages(self):
        """Return the messages of progress that OWN gets in a second."""
        subscriber, messages = self.sync_by_name[OWN], []
        handle = subscriber.handle_message

        def record(sender, message):
            if isinstance(message, feed_messages.FeedProgress):
                messages.append(message)
            handle(sender, message)

        subscriber.handle_message = record
        self.run(1.0)
        return messages

    def test_subscriber_that_asks_gets_answers_only(self):
        """What it did not ask for would count from its arrival."""
        messages = self.progress_messages()
        assert len(messages) >= 2
        assert all(message.answers for message in messages)

    def test_subscriber_that_does_not_ask_gets_progress_unasked(self):
        """The source sends it at its own interval, and a subscriber relies on it."""
        self.sync_by_name[OTHER].handle_message(OWN, feed_messages.FeedRequest())
        self.sync_by_name[OWN]._progress_queries.interval_s = math.inf
        messages = self.progress_messages()
        assert len(messages) >= 2
        assert not any(message.answers for message in messages)
        assert not self.sync_by_name[OWN].is_direct
