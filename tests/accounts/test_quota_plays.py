"""Random plays of pools that share quotas, over a store that loses answers, with owners that die.

The load: an account that sends far more than its quota in one pool, and others that use a part of
theirs in several. What runs never exceeds the highest quota in force, and an account with under
half of its quota in use gets room within three seconds while the store answers.
"""

import random
from datetime import timedelta

import pytest

from hornbeamramp.accounts.quotas import AccountAllotments, Demand, QuotaRecord
from hornbeamramp.workload import AccountQuota

TICK_S = 0.05
PLAY_S = 40.0
TAKEOVER_S = 1.5
MAX_WAIT_S = 3.0
QUOTA = 100
ACCOUNTS = ("hot", "steady")


class Store:
    """Records of the pools with their revisions, and the owner of each pool."""

    def __init__(self, pools):
        self.revision = 1
        self.records = dict.fromkeys(pools, (0, None))
        self.token_by_pool = dict.fromkeys(pools, 0)

    def write(self, pool, token, required, record):
        """Writes a record; returns whether that took effect."""
        if self.token_by_pool[pool] != token:
            return False
        if any(self.records[key][0] != revision for key, revision in required.items()):
            return False
        self.revision += 1
        self.records[pool] = (self.revision, record)
        return True


class Owner:
    """Owner of one pool: places tasks that wait within what `AccountAllotments` lets start."""

    def __init__(self, play, pool, token):
        self.play, self.pool, self.token = play, pool, token
        self.allotments = AccountAllotments(pool)
        self.set_quota()
        self.read()

    def set_quota(self):
        quota = AccountQuota(self.play.quota)
        self.allotments.set_quotas(
            self.play.version, dict.fromkeys(ACCOUNTS, quota), set(self.play.pools)
        )

    def read(self):
        self.seen = {pool: row[0] for pool, row in self.play.store.records.items()}
        others = {
            pool: record
            for pool, (_, record) in self.play.store.records.items()
            if pool != self.pool and record is not None
        }
        self.allotments.set_others(others, self.play.store.revision)
        self.allotments.set_own(self.play.store.records[self.pool][1] or QuotaRecord(0))

    def place(self):
        self.demands = {}
        for account in ACCOUNTS:
            waiting = self.play.waiting[self.pool, account]
            used = self.play.used(self.pool, account)
            while waiting:
                size = waiting[0][0]
                if not self.allotments.count_fitting(account, (used, 0, 0), (size, 0, 0), 1, 1):
                    break
                self.allotments.note_start(account)
                self.play.start(self.pool, account)
                used += size
            more = sum(size for size, _ in waiting)
            unit = waiting[0][0] if waiting else 0
            if used or more:
                self.demands[account] = Demand((used, 0, 0), (used + more, 0, 0), (unit, 0, 0))

    def decide(self, now):
        """Returns a write to be sent: the record and what it requires."""
        record = self.allotments.decide(self.demands, now)
        if record is None:
            return None
        required = {self.pool: self.seen[self.pool]}
        if self.allotments.is_raise(record):
            required = dict(self.seen)
        self.allotments.begin_write(record)
        return record, required


class Play:
    def __init__(self, seed, pools, loss, deaths, changes):
        self.random = random.Random(seed)
        self.pools, self.loss, self.deaths, self.changes = pools, loss, deaths, changes
        self.store = Store(pools)
        self.version = 1
        self.quota_by_version = {1: QUOTA}
        self.waiting = {(pool, account): [] for pool in pools for account in ACCOUNTS}
        self.running = []
        self.late = []
        self.in_flight = {}
        self.now_s = 0.0
        # Since when a pool's first waiting task could start by the bound of the users.
        self.entitled_since = {}
        self.longest_wait_s = 0.0
        self.writes = 0
        self.restart_at = {}
        self.owners = {}
        for pool in pools:
            self.take_over(pool)

    @property
    def quota(self):
        return self.quota_by_version[self.version]

    def highest_quota(self):
        """Returns the highest quota by which an owner may go now."""
        versions = {o.allotments.version for o in self.owners.values() if o is not None}
        return max(self.quota_by_version[version] for version in {*versions, self.version})

    def used(self, pool, account):
        return sum(size for p, a, size, _ in self.running if (p, a) == (pool, account))

    def total(self, account):
        return sum(size for _, a, size, _ in self.running if a == account)

    def start(self, pool, account):
        size, _ = self.waiting[pool, account].pop(0)
        self.running.append((pool, account, size, self.now_s + self.random.uniform(0.2, 3.0)))
        highest = self.highest_quota()
        total = self.total(account)
        assert total <= highest, f"{account} uses {total} of {highest} at {self.now_s:.2f} s"

    def take_over(self, pool):
        self.store.revision += 1
        self.store.token_by_pool[pool] = self.store.revision
        self.owners[pool] = Owner(self, pool, self.store.revision)

    def arrive(self):
        rng = self.random
        for pool in self.pools:
            if rng.random() < 0.4 and len(self.waiting[pool, "hot"]) < 40:
                self.waiting[pool, "hot"] += [(rng.randint(1, 30), self.now_s)] * rng.randint(1, 9)
            if rng.random() < 0.02:
                self.waiting[pool, "steady"].append((rng.randint(1, 20), self.now_s))

    def disturb(self):
        rng = self.random
        if rng.random() < self.deaths * TICK_S:
            pool = rng.choice(self.pools)
            if self.owners[pool] is not None:
                self.owners[pool] = None
                self.in_flight.pop(pool, None)
                self.restart_at[pool] = self.now_s + TAKEOVER_S
        for pool, at_s in list(self.restart_at.items()):
            if at_s <= self.now_s:
                del self.restart_at[pool]
                self.take_over(pool)
        if rng.random() < self.changes * TICK_S:
            self.version += 1
            self.quota_by_version[self.version] = rng.choice((60, 100, 160))
        for owner in self.owners.values():
            # Owners get a configuration at different times.
            if owner and owner.allotments.version < self.version and rng.random() < 0.2:
                owner.set_quota()

    def call_store(self, pool):
        """Carries out a write that an owner has sent, and answers it, or not."""
        owner, (record, required) = self.owners[pool], self.in_flight.pop(pool)
        draw = self.random.random()
        self.writes += 1
        if draw < self.loss / 2:
            due_s = self.now_s + self.random.uniform(0, 2)
            self.late.append((due_s, pool, owner.token, required, record))
            return
        done = self.store.write(pool, owner.token, required, record)
        if draw < self.loss:
            return
        if not done:
            owner.allotments.drop_write()
        self.read(owner, is_complete=True)

    def read(self, owner, is_complete=False):
        """Shows an owner what has changed; its own record only with a new revision."""
        seen = owner.seen[owner.pool]
        uncertain = list(owner.allotments._uncertain)
        record = owner.allotments._record
        owner.read()
        if self.store.records[owner.pool][0] == seen:
            owner.allotments.set_own(record)
            for write in uncertain:
                owner.allotments.begin_write(write)

    def tick(self):
        self.now_s += TICK_S
        self.running = [run for run in self.running if run[3] > self.now_s]
        for row in [row for row in self.late if row[0] <= self.now_s]:
            self.late.remove(row)
            _, pool, token, required, record = row
            self.store.write(pool, token, required, record)
        self.arrive()
        self.disturb()
        for pool, owner in self.owners.items():
            if owner is None:
                continue
            if pool in self.in_flight:
                self.call_store(pool)
            # A watch reports late now and then.
            if self.random.random() < 0.8:
                self.read(owner)
            owner.place()
            write = owner.decide(timedelta(seconds=self.now_s))
            if write is not None:
                self.in_flight[pool] = write
        self.measure_waits()

    def measure_waits(self):
        for (pool, account), waiting in self.waiting.items():
            key = (pool, account)
            if not waiting or self.total(account) >= self.quota / 2:
                self.entitled_since.pop(key, None)
                continue
            first, since_s = self.entitled_since.get(key, (None, 0.0))
            if first is not waiting[0]:
                self.entitled_since[key] = (waiting[0], self.now_s)
            else:
                self.longest_wait_s = max(self.longest_wait_s, self.now_s - since_s)

    def run(self):
        while self.now_s < PLAY_S:
            self.tick()


@pytest.mark.parametrize("seed", range(12))
def test_owners_that_contend_stay_within_the_quota(seed):
    play = Play(seed, ("p", "o", "q")[: 2 + seed % 2], loss=0.0, deaths=0.0, changes=0.0)
    play.run()
    assert play.longest_wait_s <= MAX_WAIT_S


@pytest.mark.parametrize("seed", range(12))
def test_lost_answers_and_late_writes_break_no_quota(seed):
    play = Play(seed, ("p", "o", "q")[: 2 + seed % 2], loss=0.3, deaths=0.0, changes=0.0)
    play.run()
    assert play.longest_wait_s <= MAX_WAIT_S


@pytest.mark.parametrize("seed", range(12))
def test_owners_that_die_leave_room_for_the_others(seed):
    play = Play(seed, ("p", "o", "q")[: 2 + seed % 2], loss=0.1, deaths=0.15, changes=0.0)
    play.run()
    assert play.longest_wait_s <= MAX_WAIT_S


@pytest.mark.parametrize("seed", range(12))
def test_quotas_that_change_count_at_once(seed):
    play = Play(seed, ("p", "o", "q")[: 2 + seed % 2], loss=0.1, deaths=0.1, changes=0.3)
    play.run()
    assert play.longest_wait_s <= MAX_WAIT_S


def test_idle_pools_write_nothing():
    play = Play(1, ("p", "o"), loss=0.0, deaths=0.0, changes=0.0)
    play.arrive = lambda: None
    play.run()
    assert play.writes == len(play.pools)
