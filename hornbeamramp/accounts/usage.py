"""What the runs of each client account have reserved on the workers of one pool."""

from hornbeamramp.ids import NO_ACCOUNT, AccountId
from hornbeamramp.resources import Resources

__all__ = ["NOTHING", "AccountUsage", "Amounts"]

# Thousandths of a core, MiB, accelerators.
Amounts = tuple[int, int, int]

NOTHING: Amounts = (0, 0, 0)


class AccountUsage:
    """Sums of the sizes that are reserved, by account. Reservations without an account are left
    out."""

    def __init__(self) -> None:
        self._used_by_account: dict[AccountId, Amounts] = {}

    def add(self, account: AccountId, size: Resources) -> None:
        """Counts a size as used by an account."""
        self._change(account, size, 1)

    def remove(self, account: AccountId, size: Resources) -> None:
        """Counts a size no longer that was added before."""
        self._change(account, size, -1)

    def used(self, account: AccountId) -> Amounts:
        """Returns what an account uses: thousandths of a core, MiB, accelerators."""
        return self._used_by_account.get(account, NOTHING)

    def accounts(self) -> list[AccountId]:
        """Returns the accounts that use anything."""
        return list(self._used_by_account)

    def _change(self, account: AccountId, size: Resources, sign: int) -> None:
        if account == NO_ACCOUNT:
            return
        before = self.used(account)
        after = (
            before[0] + sign * size.processors_milli,
            before[1] + sign * size.memory_mib,
            before[2] + sign * size.accelerators,
        )
        if after == NOTHING:
            self._used_by_account.pop(account, None)
        else:
            self._used_by_account[account] = after
