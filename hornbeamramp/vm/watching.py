"""Follows a prefix of the store: reads it once, then watches, and reads again after a gap."""

from collections.abc import Callable
from datetime import timedelta

import logbook

from hornbeamramp.clock import Clock
from hornbeamramp.errors import StoreUnavailableError
from hornbeamramp.statestore import Change, Item, StateStore, WatchGapError

__all__ = ["PrefixFollower"]

# Longest wait of one watch call. A connection that has gone silent is noticed after this and the
# store's call time-out, within the two seconds in which a configuration must be in force.
WATCH_WAIT = timedelta(milliseconds=1000)
RETRY_PAUSE = timedelta(milliseconds=150)

_log = logbook.Logger("watch")


class PrefixFollower:
    """Keeps the items under a prefix.

    `on_change`
        Called after each change with the keys that changed.
    `pause`
        Time between two watch calls, to gather the changes of a busy prefix in fewer calls.
    """

    def __init__(
        self,
        store: StateStore,
        clock: Clock,
        prefix: str,
        on_change: Callable[[set[str]], None],
        pause: timedelta = timedelta(0),
    ) -> None:
        self._store = store
        self._clock = clock
        self._prefix = prefix
        self._on_change = on_change
        self._pause = pause
        self.item_by_key: dict[str, Item] = {}
        self.is_loaded = False
        self._as_of = 0
        self._is_failing = False

    async def run(self) -> None:
        """Follows until cancelled."""
        while True:
            try:
                if not self.is_loaded:
                    await self._load()
                await self._watch()
            except WatchGapError:
                _log.info("{}: the history is gone; reading again", self._prefix)
                self.is_loaded = False
            except StoreUnavailableError as error:
                if not self._is_failing:
                    _log.warning("{}: the watch fails: {}", self._prefix, error)
                self._is_failing = True
                await self._clock.sleep(RETRY_PAUSE)

    async def refresh(self) -> None:
        """Reads the prefix now, for a caller that has heard of a newer state."""
        await self._load()

    async def _load(self) -> None:
        items, as_of = await self._store.range(self._prefix)
        # A watch may have got further meanwhile; the older read must not undo that.
        if self.is_loaded and as_of < self._as_of:
            return
        before = self.item_by_key
        self.item_by_key = {item.key: item for item in items}
        self._as_of, self.is_loaded = as_of, True
        self._note_success()
        keys = before.keys() | self.item_by_key.keys()
        self._on_change(
            {
                key
                for key in keys
                if _revision(before.get(key)) != _revision(self.item_by_key.get(key))
            }
        )

    async def _watch(self) -> None:
        reply = await self._store.watch(self._prefix, self._as_of, WATCH_WAIT)
        self._note_success()
        changed = {change.key for change in reply.changes if self._apply(change)}
        self._as_of = max(self._as_of, reply.as_of)
        if changed:
            self._on_change(changed)
        if self._pause:
            await self._clock.sleep(self._pause)

    def _apply(self, change: Change) -> bool:
        current = self.item_by_key.get(change.key)
        if change.revision <= _revision(current):
            return False
        if change.item is not None:
            self.item_by_key[change.key] = change.item
        else:
            self.item_by_key.pop(change.key, None)
        return True

    def _note_success(self) -> None:
        if self._is_failing:
            _log.info("{}: the watch works again", self._prefix)
            self._is_failing = False


def _revision(item: Item | None) -> int:
    return 0 if item is None else item.revision
