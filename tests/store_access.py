"""Object store for tests of coordination code, with failures that tests switch on."""

from twisted.internet import defer

from carobhook.coordination import object_watch, objects
from carobhook.standins import memory_store


class StoreAccess:
    """Calls an in-memory engine directly; implements `objects.ObjectStore`.

    Attributes:
        engine: The engine.
        clock: Clock of the test.
        down: Whether every call fails before it reaches the engine.
        lost_answers: Number of next writes that take effect but raise OutcomeUnknownError.
        before_write: Function called before each write.
    """

    def __init__(self, engine, clock):
        self.engine = engine
        self.clock = clock
        self.down = False
        self.lost_answers = 0
        self.before_write = lambda: None
        self._waiting = set()
        self._silenced = set()

    @property
    def era(self):
        """Return the era of the store."""
        return self.engine.era

    def _check_available(self):
        if self.down:
            raise objects.UnavailableError("down")

    def _confirm_write(self, version):
        """Return the version of a write, or raise an error if its answer is to be lost."""
        if self.lost_answers:
            self.lost_answers -= 1
            raise objects.OutcomeUnknownError("no answer")
        return version

    async def get(self, kind, name):
        """Return one object, or None if there is none."""
        self._check_available()
        return self.engine.get(kind, name, self.clock.seconds())

    async def list(self, kind):
        """Return all objects of one kind."""
        self._check_available()
        return self.engine.list(kind, self.clock.seconds())

    async def create(self, kind, name, value):
        """Create an object; return its version."""
        self._check_available()
        self.before_write()
        return self._confirm_write(self.engine.create(kind, name, value, self.clock.seconds()))

    async def update(self, kind, name, value, version, era=None):
        """Replace an object; return its new version."""
        self._check_available()
        if era not in (None, self.engine.era):
            raise objects.ConflictError("read in an era that has ended")
        self.before_write()
        now = self.clock.seconds()
        return self._confirm_write(self.engine.update(kind, name, value, version, now))

    async def delete(self, kind, name, version):
        """Delete an object."""
        self._check_available()
        self.before_write()
        self.engine.delete(kind, name, version, self.clock.seconds())
        self._confirm_write(0)

    async def probe(self, timeout_s):
        """Raise UnavailableError if the store is down."""
        self._check_available()

    def cut_watches(self):
        """Fail all watches that wait for an event."""
        for event_received in list(self._waiting):
            if not event_received.called:
                event_received.errback(objects.UnavailableError("cut"))

    def silence_watches(self):
        """Lose the answers of all watches that wait for an event; other calls get theirs."""
        self._silenced |= self._waiting

    async def watch(self, kinds, since, wait_s, margin_s):
        """Return the events after ``since`` once there are some, or none after ``wait_s``."""
        self._check_available()
        batch = self.engine.events_since(kinds, since)
        if batch.events:
            return batch
        event_received = defer.Deferred()

        def answer():
            if not event_received.called and event_received not in self._silenced:
                event_received.callback(None)

        def fail():
            if not event_received.called:
                event_received.errback(objects.UnavailableError("no answer"))

        unsubscribe = self.engine.subscribe(
            lambda event: answer() if event.kind in kinds else None
        )
        timers = [
            self.clock.callLater(wait_s, answer),
            self.clock.callLater(wait_s + margin_s, fail),
        ]
        self._waiting.add(event_received)
        try:
            await event_received
        finally:
            self._waiting.discard(event_received)
            self._silenced.discard(event_received)
            unsubscribe()
            for timer in timers:
                if timer.active():
                    timer.cancel()
        self._check_available()
        return self.engine.events_since(kinds, since)


def create_access(clock, **limits):
    """Return access to a new engine with the given limits."""
    return StoreAccess(memory_store.MemoryStore(memory_store.Limits(**limits)), clock)


class Marks:
    """Marks of an instance that has none; see `mark_following.Marks`."""

    position = None
    is_current = False

    def handle_update(self, update):
        """Record whether the store answered, and up to which position."""
        self.is_current = not isinstance(update, object_watch.WatchFailure)
        if isinstance(update, (object_watch.Snapshot, object_watch.Changes)):
            self.position = objects.Position(update.era, update.revision)

    def forget(self):
        """Forget the position."""
        self.position = None

    def unfollow(self):
        """Record that they are not watched any more."""
        self.is_current = False
