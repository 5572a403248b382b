"""The store's engine as coordination code sees it, with faults that tests set."""

from twisted.internet import defer

from carobhook.coordination import objects
from carobhook.standins import memory_store


class StoreAccess:
    """Calls to an engine at once, on a clock; implements `objects.ObjectStore`."""

    def __init__(self, engine, clock):
        self.engine = engine
        self.clock = clock
        self.down = False
        self.lost_answers = 0
        self.before_write = lambda: None

    def _check(self):
        if self.down:
            raise objects.UnavailableError("down")

    def _written(self, version):
        if self.lost_answers:
            self.lost_answers -= 1
            raise objects.OutcomeUnknownError("no answer")
        return version

    async def get(self, kind, name):
        """Return one object, or None."""
        self._check()
        return self.engine.get(kind, name, self.clock.seconds())

    async def list(self, kind):
        """Return all objects of a kind."""
        self._check()
        return self.engine.list(kind, self.clock.seconds())

    async def create(self, kind, name, value):
        """Create an object."""
        self._check()
        self.before_write()
        return self._written(self.engine.create(kind, name, value, self.clock.seconds()))

    async def update(self, kind, name, value, version):
        """Replace an object."""
        self._check()
        self.before_write()
        now = self.clock.seconds()
        return self._written(self.engine.update(kind, name, value, version, now))

    async def probe(self, timeout_s):
        """Find out whether the store answers."""
        self._check()

    async def watch(self, kinds, since, wait_s):
        """Return events, as soon as there are some or the wait is over."""
        self._check()
        batch = self.engine.events_since(kinds, since)
        if batch.events:
            return batch
        changed = defer.Deferred()
        forget = self.engine.listen(
            lambda event: changed.called or changed.callback(None) if event.kind in kinds else 0
        )
        timer = self.clock.callLater(wait_s, lambda: changed.called or changed.callback(None))
        try:
            await changed
        finally:
            forget()
            if timer.active():
                timer.cancel()
        self._check()
        return self.engine.events_since(kinds, since)


def made(clock, **limits):
    """Return access to a new engine."""
    return StoreAccess(memory_store.MemoryStore(memory_store.Limits(**limits)), clock)
