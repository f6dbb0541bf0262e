"""Local copy of a prefix of the store: lists it once, then watches.

A watch returns each version that the copy has missed, a list only the newest. So the prefix is
listed again after a gap in the history, and wherever that is likely to take less time than a watch.
"""

import asyncio
from collections.abc import Callable, Iterable
from datetime import timedelta

import logbook

from hornbeamramp.clock import Clock
from hornbeamramp.errors import StoreUnavailableError
from hornbeamramp.statestore import Change, Item, StateStore, WatchGapError

__all__ = ["PrefixCache"]

# Longest wait of one watch call. A dead connection is detected after this and the store's call
# time-out, within the two seconds in which a new configuration must be in force.
WATCH_WAIT = timedelta(milliseconds=1000)
RETRY_DELAY = timedelta(milliseconds=150)

_log = logbook.Logger("watch")


class PrefixCache:
    """Keeps a copy of the items under a prefix.

    `on_change`
        Called after each change with the keys that changed. If it fails, the next call has the same
        keys again.
    `batch_delay`
        Time between two watch calls, so that one call returns several changes of a busy prefix.
    `on_current`
        Called after each answered call, once its changes have been reported, with the boot time at
        which the call was sent: the copy holds all that the store had acknowledged by then.
    `watch_wait`
        Longest wait of one watch call.
    """

    def __init__(
        self,
        store: StateStore,
        clock: Clock,
        prefix: str,
        on_change: Callable[[set[str]], None],
        batch_delay: timedelta = timedelta(0),
        on_current: Callable[[timedelta], None] | None = None,
        watch_wait: timedelta = WATCH_WAIT,
    ) -> None:
        self._store = store
        self._clock = clock
        self._prefix = prefix
        self._on_change = on_change
        self._batch_delay = batch_delay
        self._on_current = on_current
        self._watch_wait = watch_wait
        self.item_by_key: dict[str, Item] = {}
        self.is_loaded = False
        self._as_of = 0
        self._unreported: set[str] = set()
        self._is_watch_failing = False
        # Set while a list is expected to be smaller than the answer to the next watch.
        self._is_behind = False
        self._listing = asyncio.Lock()
        # Boot time at which the last list that was applied was sent.
        self._listed_at: timedelta | None = None

    async def run(self) -> None:
        """Lists and watches the prefix until cancelled."""
        while True:
            try:
                if not self.is_loaded or self._is_behind:
                    await self.refresh()
                    self._is_behind = False
                await self._watch()
            except WatchGapError:
                _log.info(
                    "{}: watch history no longer available, listing the prefix again", self._prefix
                )
                self.is_loaded = False
            except StoreUnavailableError as error:
                if self._is_watch_failing:
                    # The same watch would return all that it did not return in time, and more. Not
                    # after the first failure: watches may be cut on all VMs at once.
                    self._is_behind = True
                else:
                    _log.warning("{}: watch failed, retrying: {}", self._prefix, error)
                self._is_watch_failing = True
                await self._clock.sleep(RETRY_DELAY)

    async def refresh(self) -> None:
        """Lists the prefix, for a caller that knows of a newer state. Lists follow one another, and
        all calls that wait meanwhile share the next one.

        Raises `StoreUnavailableError`.
        """
        called_at = self._clock.boot_time()
        async with self._listing:
            if self._listed_at is None or self._listed_at < called_at:
                await self._list()

    async def _list(self) -> None:
        sent_at = self._clock.boot_time()
        items, as_of = await self._store.range(self._prefix)
        self._listed_at = sent_at
        # A watch may have returned newer changes meanwhile, which the older list must not undo.
        if self.is_loaded and as_of < self._as_of:
            self._report_current(sent_at)
            return
        before = self.item_by_key
        self.item_by_key = {item.key: item for item in items}
        self._as_of, self.is_loaded = as_of, True
        self._end_outage()
        keys = before.keys() | self.item_by_key.keys()
        self._report(
            {
                key
                for key in keys
                if _revision(before.get(key)) != _revision(self.item_by_key.get(key))
            }
        )
        self._report_current(sent_at)

    async def _watch(self) -> None:
        sent_at = self._clock.boot_time()
        reply = await self._store.watch(self._prefix, self._as_of, self._watch_wait)
        self._end_outage()
        self._is_behind = _size(change.item for change in reply.changes) > _size(
            self.item_by_key.values()
        )
        changed = {change.key for change in reply.changes if self._apply(change)}
        self._as_of = max(self._as_of, reply.as_of)
        if changed or self._unreported:
            self._report(changed)
        self._report_current(sent_at)
        if self._batch_delay:
            await self._clock.sleep(self._batch_delay)

    def _report(self, changed: set[str]) -> None:
        self._unreported |= changed
        self._on_change(self._unreported)
        self._unreported = set()

    def _report_current(self, sent_at: timedelta) -> None:
        if self._on_current is not None and not self._unreported:
            self._on_current(sent_at)

    def _apply(self, change: Change) -> bool:
        # A list that was read while the watch waited has all changes up to its revision, also the
        # removals, which leave nothing to compare a change with.
        if change.revision <= max(_revision(self.item_by_key.get(change.key)), self._as_of):
            return False
        if change.item is not None:
            self.item_by_key[change.key] = change.item
        else:
            self.item_by_key.pop(change.key, None)
        return True

    def _end_outage(self) -> None:
        if self._is_watch_failing:
            _log.info("{}: watch restored", self._prefix)
            self._is_watch_failing = False


def _size(items: Iterable[Item | None]) -> int:
    """Returns the size of the values of items, in bytes."""
    return sum(len(item.value) for item in items if item is not None)


def _revision(item: Item | None) -> int:
    return 0 if item is None else item.revision
