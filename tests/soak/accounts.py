"""Soak with client accounts: keys are replaced, and some callers go on sending revoked ones."""

import asyncio
import random
from collections.abc import Awaitable, Callable
from datetime import timedelta

import aiohttp

from tests.soak.callers import Callers
from tests.soak.cell import SoakCell
from tests.soak.faults import Faults
from tests.soak.proxy import LinkState

__all__ = ["KeyedCallers", "ReplacedKeys"]

# Shares of submissions with a revoked key of the job's account, and with one that never existed.
REVOKED_SHARE = 0.25
UNKNOWN_SHARE = 0.1
UNKNOWN_KEY = "never-configured"
# Time for which no VM sees the revocation of a key, longer than the bound.
UNSEEN_S = 5.5
# Period of the calls to each VM with the newest revoked keys.
PROBE_PERIOD_S = 0.25
PROBED_KEYS = 2
# Time in which each VM refuses all revoked keys with 401 after the faults.
RECOVERY_S = 20.0


class ReplacedKeys(Faults):
    """The faults of the soak, and keys that are replaced, some while no VM reaches the store."""

    def _choices(self) -> list[Callable[[], Awaitable[None]]]:
        return super()._choices() + 8 * [self._replace_key] + 4 * [self._replace_unseen_key]

    async def _replace_key(self) -> None:
        self._cell.replace_key(self._rng.choice(sorted(self._cell.key_by_account)))

    async def _replace_unseen_key(self) -> None:
        links = [vm.store_link for vm in self._cell.vm_by_name.values()]
        for link in links:
            link.set(LinkState.SILENT)
        await asyncio.sleep(self._rng.uniform(0.0, 1.0))
        await self._replace_key()
        await asyncio.sleep(UNSEEN_S)
        for link in links:
            link.set(LinkState.OPEN)


class KeyedCallers(Callers):
    """Each job belongs to an account. No request sent later than the bound after the revocation of
    its key is answered with success, and none with a key that never existed."""

    def __init__(self, cell: SoakCell, rng: random.Random) -> None:
        super().__init__(cell, rng)
        self._account_by_job: dict[str, str] = {}

    async def _request(
        self,
        session: aiohttp.ClientSession,
        frontend: str,
        method: str,
        job_id: str,
        body: object,
        key: str = "",
    ) -> tuple[int | None, bytes]:
        cell = self._cell
        key = key or self._choose_key(method, job_id)
        sent_at = cell.clock.boot_time()
        status, content = await super()._request(session, frontend, method, job_id, body, key)
        if status is not None and 200 <= status < 300:
            revoked_at = cell.revoked_at_by_key.get(key)
            if key == UNKNOWN_KEY:
                self.problems.append(f"{method} {job_id} is served with an unknown key")
            elif revoked_at is not None and sent_at - revoked_at > cell.revocation_bound:
                age = sent_at - revoked_at
                self.problems.append(f"{method} {job_id} is served {age} after its revocation")
        elif status == 403:
            self.problems.append(f"{method} {job_id} is refused as a job of another account")
        return status, content

    async def run(self, seconds: float) -> None:
        probes = asyncio.create_task(self._probe_revoked_keys())
        try:
            await super().run(seconds)
        finally:
            probes.cancel()

    async def _probe_revoked_keys(self) -> None:
        """Asks each VM again and again for the state of a job, with keys just revoked."""
        async with aiohttp.ClientSession() as session, asyncio.TaskGroup() as group:
            while True:
                keys = list(self._cell.revoked_at_by_key)[-PROBED_KEYS:]
                accepted = sorted(self.accepted)
                for vm in self._cell.vm_by_name.values() if keys and accepted else ():
                    key = self._rng.choice(keys)
                    own = [j for j in accepted if key.startswith(f"{self._account_by_job[j]}-")]
                    if own:
                        job_id = self._rng.choice(own)
                        group.create_task(
                            self._request(session, vm.frontend, "GET", job_id, None, key)
                        )
                await asyncio.sleep(PROBE_PERIOD_S)

    def _choose_key(self, method: str, job_id: str) -> str:
        cell = self._cell
        account = self._account_by_job.setdefault(
            job_id, self._rng.choice(sorted(cell.key_by_account))
        )
        draw = self._rng.random() if method == "POST" else 1.0
        if draw < UNKNOWN_SHARE:
            return UNKNOWN_KEY
        revoked = [key for key in cell.revoked_at_by_key if key.startswith(f"{account}-")]
        if draw < UNKNOWN_SHARE + REVOKED_SHARE and revoked:
            return self._rng.choice(revoked)
        return cell.key_by_account[account]

    async def wait_for_ends(self, seconds: float) -> None:
        await super().wait_for_ends(seconds)
        async with aiohttp.ClientSession() as session:
            await asyncio.gather(
                *(
                    self._check_refused(session, vm.frontend, key)
                    for vm in self._cell.vm_by_name.values()
                    for key in (UNKNOWN_KEY, *self._cell.revoked_at_by_key)
                )
            )

    async def _check_refused(self, session: aiohttp.ClientSession, frontend: str, key: str) -> None:
        clock = self._cell.clock
        end = clock.boot_time() + timedelta(seconds=RECOVERY_S)
        job_id = next(iter(self._queue_by_job))
        status = None
        while clock.boot_time() < end:
            status, _ = await self._request(session, frontend, "GET", job_id, None, key)
            if status == 401:
                return
            await asyncio.sleep(0.5)
        self.problems.append(f"{frontend} answers {key} with {status}")
