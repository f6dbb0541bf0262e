"""Head and snapshots of the tables in the store, the chain of changes, and the merge of forks."""

import hashlib
from collections.abc import Iterable

import msgspec
from result import Err

from hornbeamramp.ids import ChangeId, Revision
from hornbeamramp.tables import Change, Tables, check_references

__all__ = [
    "ConfigHead",
    "ConfigSnapshot",
    "ConfigState",
    "MergeResult",
    "RECENT_MAX_BYTES",
    "SnapshotRef",
    "chain_digest",
    "merge",
    "next_change",
]

# Bound on the encoded changes in the head; a snapshot replaces the older ones.
RECENT_MAX_BYTES = 48 * 1024

_encode = msgspec.msgpack.Encoder().encode


class SnapshotRef(msgspec.Struct, frozen=True):
    """Reference to a snapshot. The digest distinguishes snapshots of forked chains."""

    revision: Revision
    digest: str

    def key(self) -> str:
        return f"config/snapshot/{self.revision}/{self.digest}"


class ConfigSnapshot(msgspec.Struct, frozen=True):
    """Whole tables at the snapshot's revision, as stored."""

    tables: Tables


class ConfigHead(msgspec.Struct, frozen=True):
    """Record at ``config/head``.

    `revision`, `digest`
        Of the last change. Two heads are identical if both are equal.
    `recent`
        Latest changes in order, without a gap, the last one at ``revision``.
    `base_digest`
        Digest of the revision before the first change in ``recent``.
    `snapshot`
        Newest snapshot; ``recent`` has all changes since. ``None`` while ``recent`` has all
        changes since revision 0.
    `old_snapshot`
        Previous snapshot, kept for readers of an older head until the next snapshot is written.
    """

    revision: Revision = Revision(0)
    digest: str = ""
    base_digest: str = ""
    recent: list[Change] = []
    snapshot: SnapshotRef | None = None
    old_snapshot: SnapshotRef | None = None


def chain_digest(previous: str, change: Change) -> str:
    """Returns the digest of ``change`` chained to digest ``previous``: 32 hex digits."""
    body = _encode(msgspec.structs.replace(change, digest=""))
    return hashlib.sha256(previous.encode() + body).hexdigest()[:32]


def next_change(tables: Tables, change: Change) -> Change:
    """Returns ``change`` with the revision and digest that come next after ``tables``."""
    change = msgspec.structs.replace(change, revision=Revision(tables.revision + 1), digest="")
    return msgspec.structs.replace(change, digest=chain_digest(tables.digest, change))


class ConfigState(msgspec.Struct, frozen=True):
    """Tables with the latest changes that led to them.

    `tables`
        Tables after the last change.
    `recent`
        Latest changes in order, without a gap, the last one at the tables' revision.
    `base_digest`
        Digest of the revision before the first of ``recent``.
    """

    tables: Tables = msgspec.field(default_factory=Tables)
    recent: tuple[Change, ...] = ()
    base_digest: str = ""

    @property
    def order(self) -> tuple[Revision, str]:
        """Sort key of states, the same at every member: the revision, then the digest."""
        return self.tables.revision, self.tables.digest

    @property
    def base_revision(self) -> Revision:
        return Revision(self.tables.revision - len(self.recent))

    def digest_at(self, revision: Revision) -> str | None:
        """Returns the digest at ``revision``, or ``None`` if it is not kept."""
        index = revision - self.base_revision
        if index == 0:
            return self.base_digest
        return self.recent[index - 1].digest if 0 < index <= len(self.recent) else None

    def changes_after(self, revision: Revision, digest: str) -> list[Change] | None:
        """Returns the changes after that point, or ``None`` if it is not on this chain."""
        if self.digest_at(revision) != digest:
            return None
        return list(self.recent[revision - self.base_revision :])

    def extend(self, changes: Iterable[Change]) -> "ConfigState | None":
        """Returns the state after ``changes``, which may overlap with those already applied.

        Returns ``None`` if they have a gap or do not continue this chain.
        """
        tables, recent = self.tables, list(self.recent)
        for change in changes:
            if change.revision <= tables.revision:
                known = self.digest_at(change.revision)
                if known is not None and known != change.digest:
                    return None
                continue
            if change.revision != tables.revision + 1:
                return None
            if change.digest != chain_digest(tables.digest, change):
                return None
            tables = tables.apply(change)
            recent.append(change)
        return ConfigState(tables, tuple(recent), self.base_digest)

    def append(self, change: Change) -> "ConfigState":
        """Returns the state after ``change``, with the next revision and digest assigned to it."""
        change = next_change(self.tables, change)
        return ConfigState(self.tables.apply(change), (*self.recent, change), self.base_digest)

    def find(self, change_id: ChangeId) -> Change | None:
        """Returns the change with this id, if it is kept."""
        return next((change for change in self.recent if change.id == change_id), None)

    def trim(self, max_bytes: int) -> "ConfigState":
        """Returns the state without its oldest changes; the rest has at most ``max_bytes`` bytes.

        The last change is kept whatever its size: its id resolves a proposal whose reply was lost.
        """
        size, count = 0, 0
        for change in reversed(self.recent):
            size += len(_encode(change))
            if count and size > max_bytes:
                break
            count += 1
        return self.drop_through(Revision(self.tables.revision - count))

    def drop_through(self, revision: Revision) -> "ConfigState":
        """Returns the state without the changes up to ``revision``."""
        base = self.digest_at(revision)
        if base is None or revision == self.base_revision:
            return self
        return ConfigState(self.tables, self.recent[revision - self.base_revision :], base)

    def is_consistent(self) -> bool:
        """Tells whether the kept changes form a chain that ends at the tables' revision."""
        revision, digest = self.base_revision, self.base_digest
        for change in self.recent:
            if change.revision != revision + 1 or change.digest != chain_digest(digest, change):
                return False
            revision, digest = change.revision, change.digest
        return revision == self.tables.revision and digest == self.tables.digest


class MergeResult(msgspec.Struct, frozen=True):
    """Result of `merge`.

    `state`
        Winning chain, followed by those changes of the other chain that could be applied.
    `forked`
        Whether each chain had changes that the other lacked.
    `dropped`
        Changes of the losing chain that could not be applied.
    """

    state: ConfigState
    forked: bool = False
    dropped: tuple[Change, ...] = ()


def merge(one: ConfigState, other: ConfigState) -> MergeResult:
    """Merges two states so that every member gets the same result.

    The state with the higher revision wins, at equal revisions the one with the greater digest.
    Changes that only the loser has are appended to the winner's, with their ids, unless the winner
    has written the same row since the fork or a route would refer to a missing pool. States whose
    kept changes do not overlap can't be compared; then the winner is returned unchanged.
    """
    winner, loser = (one, other) if one.order >= other.order else (other, one)
    if winner.order == loser.order or loser.tables.revision == 0:
        return MergeResult(winner)
    common = _common_revision(winner, loser)
    if common is None or common == loser.tables.revision:
        return MergeResult(winner)
    winner_changes = winner.recent[common - winner.base_revision :]
    written_rows = {(change.table, change.name) for change in winner_changes}
    known_ids = {change.id for change in winner_changes}
    dropped: list[Change] = []
    forked, merged = False, winner
    for change in loser.recent[common - loser.base_revision :]:
        if change.id in known_ids:
            continue
        forked = True
        candidate = merged.append(change)
        references = check_references(candidate.tables.route_by_name, candidate.tables.pool_by_name)
        if (change.table, change.name) in written_rows or isinstance(references, Err):
            dropped.append(change)
        else:
            merged = candidate
    return MergeResult(merged, forked, tuple(dropped))


def _common_revision(one: ConfigState, other: ConfigState) -> Revision | None:
    """Returns the highest revision at which both states have the same digest."""
    highest = min(one.tables.revision, other.tables.revision)
    lowest = max(one.base_revision, other.base_revision)
    for revision in range(highest, lowest - 1, -1):
        if one.digest_at(Revision(revision)) == other.digest_at(Revision(revision)):
            return Revision(revision)
    return None
