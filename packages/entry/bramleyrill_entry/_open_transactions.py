"""Open transactions at a member, and which of them its holder rolls back.

Answers the load of callers that rest inside transactions while others wait for what these hold.
"""

from collections import Counter
from collections.abc import Iterator, Mapping
from datetime import timedelta

from attrs import define
from bramleyrill_base import log_event
from bramleyrill_core.admission import RestingTransaction, resting_to_end

from bramleyrill_entry._pool import UpstreamPool
from bramleyrill_entry._state import EntryState
from bramleyrill_entry._upstream import UpstreamConnection

# A transaction without a statement for this long is rolled back: its entry VM failed or lost it, or
# its caller is gone. Those of teams are ended earlier if others wait for what they hold.
TRANSACTION_IDLE_LIMIT = timedelta(seconds=30)

# Id of the entry VM, and the id of the transaction, which is unique at that VM.
TransactionKey = tuple[str, int]


@define(eq=False)
class OpenTransaction:
    """A transaction that is open at the member, with its dedicated connection.

    `admission_id` is its request id in both admission queues, and `team` on whose behalf it runs.
    `running` is True while a statement is in progress. `wrote` is True after a successful write:
    only then does its COMMIT prove that the member is still the primary, since a replica can
    commit a read-only transaction.
    """

    admission_id: int
    connection: UpstreamConnection
    last_used_at: timedelta
    running: bool = False
    wrote: bool = False
    team: str = ""


def transactions_to_end(
    state: EntryState,
    member: str,
    transactions: Mapping[TransactionKey, OpenTransaction],
    waiting_by_team: dict[str, int],
    pool: UpstreamPool,
) -> list[TransactionKey]:
    """Return the keys of the transactions to roll back now, each once; the cause is logged.

    These are the abandoned ones, and resting ones of teams that hold a transaction slot or a
    connection which others wait for: `waiting_by_team` counts requests that wait for a slot.
    """
    now = state.now()
    ended = dict.fromkeys(_abandoned(transactions, member, now))
    ended |= dict.fromkeys(_resting(state, transactions, member, waiting_by_team, now))
    needed = set(pool.reclaimable(state.catalog.transaction_idle_timeout))
    for key, transaction in transactions.items():
        if transaction.connection in needed and not transaction.running and key not in ended:
            _log_ended("transaction_reclaimed", member, key, team=transaction.team)
            ended[key] = None
    return list(ended)


def _abandoned(
    transactions: Mapping[TransactionKey, OpenTransaction], member: str, now: timedelta
) -> Iterator[TransactionKey]:
    for key, transaction in transactions.items():
        idle_for = now - transaction.last_used_at
        if transaction.running or idle_for <= TRANSACTION_IDLE_LIMIT:
            continue
        _log_ended("exchange_forgotten", member, key)
        yield key


def _resting(
    state: EntryState,
    transactions: Mapping[TransactionKey, OpenTransaction],
    member: str,
    waiting_by_team: dict[str, int],
    now: timedelta,
) -> Iterator[TransactionKey]:
    if not waiting_by_team:
        return
    resting = [
        RestingTransaction(key, item.team, now - item.last_used_at)
        for key, item in transactions.items()
        if item.team and not item.running
    ]
    held_by_team = Counter(item.team for item in transactions.values())
    idle_limit = state.catalog.transaction_idle_timeout
    for key in resting_to_end(resting, waiting_by_team, held_by_team, idle_limit, state.weight_of):
        _log_ended(
            "resting_transaction_ended",
            member,
            key,
            team=transactions[key].team,
            idle=now - transactions[key].last_used_at,
            held=held_by_team[transactions[key].team],
            waiting=sum(waiting_by_team.values()),
        )
        yield key


def _log_ended(event: str, member: str, key: TransactionKey, **details: object) -> None:
    log_event(event, member=member, vm=key[0], exchange=key[1], **details)
