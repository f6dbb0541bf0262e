"""Division of the accounts' quotas between pools: what each pool's owner may start.

Each pool has an allotment of each account's quota, in a record that only its owner writes. Nothing
starts beyond the allotment, and the allotments of all pools together stay within the quota: a
raise is written on the condition that the records of the other pools are the ones it was decided
with. No network here: `AccountAllotments` is told what the store answers, and says what to write.
"""

from collections.abc import Iterable, Mapping
from datetime import timedelta

import msgspec

from hornbeamramp.accounts.usage import NOTHING, Amounts
from hornbeamramp.ids import AccountId, PoolName
from hornbeamramp.workload.config import AccountQuota
from hornbeamramp.workload.model import StepSpec

__all__ = [
    "AccountAllotments",
    "Allotment",
    "Claim",
    "Demand",
    "QuotaRecord",
    "UNLIMITED",
    "divide",
    "fair_part",
    "has_precedence",
    "quota_problem",
]

# Most that a job of an account may use beyond its quota (the users' bound), besides one task.
QUOTA_TOLERANCE = 0.1
# What an account has not needed for this long goes back, so that other pools can take it without
# asking, also while this pool has no owner.
IDLE_TIME = timedelta(seconds=1)
# A smaller part is kept for longer, so that an account with a job every few seconds needs no write
# for each. All pools together keep up to half of a quota in this way.
KEPT_TIME = timedelta(seconds=10)
# Steps in which allotments change, as a part of the quota and of the number of pools: uses that
# vary by less need no write.
STEPS_PER_POOL = 8
# How long the first record of a pool exists before it raises an allotment: owners that did not
# know of the pool have read the record by then, with a watch that waits for a second.
FIRST_RECORD_AGE = timedelta(milliseconds=1500)

# A unit that waits for room keeps others from it for half of each of these periods. Always, a gang
# behind long-running tasks would stop all else of the account; never, small tasks would take the
# room that a gang waits for.
PRECEDENCE_PERIOD = timedelta(seconds=4)

# More than any pool has of a resource.
UNLIMITED = 2**62

RESOURCES = range(3)
# Resources as users see them in reasons of refusals.
RESOURCE_NAMES = ("cores", "MiB", "accelerators")


class Allotment(msgspec.Struct, frozen=True, array_like=True):
    """One account's part of a pool's record.

    `allotted`
        What the pool may use.
    `wanted`
        What it would use if it could, with what it uses now; nothing if the allotment is enough.
    `next`
        What it would use with its next unit, if that is larger than an equal part of the quota.
    `since`
        Store revision after which the pool began to wait for that unit.
    """

    allotted: Amounts
    wanted: Amounts = NOTHING
    next: Amounts = NOTHING
    since: int = 0


class QuotaRecord(msgspec.Struct, frozen=True):
    """Allotments of a pool, by account. An account without any has none.

    `version`
        Version of the configuration in which the owner has looked up which accounts have quotas.
    """

    version: int
    by_account: dict[AccountId, Allotment] = {}


class Demand(msgspec.Struct, frozen=True):
    """What an account needs in a pool.

    `used`
        What its runs have reserved.
    `needed`
        The same, with what units have that only the quota keeps from being placed.
    `unit`
        Size of the next of these units; nothing if there is none.
    """

    used: Amounts
    needed: Amounts
    unit: Amounts = NOTHING


class Claim(msgspec.Struct, frozen=True):
    """What a pool has and needs of one account's quota, for the division of what is short."""

    allotted: Amounts
    needed: Amounts
    next: Amounts = NOTHING
    since: int = 0


def has_precedence(waited: timedelta) -> bool:
    """Returns whether a unit that has waited for this long keeps others from the room."""
    return waited % PRECEDENCE_PERIOD < PRECEDENCE_PERIOD / 2


def divide(total: int, need_by_pool: Mapping[PoolName, int]) -> dict[PoolName, int]:
    """Divides an amount equally; what a pool doesn't need goes to the others."""
    part_by_pool = {}
    left = max(total, 0)
    smallest_first = sorted(need_by_pool, key=lambda pool: (need_by_pool[pool], pool))
    for number, pool in enumerate(smallest_first):
        part = min(need_by_pool[pool], left // (len(smallest_first) - number))
        part_by_pool[pool] = part
        left -= part
    return part_by_pool


def fair_part(own: PoolName, quota: Amounts, claim_by_pool: Mapping[PoolName, Claim]) -> Amounts:
    """Returns the part of a quota that a pool is entitled to beside what it uses.

    Each has an equal part, but the pool that has waited longest gets what its next unit needs, and
    the others keep nothing from it that they don't use: with equal parts of a quota for one and a
    half units, none could ever start.
    """
    parts_by_resource = [
        divide(quota[r], {pool: claim.needed[r] for pool, claim in claim_by_pool.items()})
        for r in RESOURCES
    ]
    part = tuple(parts[own] for parts in parts_by_resource)
    waiting = [pool for pool, claim in claim_by_pool.items() if claim.next != NOTHING]
    if not waiting:
        return (part[0], part[1], part[2])
    first = min(waiting, key=lambda pool: (claim_by_pool[pool].since, pool))
    if first == own:
        return _largest((part[0], part[1], part[2]), claim_by_pool[own].next)
    left = []
    for resource in RESOURCES:
        least = claim_by_pool[first].next[resource]
        if parts_by_resource[resource][first] >= least:
            left.append(part[resource])
            continue
        others = [c for pool, c in claim_by_pool.items() if pool not in (own, first)]
        held = sum(claim.allotted[resource] for claim in others)
        left.append(max(min(part[resource], quota[resource] - least - held), 0))
    entitled = (left[0], left[1], left[2])
    return NOTHING if _exceeds(claim_by_pool[own].next, entitled) else entitled


def quota_problem(quota: AccountQuota, steps: Iterable[StepSpec]) -> str:
    """Returns why tasks or gangs of these steps can't ever run within a quota; empty if they
    can."""
    limits = _amounts_of(quota)
    for number, step in enumerate(steps):
        size = (0 if step.fills else step.processors_milli, step.memory_mib, step.accelerators)
        tasks = step.count if step.gang else 1
        for resource in RESOURCES:
            limit, amount = limits[resource], tasks * size[resource]
            if limit and amount > limit:
                scale = 1000 if resource == 0 else 1
                kind = f"a gang of {tasks} tasks" if tasks > 1 else "a task"
                return (
                    f"step {number}: {kind} needs {amount / scale:g} {RESOURCE_NAMES[resource]}, "
                    f"the account's quota is {limit / scale:g}"
                )
    return ""


def _amounts_of(quota: AccountQuota) -> Amounts:
    return (quota.processors_milli, quota.memory_mib, quota.accelerators)


def _largest(first: Amounts, second: Amounts) -> Amounts:
    return (max(first[0], second[0]), max(first[1], second[1]), max(first[2], second[2]))


def _smallest(first: Amounts, second: Amounts) -> Amounts:
    return (min(first[0], second[0]), min(first[1], second[1]), min(first[2], second[2]))


def _sum(first: Amounts, second: Amounts) -> Amounts:
    return (first[0] + second[0], first[1] + second[1], first[2] + second[2])


def _exceeds(first: Amounts, second: Amounts) -> bool:
    """Returns whether any amount of the first is larger."""
    return first[0] > second[0] or first[1] > second[1] or first[2] > second[2]


class _Peak:
    """Largest amounts in about the last period: of the period that runs, and of the one before.

    `before`
        Those of the period before the first one.
    """

    def __init__(self, period: timedelta, now: timedelta, before: Amounts) -> None:
        self._period = period
        self._since = now
        self._current, self._before = NOTHING, before

    def update(self, amounts: Amounts, now: timedelta) -> Amounts:
        elapsed = now - self._since
        if elapsed >= self._period:
            self._before = self._current if elapsed < 2 * self._period else NOTHING
            self._current, self._since = NOTHING, now
        self._current = _largest(self._current, amounts)
        return _largest(self._current, self._before)


class _AccountState:
    """What the owner remembers of one account.

    `allotted`
        What it has at first. What it needed until now is not known, so that counts as needed.
    `entitled`
        What it may use while other pools want more, whatever its allotment: as its runs end, the
        rest goes to them. ``None`` if none wants more.
    `waits_since`, `waits_from`
        Store revision after which, and boot time at which its next unit began to wait; 0 if none
        waits.
    """

    def __init__(self, now: timedelta, allotted: Amounts) -> None:
        self.idle_peak = _Peak(IDLE_TIME, now, allotted)
        self.kept_peak = _Peak(KEPT_TIME, now, allotted)
        self.entitled: Amounts | None = None
        self.waits_since = 0
        self.waits_from = now


class AccountAllotments:
    """What one pool may use of each account's quota, as its owner knows it.

    `quota_by_account`
        Quotas of the configuration in force; an amount of 0 is no limit.
    """

    def __init__(self, pool: PoolName) -> None:
        self.pool = pool
        self.quota_by_account: dict[AccountId, Amounts] = {}
        self.version = 0
        # Pools of the configuration, and the version since which they have been; 0 if they were
        # when the owner began.
        self._since_by_pool: dict[PoolName, int] = {}
        # Version since which an account has had its quota. Records of earlier versions don't tell
        # what other pools use of it.
        self._limited_since: dict[AccountId, int] = {}
        self._record = QuotaRecord(0)
        # Records that the own key may have instead, as their writes got no answer.
        self._uncertain: list[QuotaRecord] = []
        # Records of other pools; ``None`` if one can't be decoded.
        self._record_by_pool: dict[PoolName, QuotaRecord | None] = {}
        # Sum of the others' allotments by account, as far as they are known.
        self._others_by_account: dict[AccountId, Amounts] = {}
        self._state_by_account: dict[AccountId, _AccountState] = {}
        self._may_raise_from = timedelta(0)
        self._newest_revision = 0

    # What is known

    def set_quotas(
        self, version: int, quota_by_account: Mapping[AccountId, AccountQuota], pools: set[PoolName]
    ) -> None:
        """Sets the quotas and pools of a configuration."""
        is_first = self.version == 0
        quotas = {
            account: _amounts_of(quota)
            for account, quota in quota_by_account.items()
            if _amounts_of(quota) != NOTHING
        }
        for account, quota in quotas.items():
            before = self.quota_by_account.get(account, NOTHING)
            if any(quota[resource] and not before[resource] for resource in RESOURCES):
                self._limited_since[account] = version
        self.quota_by_account = quotas
        self._since_by_pool = {
            pool: 0 if is_first else self._since_by_pool.get(pool, version) for pool in pools
        }
        self.version = version

    @property
    def other_pools(self) -> set[PoolName]:
        """The other pools that may have allotments: those configured and those with a record."""
        return {*self._since_by_pool, *self._record_by_pool} - {self.pool}

    @property
    def removed_pools(self) -> set[PoolName]:
        """Pools with a record that are no longer configured."""
        return self._record_by_pool.keys() - self._since_by_pool.keys()

    def set_others(
        self, record_by_pool: Mapping[PoolName, QuotaRecord | None], newest_revision: int
    ) -> None:
        """Sets the records of the other pools; ``None`` for one that can't be decoded."""
        self._record_by_pool = dict(record_by_pool)
        self._newest_revision = max(self._newest_revision, newest_revision)
        total: dict[AccountId, Amounts] = {}
        for record in record_by_pool.values():
            for account, row in ({} if record is None else record.by_account).items():
                total[account] = _sum(total.get(account, NOTHING), row.allotted)
        self._others_by_account = total

    def set_own(self, record: QuotaRecord) -> None:
        """Sets the pool's record, when it is certainly the one in the store."""
        self._record = record
        self._uncertain = []

    def begin_write(self, record: QuotaRecord) -> None:
        """Notes that a record is being written: from now on, the lower of both counts."""
        self._uncertain.append(record)

    def drop_write(self) -> None:
        """Notes that the last write has certainly had no effect, and won't."""
        if self._uncertain:
            self._uncertain.pop()

    def note_created(self, now: timedelta) -> None:
        """Notes that the pool's first record is being written."""
        self._may_raise_from = now + FIRST_RECORD_AGE

    # What may start

    def allotted(self, account: AccountId) -> Amounts:
        """Returns the allotment that is certain."""
        row = self._record.by_account.get(account)
        allotted = NOTHING if row is None else row.allotted
        for record in self._uncertain:
            row = record.by_account.get(account)
            allotted = _smallest(allotted, NOTHING if row is None else row.allotted)
        return allotted

    def short_of(
        self, account: AccountId, used: Amounts, size: Amounts, tasks: int
    ) -> tuple[int, ...]:
        """Returns the resources (0 to 2) of which an account has no room for a unit.

        `used`
            What the account uses in this pool.
        `size`
            Size of one task.
        `tasks`
            Number of tasks that start together.
        """
        quota = self.quota_by_account.get(account)
        if quota is None:
            return ()
        limits = self._limits(account, quota)
        short = []
        for resource in RESOURCES:
            amount = tasks * size[resource]
            if not (quota[resource] and amount):
                continue
            counted = self._counted(quota[resource], size[resource], tasks)
            if used[resource] + counted > limits[resource]:
                short.append(resource)
        return tuple(short)

    def count_fitting(
        self, account: AccountId, used: Amounts, size: Amounts, tasks: int, units: int
    ) -> int:
        """Returns how many of a number of like units an account has room for."""
        if self.short_of(account, used, size, tasks):
            return 0
        quota = self.quota_by_account.get(account)
        if quota is None:
            return units
        limits = self._limits(account, quota)
        fitting = units
        for resource in RESOURCES:
            amount = tasks * size[resource]
            if quota[resource] and amount:
                fitting = min(fitting, max((limits[resource] - used[resource]) // amount, 1))
        return fitting

    def room(self, account: AccountId, used: Amounts) -> Amounts:
        """Returns up to what an account's use may still grow in this pool; negative if it is above.

        A resource without a limit has `UNLIMITED`.
        """
        quota = self.quota_by_account.get(account, NOTHING)
        limits = self._limits(account, quota)
        room = [limits[r] - used[r] if quota[r] else UNLIMITED for r in RESOURCES]
        return (room[0], room[1], room[2])

    def _limits(self, account: AccountId, quota: Amounts) -> Amounts:
        """Returns up to what an account's use may grow in this pool."""
        allotted = self.allotted(account)
        state = self._state_by_account.get(account)
        if state is not None and state.entitled is not None:
            allotted = _smallest(allotted, state.entitled)
        # After a quota was lowered, the allotments are above it until all owners have cut theirs.
        others = self._others_by_account.get(account, NOTHING)
        left = (quota[0] - others[0], quota[1] - others[1], quota[2] - others[2])
        return _smallest(allotted, left)

    @staticmethod
    def _counted(quota: int, size: int, tasks: int) -> int:
        """Returns what a unit needs of a quota. One that is larger, as the quota was lowered after
        its job was accepted, runs alone if that is within the users' tolerance."""
        amount = tasks * size
        if amount > quota and amount <= quota * (1 + QUOTA_TOLERANCE) + size:
            return quota
        return amount

    def counted(self, account: AccountId, size: Amounts, tasks: int) -> Amounts:
        """Returns what a unit needs of its account's quota."""
        quota = self.quota_by_account.get(account, NOTHING)
        counted = [self._counted(quota[r], size[r], tasks) if quota[r] else 0 for r in RESOURCES]
        return (counted[0], counted[1], counted[2])

    def note_start(self, account: AccountId) -> None:
        """Notes that a unit of an account is placed: the next one begins to wait."""
        state = self._state_by_account.get(account)
        if state is not None:
            state.waits_since = 0

    # How the allotments change

    def decide(
        self, demand_by_account: Mapping[AccountId, Demand], now: timedelta
    ) -> QuotaRecord | None:
        """Returns the record to write, or ``None`` if the present one will do."""
        rows: dict[AccountId, Allotment] = {}
        is_changed = self.version > self._record.version or bool(self._uncertain)
        accounts = {*demand_by_account, *self._record.by_account, *self._state_by_account}
        for account in accounts:
            before = self._record.by_account.get(account, Allotment(NOTHING))
            row = self._decide_row(account, demand_by_account.get(account), now)
            if row != Allotment(NOTHING):
                rows[account] = row
            is_changed = is_changed or self._is_worth_writing(account, before, row)
        return QuotaRecord(self.version, rows) if is_changed else None

    def is_raise(self, record: QuotaRecord) -> bool:
        """Returns whether a record takes anything that the pool doesn't certainly have."""
        return any(
            _exceeds(row.allotted, self.allotted(account))
            for account, row in record.by_account.items()
        )

    def _decide_row(self, account: AccountId, demand: Demand | None, now: timedelta) -> Allotment:
        quota = self.quota_by_account.get(account)
        if quota is None:
            self._state_by_account.pop(account, None)
            return Allotment(NOTHING)
        demand = demand or Demand(NOTHING, NOTHING)
        state = self._state_by_account.get(account)
        if state is None:
            state = _AccountState(now, self.allotted(account))
            self._state_by_account[account] = state
        used = _limited(demand.used, quota)
        needed = _largest(used, _smallest(_limited(demand.needed, quota), quota))
        unit = _limited(demand.unit, quota)
        following = NOTHING
        if _exceeds(unit, self._equal_part(quota)) and not _exceeds(_sum(used, unit), quota):
            if not state.waits_since:
                state.waits_since, state.waits_from = max(self._newest_revision, 1), now
            if has_precedence(now - state.waits_from):
                following = _smallest(_rounded_up(_sum(used, unit), self._step(quota)), quota)
        else:
            state.waits_since = 0
        target = self._target(account, quota, used, needed, following, state, now)
        if target == NOTHING and needed == NOTHING:
            if state.kept_peak.update(NOTHING, now) == NOTHING:
                del self._state_by_account[account]
            return Allotment(NOTHING)
        if not _exceeds(needed, target):
            return Allotment(target)
        step = self._step(quota)
        wanted = _smallest(_rounded_up(needed, step), _largest(needed, quota))
        return Allotment(target, wanted, following, state.waits_since)

    def _target(
        self,
        account: AccountId,
        quota: Amounts,
        used: Amounts,
        needed: Amounts,
        following: Amounts,
        state: _AccountState,
        now: timedelta,
    ) -> Amounts:
        """Returns the allotment that an account should have now, at least what it uses."""
        step = self._step(quota)
        idle_peak = state.idle_peak.update(needed, now)
        kept = _smallest(state.kept_peak.update(needed, now), self._kept_limit(quota))
        current = self.allotted(account)
        claim_by_pool = {
            pool: Claim(row.allotted, _largest(row.allotted, row.wanted), row.next, row.since)
            for pool, record in self._record_by_pool.items()
            if record is not None and (row := record.by_account.get(account)) is not None
        }
        is_wanted = any(
            row.wanted != NOTHING
            for record in self._record_by_pool.values()
            if record is not None and (row := record.by_account.get(account)) is not None
        )
        if is_wanted:
            claim_by_pool[self.pool] = Claim(current, needed, following, state.waits_since)
            state.entitled = fair_part(self.pool, quota, claim_by_pool)
            desired = _smallest(needed, state.entitled)
        else:
            state.entitled = None
            peak = _largest(_rounded_up(idle_peak, step), kept)
            desired = self._with_hysteresis(needed, peak, current, step)
        if not self._may_raise(account, now):
            return _largest(used, _smallest(desired, current))
        others = self._others_by_account.get(account, NOTHING)
        target = []
        for resource in RESOURCES:
            free = max(quota[resource] - others[resource], 0)
            target.append(max(used[resource], min(desired[resource], free)))
        return (target[0], target[1], target[2])

    @staticmethod
    def _with_hysteresis(
        needed: Amounts, peak: Amounts, current: Amounts, step: Amounts
    ) -> Amounts:
        """Returns the peak where more is needed than there is, or where there is far more;
        otherwise what there is. So a use that varies needs no write each time."""
        desired = [
            (
                peak[r]
                if needed[r] > current[r] or current[r] > peak[r] + (step[r] if peak[r] else 0)
                else current[r]
            )
            for r in RESOURCES
        ]
        return (desired[0], desired[1], desired[2])

    def _may_raise(self, account: AccountId, now: timedelta) -> bool:
        """Returns whether it is known what all other pools have of an account's quota."""
        if now < self._may_raise_from:
            return False
        limited_since = self._limited_since.get(account, 0)
        for pool in self.other_pools:
            record = self._record_by_pool.get(pool)
            if pool in self._record_by_pool and record is None:
                return False
            if pool not in self._since_by_pool:
                continue
            is_new = self._since_by_pool[pool] >= limited_since
            if not is_new and (record is None or record.version < limited_since):
                return False
        return True

    def _equal_part(self, quota: Amounts) -> Amounts:
        pools = max(len(self._since_by_pool), 1)
        return (quota[0] // pools, quota[1] // pools, quota[2] // pools)

    def _step(self, quota: Amounts) -> Amounts:
        parts = STEPS_PER_POOL * max(len(self._since_by_pool), 2)
        return (max(quota[0] // parts, 1), max(quota[1] // parts, 1), max(quota[2] // parts, 1))

    def _kept_limit(self, quota: Amounts) -> Amounts:
        part = self._equal_part(quota)
        return (part[0] // 2, part[1] // 2, part[2] // 2)

    def _is_worth_writing(self, account: AccountId, before: Allotment, after: Allotment) -> bool:
        if before.allotted != after.allotted:
            return True
        if (before.wanted == NOTHING) != (after.wanted == NOTHING):
            return True
        return after.wanted != NOTHING and (
            before.since != after.since
            or before.wanted != after.wanted
            or before.next != after.next
        )


def _limited(amounts: Amounts, quota: Amounts) -> Amounts:
    """Returns the amounts of the resources that a quota limits; 0 for the others."""
    return (
        amounts[0] if quota[0] else 0,
        amounts[1] if quota[1] else 0,
        amounts[2] if quota[2] else 0,
    )


def _rounded_up(amounts: Amounts, step: Amounts) -> Amounts:
    return (
        -(-amounts[0] // step[0]) * step[0],
        -(-amounts[1] // step[1]) * step[1],
        -(-amounts[2] // step[2]) * step[2],
    )
